package experiment

import (
	"time"

	"wigeonbay/internal/load"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Of the watch on the machine.
const (
	// watchInterval is the wait whose lateness is measured.
	watchInterval = 2 * time.Millisecond
	// longestDelay bounds the histogram, in microseconds.
	longestDelay = 60_000_000
)

// machineWatch measures how late timers fire while an experiment runs.
type machineWatch struct {
	end    chan struct{}
	result chan *hdrhistogram.Histogram
}

func watchMachine() *machineWatch {
	w := &machineWatch{end: make(chan struct{}), result: make(chan *hdrhistogram.Histogram)}
	go w.run()
	return w
}

func (w *machineWatch) run() {
	delays := hdrhistogram.New(1, longestDelay, 3)
	for {
		begun := time.Now()
		select {
		case <-w.end:
			w.result <- delays
			return
		case <-time.After(watchInterval):
			_ = delays.RecordValue((time.Since(begun) - watchInterval).Microseconds())
		}
	}
}

// stop ends the watch and returns the 99th percentile in milliseconds.
func (w *machineWatch) stop() float64 {
	close(w.end)
	return load.PercentileMS(<-w.result, 99)
}
