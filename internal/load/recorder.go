package load

import (
	"sync"
	"time"

	"wigeonbay/internal/api"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range, in microseconds, and precision of the histograms.
const (
	lowestLatency     = 1
	highestLatency    = 120_000_000
	significantDigits = 3
)

// maxFaults limits the number of fault descriptions kept.
const maxFaults = 20

// Tally counts the outcomes of the searches of one or more runs.
type Tally struct {
	Searches int
	Whole    int
	Partial  int
	Refused  int
	// WholeInTime counts the whole answers that arrived within SearchRun.Length.
	WholeInTime int
	// Mixed, Foreign and WrongCoverage count answers with these verdicts. NoReply
	// counts searches with a missing, truncated or invalid reply.
	Mixed         int
	Foreign       int
	WrongCoverage int
	NoReply       int
	// Shards and Answered are the sums over the coverage of all answers.
	Shards   int
	Answered int
	// Latency holds the latencies of answers from their scheduled start,
	// RefusalLatency those of refusals from the time when the request was sent,
	// both in microseconds.
	Latency        *hdrhistogram.Histogram
	RefusalLatency *hdrhistogram.Histogram
	// Codes counts refusals by error code.
	Codes map[api.Code]int
	// Faults describes the first faulty answers and missing replies, at most
	// maxFaults.
	Faults []string
}

// Lost returns the number of searches whose caller received neither a correct
// answer to its request nor a refusal. It doesn't include mixed answers.
func (t *Tally) Lost() int {
	return t.Foreign + t.WrongCoverage + t.NoReply
}

// Coverage returns the fraction of shards answered over all answers.
func (t *Tally) Coverage() float64 {
	if t.Shards == 0 {
		return 0
	}
	return float64(t.Answered) / float64(t.Shards)
}

// PercentileMS returns a percentile of a histogram in milliseconds.
func PercentileMS(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		Latency:        hdrhistogram.New(lowestLatency, highestLatency, significantDigits),
		RefusalLatency: hdrhistogram.New(lowestLatency, highestLatency, significantDigits),
		Codes:          make(map[api.Code]int),
	}
}

// recorder adds outcomes to a tally. It is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	tally *Tally
}

// searchOutcome is the outcome of one search.
type searchOutcome struct {
	reply          Reply
	verdict        Verdict
	detail         string
	coverage       api.Coverage
	latency        time.Duration
	refusalLatency time.Duration
	inTime         bool
}

func (r *recorder) add(s searchOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tally
	t.Searches++
	switch {
	case s.reply.Err != nil:
		t.NoReply++
		t.addFault(s.reply.Err.Error())
	case s.reply.Problem != nil:
		t.Refused++
		t.Codes[s.reply.Problem.Code]++
		_ = t.RefusalLatency.RecordValue(s.refusalLatency.Microseconds())
	default:
		t.addAnswer(s)
	}
}

func (t *Tally) addAnswer(s searchOutcome) {
	t.Shards += s.coverage.Shards
	t.Answered += s.coverage.Answered
	_ = t.Latency.RecordValue(s.latency.Microseconds())
	switch s.verdict {
	case Whole:
		t.Whole++
		if s.inTime {
			t.WholeInTime++
		}
	case Partial:
		t.Partial++
	case Mixed:
		t.Mixed++
	case Foreign:
		t.Foreign++
	default:
		t.WrongCoverage++
	}
	if s.detail != "" {
		t.addFault(string(s.verdict) + ": " + s.detail)
	}
}

func (t *Tally) addFault(text string) {
	if len(t.Faults) < maxFaults {
		t.Faults = append(t.Faults, text)
	}
}

// Merge adds the outcomes of other to t.
func (t *Tally) Merge(other *Tally) {
	t.Searches += other.Searches
	t.Whole += other.Whole
	t.WholeInTime += other.WholeInTime
	t.Partial += other.Partial
	t.Refused += other.Refused
	t.Mixed += other.Mixed
	t.Foreign += other.Foreign
	t.WrongCoverage += other.WrongCoverage
	t.NoReply += other.NoReply
	t.Shards += other.Shards
	t.Answered += other.Answered
	t.Latency.Merge(other.Latency)
	t.RefusalLatency.Merge(other.RefusalLatency)
	for code, n := range other.Codes {
		t.Codes[code] += n
	}
	for _, fault := range other.Faults {
		t.addFault(fault)
	}
}
