package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of a duration histogram.
const (
	shortestDuration = int64(100 * time.Microsecond / time.Microsecond)
	longestDuration  = int64(60 * time.Second / time.Microsecond)
	// durationDigits is the precision: one digit takes some 2 KB.
	durationDigits = 1
)

// Metrics holds counters, gauges and latency histograms by name and labels, and
// serves them as text in the exposition format that Prometheus reads. It is safe
// for concurrent use.
type Metrics struct {
	mu        sync.Mutex
	counters  map[string]float64
	durations map[string]*durations
	gauges    []Gauges
}

// durations is a histogram with the sum that it doesn't keep.
type durations struct {
	histogram *hdrhistogram.Histogram
	sum       time.Duration
}

// Gauges reports values as of now, by name with labels.
type Gauges func(set func(name string, value float64))

// NewMetrics returns an empty set.
func NewMetrics() *Metrics {
	m := &Metrics{counters: map[string]float64{}, durations: map[string]*durations{}}
	m.AddGauges(func(set func(string, float64)) {
		set("wigeonbay_log_lines_dropped_total", float64(LinesDropped()))
	})
	return m
}

// AddGauges has values asked for with each scrape.
func (m *Metrics) AddGauges(g Gauges) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges = append(m.gauges, g)
}

// Series returns a metric's name with labels, given as names and values in turn.
func Series(name string, labels ...string) string {
	if len(labels) == 0 {
		return name
	}
	var out strings.Builder
	out.WriteString(name)
	for i := 0; i+1 < len(labels); i += 2 {
		out.WriteByte("{,"[min(i, 1)])
		fmt.Fprintf(&out, "%s=%q", labels[i], labels[i+1])
	}
	out.WriteByte('}')
	return out.String()
}

// Count adds to the counter of a series.
func (m *Metrics) Count(series string, n float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters[series] += n
}

// Observe adds a duration to the histogram of a series.
func (m *Metrics) Observe(series string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.durations[series]
	if known == nil {
		known = &durations{histogram: hdrhistogram.New(shortestDuration, longestDuration, durationDigits)}
		m.durations[series] = known
	}
	// Within the bounds recording can't fail.
	_ = known.histogram.RecordValue(min(max(d.Microseconds(), shortestDuration), longestDuration))
	known.sum += d
}

// ServeHTTP implements http.Handler.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = io.WriteString(w, strings.Join(m.lines(), "\n")+"\n")
}

var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

func (m *Metrics) lines() []string {
	m.mu.Lock()
	gauges := slices.Clone(m.gauges)
	m.mu.Unlock()
	var lines []string
	add := func(series string, value float64) { lines = append(lines, fmt.Sprintf("%s %g", series, value)) }
	for _, g := range gauges {
		// Without the lock: a gauge may take locks of its own.
		g(add)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for series, value := range m.counters {
		add(series, value)
	}
	for series, known := range m.durations {
		for _, q := range quantiles {
			seconds := time.Duration(known.histogram.ValueAtQuantile(100*q)) * time.Microsecond
			add(labelled(series, "", "quantile", fmt.Sprint(q)), seconds.Seconds())
		}
		add(labelled(series, "_count"), float64(known.histogram.TotalCount()))
		add(labelled(series, "_sum"), known.sum.Seconds())
	}
	slices.Sort(lines)
	return lines
}

// labelled adds a suffix to the name of a series, and labels to those it has.
func labelled(series, suffix string, labels ...string) string {
	name, old, _ := strings.Cut(strings.TrimSuffix(series, "}"), "{")
	if len(labels) > 0 {
		added := strings.TrimPrefix(Series("", labels...), "{")
		old = strings.Trim(old+","+strings.TrimSuffix(added, "}"), ",")
	}
	if old == "" {
		return name + suffix
	}
	return name + suffix + "{" + old + "}"
}
