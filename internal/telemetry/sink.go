package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sinkBytes bounds the lines that wait to be written: some 100 lines of a
	// gathered request.
	sinkBytes = 128 << 10
	// sinkDelay is how long lines are gathered before they are written together.
	sinkDelay = 100 * time.Millisecond
	// sinkFlush bounds the wait for a writer that doesn't take its lines when the
	// process ends.
	sinkFlush = 500 * time.Millisecond
)

// sink writes log lines from a goroutine of its own. A reader that doesn't read
// makes it drop lines and count them; it never makes a caller wait.
type sink struct {
	out     io.Writer
	wake    chan struct{}
	dropped atomic.Uint64

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	writing bool
	idle    *sync.Cond
}

func newSink(out io.Writer) *sink {
	s := &sink{out: out, wake: make(chan struct{}, 1)}
	s.idle = sync.NewCond(&s.mu)
	go s.run()
	return s
}

// Write implements zapcore.WriteSyncer. It takes p whole or not at all.
func (s *sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting)+len(p) > sinkBytes {
		s.dropped.Add(1)
		linesDropped.Add(1)
		return len(p), nil
	}
	s.waiting = append(s.waiting, p...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Sync waits for what was written so far, but no longer than sinkFlush.
func (s *sink) Sync() error {
	timer := time.AfterFunc(sinkFlush, s.idle.Broadcast)
	defer timer.Stop()
	giveUp := time.Now().Add(sinkFlush)
	s.mu.Lock()
	defer s.mu.Unlock()
	for (len(s.waiting) > 0 || s.writing) && time.Now().Before(giveUp) {
		s.idle.Wait()
	}
	return nil
}

func (s *sink) run() {
	reported := uint64(0)
	for range s.wake {
		time.Sleep(sinkDelay)
		s.mu.Lock()
		lines := s.waiting
		s.waiting, s.spare = s.spare[:0], nil
		s.writing = true
		s.mu.Unlock()
		if dropped := s.dropped.Load(); dropped > reported {
			lines = fmt.Appendf(lines, `{"level":"warn","msg":"log lines dropped","event":%d,"dropped":%d}`+"\n", LogLinesDropped.Number, dropped)
			reported = dropped
		}
		// There is nowhere to report that the log can't be written.
		_, _ = s.out.Write(lines)
		s.mu.Lock()
		s.spare = lines[:0]
		s.writing = false
		s.idle.Broadcast()
		s.mu.Unlock()
	}
}
