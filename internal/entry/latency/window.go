// Package latency keeps the distribution of recent reply times of a service.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Constants of the window.
const (
	// windowTime is the time that one of the two histograms collects.
	windowTime = 10 * time.Second
	// minSamples is the number of samples below which quantiles aren't known.
	minSamples = 30
	// refreshInterval is the time for which a computed quantile is used again.
	refreshInterval = 100 * time.Millisecond

	lowest  = int64(10 * time.Microsecond / time.Microsecond)
	highest = int64(60 * time.Second / time.Microsecond)
	digits  = 2
)

// Window holds the reply times of the last 10 to 20 seconds, in two
// histograms that take turns.
type Window struct {
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	turned   time.Time
	cache    map[float64]cached
}

type cached struct {
	at    time.Time
	value time.Duration
}

// NewWindow returns an empty window.
func NewWindow() *Window {
	return &Window{
		current:  hdrhistogram.New(lowest, highest, digits),
		previous: hdrhistogram.New(lowest, highest, digits),
		cache:    map[float64]cached{},
	}
}

// Record adds one reply time; times outside the histogram's range count as its
// bounds.
func (w *Window) Record(now time.Time, took time.Duration) {
	w.turn(now)
	_ = w.current.RecordValue(min(max(took.Microseconds(), lowest), highest))
}

// Quantile returns the reply time that the fraction q of the recent replies
// did not exceed, and false while there are too few of them.
func (w *Window) Quantile(now time.Time, q float64) (time.Duration, bool) {
	w.turn(now)
	if c, ok := w.cache[q]; ok && now.Sub(c.at) < refreshInterval {
		return c.value, true
	}
	fuller := w.current
	if w.previous.TotalCount() > fuller.TotalCount() {
		fuller = w.previous
	}
	if fuller.TotalCount() < minSamples {
		return 0, false
	}
	value := time.Duration(fuller.ValueAtQuantile(100*q)) * time.Microsecond
	w.cache[q] = cached{at: now, value: value}
	return value, true
}

func (w *Window) turn(now time.Time) {
	if w.turned.IsZero() {
		w.turned = now
	}
	if now.Sub(w.turned) < windowTime {
		return
	}
	w.current, w.previous = w.previous, w.current
	w.current.Reset()
	w.turned = now
}
