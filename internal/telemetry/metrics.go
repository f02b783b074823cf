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

// Parameters of a duration histogram. Durations are in microseconds; those outside the
// range are counted as its limits.
const (
	minDuration = int64(100 * time.Microsecond / time.Microsecond)
	maxDuration = int64(60 * time.Second / time.Microsecond)
	// significantDigits is the precision; with one digit a histogram takes about 2 KB.
	significantDigits = 1
)

// Metrics holds counters, gauges and duration histograms by name and labels, and serves
// them in the Prometheus text exposition format. It is safe for concurrent use.
type Metrics struct {
	mu        sync.Mutex
	counters  map[string]float64
	durations map[string]*durationStats
	gauges    []Gauges
}

// durationStats is a histogram together with the sum of its values, which
// hdrhistogram does not keep.
type durationStats struct {
	histogram *hdrhistogram.Histogram
	sum       time.Duration
}

// Gauges reports current values by series name.
type Gauges func(set func(name string, value float64))

// NewMetrics returns metrics that contain only the number of dropped log lines.
func NewMetrics() *Metrics {
	m := &Metrics{counters: map[string]float64{}, durations: map[string]*durationStats{}}
	m.AddGauges(func(set func(string, float64)) {
		set("wigeonbay_log_lines_dropped_total", float64(LinesDropped()))
	})
	return m
}

// AddGauges registers a function that is called on each scrape.
func (m *Metrics) AddGauges(g Gauges) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges = append(m.gauges, g)
}

// Series returns the name of a series: a metric's name with labels, which are given as
// alternating names and values.
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

// Count adds n to the counter of a series.
func (m *Metrics) Count(series string, n float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters[series] += n
}

// Observe adds a duration to the histogram of a series.
func (m *Metrics) Observe(series string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	stats := m.durations[series]
	if stats == nil {
		stats = &durationStats{histogram: hdrhistogram.New(minDuration, maxDuration, significantDigits)}
		m.durations[series] = stats
	}
	// RecordValue fails only for values out of range.
	_ = stats.histogram.RecordValue(min(max(d.Microseconds(), minDuration), maxDuration))
	stats.sum += d
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
		// Called without mu, since g may acquire other locks.
		g(add)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for series, value := range m.counters {
		add(series, value)
	}
	for series, stats := range m.durations {
		for _, q := range quantiles {
			seconds := time.Duration(stats.histogram.ValueAtQuantile(100*q)) * time.Microsecond
			add(addLabels(series, "", "quantile", fmt.Sprint(q)), seconds.Seconds())
		}
		add(addLabels(series, "_count"), float64(stats.histogram.TotalCount()))
		add(addLabels(series, "_sum"), stats.sum.Seconds())
	}
	slices.Sort(lines)
	return lines
}

// addLabels appends a suffix to the metric name of a series and labels to its labels.
func addLabels(series, suffix string, labels ...string) string {
	name, existing, _ := strings.Cut(strings.TrimSuffix(series, "}"), "{")
	if len(labels) > 0 {
		added := strings.TrimPrefix(Series("", labels...), "{")
		existing = strings.Trim(existing+","+strings.TrimSuffix(added, "}"), ",")
	}
	if existing == "" {
		return name + suffix
	}
	return name + suffix + "{" + existing + "}"
}
