package load

import (
	"sync"
	"time"

	"wigeonbay/internal/api"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = 120_000_000
	latencyDigits  = 3
)

// maxFaults bounds the texts kept of faulty answers.
const maxFaults = 20

// Tally is what became of the requests of a run or of a part of it.
type Tally struct {
	Searches int
	Whole    int
	Partial  int
	Refused  int
	// WholeInTime counts the whole answers that came before the run's end.
	WholeInTime int
	// Mixed, Foreign and Untrue count faulty answers; Broken counts searches
	// without a whole reply.
	Mixed   int
	Foreign int
	Untrue  int
	Broken  int
	// Shards and Answered sum up the coverage of all answers.
	Shards   int
	Answered int
	// Latency is that of answers, Refusal that of refusals from the sending
	// of the request, both in microseconds.
	Latency *hdrhistogram.Histogram
	Refusal *hdrhistogram.Histogram
	// Codes counts refusals by their code.
	Codes map[api.Code]int
	// Faults explains some of the faulty answers.
	Faults []string
}

// Lost counts the searches whose caller didn't get its own true answer and
// wasn't refused either.
func (t *Tally) Lost() int {
	return t.Foreign + t.Untrue + t.Broken
}

// Coverage is the fraction of shards answered, over all answers.
func (t *Tally) Coverage() float64 {
	if t.Shards == 0 {
		return 0
	}
	return float64(t.Answered) / float64(t.Shards)
}

// Milliseconds returns a quantile of a histogram in milliseconds.
func Milliseconds(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		Latency: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		Refusal: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		Codes:   make(map[api.Code]int),
	}
}

// recorder collects outcomes from many goroutines.
type recorder struct {
	mu    sync.Mutex
	tally *Tally
}

// search is the outcome of one search.
type search struct {
	reply    Reply
	verdict  Verdict
	detail   string
	coverage api.Coverage
	latency  time.Duration
	refusal  time.Duration
	inTime   bool
}

func (r *recorder) add(s search) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tally
	t.Searches++
	switch {
	case s.reply.Err != nil:
		t.Broken++
		t.fault(s.reply.Err.Error())
	case s.reply.Problem != nil:
		t.Refused++
		t.Codes[s.reply.Problem.Code]++
		_ = t.Refusal.RecordValue(s.refusal.Microseconds())
	default:
		t.answer(s)
	}
}

func (t *Tally) answer(s search) {
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
		t.Untrue++
	}
	if s.detail != "" {
		t.fault(string(s.verdict) + ": " + s.detail)
	}
}

func (t *Tally) fault(text string) {
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
	t.Untrue += other.Untrue
	t.Broken += other.Broken
	t.Shards += other.Shards
	t.Answered += other.Answered
	t.Latency.Merge(other.Latency)
	t.Refusal.Merge(other.Refusal)
	for code, n := range other.Codes {
		t.Codes[code] += n
	}
	for _, fault := range other.Faults {
		t.fault(fault)
	}
}
