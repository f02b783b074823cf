package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"wigeonbay/internal/load"
)

// Result is the measurement of one policy in one experiment.
type Result struct {
	Experiment string `json:"experiment"`
	// Policy is "shipped", "baseline" or "floor".
	Policy  string  `json:"policy"`
	Queries int     `json:"queries"`
	P50MS   float64 `json:"p50_ms"`
	P99MS   float64 `json:"p99_ms"`
	P999MS  float64 `json:"p999_ms"`
	// Coverage is the number of shards answered divided by the number requested,
	// over all answers.
	Coverage float64 `json:"coverage"`
	// ExtraLoad is the number of shard searches that reached searchers in excess
	// of one for each shard of each answer, relative to the latter.
	ExtraLoad float64 `json:"extra_load"`
	Refused   int     `json:"refused"`
	// Lost counts searches that got neither a correct answer to their request nor
	// a refusal. Lost and Mixed include the phase before the fault.
	Lost int `json:"lost"`

	// Load is the load as a fraction of the slots' capacity.
	Load float64 `json:"load"`
	// BeforeP99MS is the 99th percentile of latency before the fault.
	BeforeP99MS float64 `json:"before_p99_ms,omitempty"`
	Whole       int     `json:"whole"`
	Partial     int     `json:"partial"`
	Mixed       int     `json:"mixed_snapshot"`
	// GoodputFraction is the number of complete answers that arrived within the
	// phase, as a fraction of the slots' capacity in that time.
	GoodputFraction float64 `json:"useful"`
	// RefusalP99MS and RefusalMaxMS are the 99th percentile and the maximum of
	// the time from sending a request to its refusal.
	RefusalP99MS float64 `json:"refusal_p99_ms,omitempty"`
	RefusalMaxMS float64 `json:"refusal_max_ms,omitempty"`
	// LateWork counts requests that reached a draining searcher more than 2 s
	// after its drain began.
	LateWork int64 `json:"late_work"`
	// RefusedConnections counts connections refused at a searcher's limit.
	RefusedConnections int `json:"refused_connections"`
	// Shed, Late and Cancelled are the searchers' counts of the same names during
	// the phase; see searcher.Stats.
	Shed      int64 `json:"target_shed"`
	Late      int64 `json:"target_late"`
	Cancelled int64 `json:"target_cancelled"`
	// TimerDelayP99MS is the 99th percentile of how late timers of this process
	// fired. It shows how much the load of the host, from any source, adds to
	// latencies.
	TimerDelayP99MS float64 `json:"machine_delay_p99_ms"`
	// Faults describes some of the incorrect answers.
	Faults []string `json:"faults,omitempty"`
}

// setTally sets the fields that come from the callers' tally.
func (r *Result) setTally(t *load.Tally) {
	r.Queries = t.Searches
	r.P50MS = load.PercentileMS(t.Latency, 50)
	r.P99MS = load.PercentileMS(t.Latency, 99)
	r.P999MS = load.PercentileMS(t.Latency, 99.9)
	r.Coverage = t.Coverage()
	r.Refused = t.Refused
	r.Lost = t.Lost()
	r.Whole = t.Whole
	r.Partial = t.Partial
	r.Mixed = t.Mixed
	r.Faults = t.Faults
	if t.Refused > 0 {
		r.RefusalP99MS = load.PercentileMS(t.RefusalLatency, 99)
		r.RefusalMaxMS = load.PercentileMS(t.RefusalLatency, 100)
	}
}

// WriteLines writes each result as a JSON object on a line of its own.
func WriteLines(w io.Writer, results []Result) error {
	encoder := json.NewEncoder(w)
	for _, r := range results {
		if err := encoder.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// WriteTable writes results as a text table.
func WriteTable(w io.Writer, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "experiment\tpolicy\tload\tqueries\tp50 ms\tp99 ms\tp99.9 ms\tp99 before\tcoverage\textra load\tpartial\trefused\tlost\tmixed\tuseful\trefusal p99 ms\tlate work\tmachine ms\t")
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%s\t%.2f\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.4f\t%.2f%%\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%d\t%.1f\t\n",
			r.Experiment, r.Policy, r.Load, r.Queries, r.P50MS, r.P99MS, r.P999MS, r.BeforeP99MS, r.Coverage,
			100*r.ExtraLoad, r.Partial, r.Refused, r.Lost, r.Mixed, r.GoodputFraction, r.RefusalP99MS, r.LateWork, r.TimerDelayP99MS)
	}
	return table.Flush()
}
