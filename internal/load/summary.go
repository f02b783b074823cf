package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Summary is the outcome of a session, printed as one JSON line.
type Summary struct {
	Queries       int `json:"queries"`
	Whole         int `json:"whole"`
	Partial       int `json:"partial"`
	Refused       int `json:"refused"`
	MixedSnapshot int `json:"mixed_snapshot"`
	RanTwice      int `json:"ran_twice"`
	Lost          int `json:"lost"`
}

// Summary returns the summary of the report. Its Lost is the sum of Tally.Lost
// and Audit.Lost.
func (r *Report) Summary() Summary {
	return Summary{
		Queries:       r.Tally.Searches,
		Whole:         r.Tally.Whole,
		Partial:       r.Tally.Partial,
		Refused:       r.Tally.Refused,
		MixedSnapshot: r.Tally.Mixed,
		RanTwice:      r.Audit.RanTwice,
		Lost:          r.Tally.Lost() + r.Audit.Lost,
	}
}

// Passed reports whether no answer mixed snapshots, no submit ran twice and no
// request was lost.
func (s Summary) Passed() bool {
	return s.MixedSnapshot == 0 && s.RanTwice == 0 && s.Lost == 0
}

// WriteTable writes the report as a table for people to read.
func (r *Report) WriteTable(w io.Writer) error {
	t, a := r.Tally, r.Audit
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "searches\twhole\tpartial\trefused\tmixed\tnot own\tuntrue\tno reply\tcoverage\tp50 ms\tp99 ms\n")
	fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.4f\t%.1f\t%.1f\n", t.Searches, t.Whole, t.Partial, t.Refused,
		t.Mixed, t.Foreign, t.WrongCoverage, t.NoReply, t.Coverage(), PercentileMS(t.Latency, 50), PercentileMS(t.Latency, 99))
	if r.Audited {
		fmt.Fprintf(table, "submits\tran\tnot run\tunknown\tran twice\tlost\n")
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t%d\n", a.Submits, a.Ran, a.NotRun, a.Unknown, a.RanTwice, a.Lost)
	}
	for code, n := range t.Codes {
		fmt.Fprintf(table, "refused as %s\t%d\n", code, n)
	}
	for _, fault := range append(t.Faults, a.Faults...) {
		fmt.Fprintf(table, "fault: %s\n", fault)
	}
	return table.Flush()
}
