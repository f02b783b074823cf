package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedBytes limits the buffered lines. The buffer holds about 100 log lines
	// of gather requests.
	maxBufferedBytes = 128 << 10
	// flushInterval is how long lines are buffered before they are written together.
	flushInterval = 100 * time.Millisecond
	// syncTimeout limits how long Sync waits for a blocked output when the process
	// exits.
	syncTimeout = 500 * time.Millisecond
)

// sink buffers log lines and writes them in its own goroutine. If the output blocks,
// lines that exceed the buffer are dropped and counted; a call to Write never waits for
// the output.
type sink struct {
	out     io.Writer
	wake    chan struct{}
	dropped atomic.Uint64

	mu      sync.Mutex
	buffer  []byte
	spare   []byte // buffer of the previous write, to be reused
	writing bool
	idle    *sync.Cond // signalled when a write ends or a Sync times out
}

func newSink(out io.Writer) *sink {
	s := &sink{out: out, wake: make(chan struct{}, 1)}
	s.idle = sync.NewCond(&s.mu)
	go s.run()
	return s
}

// Write implements zapcore.WriteSyncer. It buffers all of p or drops it.
func (s *sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer)+len(p) > maxBufferedBytes {
		s.dropped.Add(1)
		linesDropped.Add(1)
		return len(p), nil
	}
	s.buffer = append(s.buffer, p...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Sync waits until the buffered lines are written, for at most syncTimeout.
func (s *sink) Sync() error {
	timer := time.AfterFunc(syncTimeout, s.idle.Broadcast)
	defer timer.Stop()
	deadline := time.Now().Add(syncTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	for (len(s.buffer) > 0 || s.writing) && time.Now().Before(deadline) {
		s.idle.Wait()
	}
	return nil
}

func (s *sink) run() {
	reported := uint64(0)
	for range s.wake {
		time.Sleep(flushInterval)
		s.mu.Lock()
		lines := s.buffer
		s.buffer, s.spare = s.spare[:0], nil
		s.writing = true
		s.mu.Unlock()
		if dropped := s.dropped.Load(); dropped > reported {
			lines = fmt.Appendf(lines, `{"level":"warn","msg":"log lines dropped","event":%d,"dropped":%d}`+"\n", LogLinesDropped.Number, dropped)
			reported = dropped
		}
		// An error of the log output cannot be reported anywhere else.
		_, _ = s.out.Write(lines)
		s.mu.Lock()
		s.spare = lines[:0]
		s.writing = false
		s.idle.Broadcast()
		s.mu.Unlock()
	}
}
