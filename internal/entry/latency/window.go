// Package latency estimates quantiles of a service's recent reply times.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of a window.
const (
	// rotationInterval is the time for which samples go into one histogram.
	rotationInterval = 10 * time.Second
	// minSamples is the number of samples below which quantiles are unknown.
	minSamples = 30
	// refreshInterval is the time for which a computed quantile is reused.
	refreshInterval = 100 * time.Millisecond

	// The range of a histogram in microseconds, and its precision.
	minMicros         = int64(10 * time.Microsecond / time.Microsecond)
	maxMicros         = int64(60 * time.Second / time.Microsecond)
	significantDigits = 2
)

// Window holds recent reply times in two histograms, of which the older one is
// cleared and reused at each rotation. While it is in use its samples are at
// most 20 s old. A rotation happens only on a call, so older samples remain
// after an idle period.
type Window struct {
	current   *hdrhistogram.Histogram
	previous  *hdrhistogram.Histogram
	rotatedAt time.Time
	cache     map[float64]cachedQuantile
}

type cachedQuantile struct {
	computedAt time.Time
	value      time.Duration
}

// NewWindow returns an empty window.
func NewWindow() *Window {
	return &Window{
		current:  hdrhistogram.New(minMicros, maxMicros, significantDigits),
		previous: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		cache:    map[float64]cachedQuantile{},
	}
}

// Record adds a reply time. A time outside the histogram's range is recorded as
// the nearest bound.
func (w *Window) Record(now time.Time, replyTime time.Duration) {
	w.rotate(now)
	_ = w.current.RecordValue(min(max(replyTime.Microseconds(), minMicros), maxMicros))
}

// Quantile returns the reply time that a fraction q of the recent replies did
// not exceed. It uses the histogram with more samples and returns false if that
// has fewer than minSamples.
func (w *Window) Quantile(now time.Time, q float64) (time.Duration, bool) {
	w.rotate(now)
	if c, ok := w.cache[q]; ok && now.Sub(c.computedAt) < refreshInterval {
		return c.value, true
	}
	larger := w.current
	if w.previous.TotalCount() > larger.TotalCount() {
		larger = w.previous
	}
	if larger.TotalCount() < minSamples {
		return 0, false
	}
	value := time.Duration(larger.ValueAtQuantile(100*q)) * time.Microsecond
	w.cache[q] = cachedQuantile{computedAt: now, value: value}
	return value, true
}

// rotate exchanges the histograms if rotationInterval has passed since the last
// rotation.
func (w *Window) rotate(now time.Time) {
	if w.rotatedAt.IsZero() {
		w.rotatedAt = now
	}
	if now.Sub(w.rotatedAt) < rotationInterval {
		return
	}
	w.current, w.previous = w.previous, w.current
	w.current.Reset()
	w.rotatedAt = now
}
