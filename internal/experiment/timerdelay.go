package experiment

import (
	"time"

	"wigeonbay/internal/load"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the timer delay measurement.
const (
	// timerInterval is the duration of the timers whose delay is measured.
	timerInterval = 2 * time.Millisecond
	// maxTimerDelayMicros is the upper bound of the histogram, in microseconds.
	maxTimerDelayMicros = 60_000_000
)

// timerDelayMonitor measures how late timers fire while an experiment runs.
// The delay shows how much scheduling on the host adds to measured latencies.
type timerDelayMonitor struct {
	done   chan struct{}
	result chan *hdrhistogram.Histogram
}

func startTimerDelayMonitor() *timerDelayMonitor {
	w := &timerDelayMonitor{done: make(chan struct{}), result: make(chan *hdrhistogram.Histogram)}
	go w.run()
	return w
}

func (w *timerDelayMonitor) run() {
	delays := hdrhistogram.New(1, maxTimerDelayMicros, 3)
	for {
		start := time.Now()
		select {
		case <-w.done:
			w.result <- delays
			return
		case <-time.After(timerInterval):
			_ = delays.RecordValue((time.Since(start) - timerInterval).Microseconds())
		}
	}
}

// stop ends the measurement and returns the 99th percentile of the delays in
// milliseconds.
func (w *timerDelayMonitor) stop() float64 {
	close(w.done)
	return load.PercentileMS(<-w.result, 99)
}
