package telemetry

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// blockedWriter is an output that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	output  strings.Builder
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.output.Write(p)
}

func (s *blockedWriter) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.output.String()
}

func TestLoggingDoesNotBlockOnOutput(t *testing.T) {
	blocked := &blockedWriter{release: make(chan struct{})}
	logSink := newSink(blocked)
	logger := newLogger(logSink)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20_000 {
			logSink.Write([]byte(`{"msg":"` + strings.Repeat("x", 100) + "\"}\n"))
			logger.Info("a line", zap.String("with", "fields"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks on the output")
	}
	assert.Assert(t, logSink.dropped.Load() > 0)
	close(blocked.release)
	for !strings.Contains(blocked.text(), "log lines dropped") {
		logSink.Write([]byte("{}\n"))
		time.Sleep(10 * time.Millisecond)
	}
	for line := range strings.Lines(blocked.text()) {
		assert.Assert(t, strings.HasPrefix(line, "{") && strings.HasSuffix(line, "}\n"), "truncated line: %q", line)
	}
}

func TestSyncFlushesBufferedLines(t *testing.T) {
	read, write := io.Pipe()
	logSink := newSink(write)
	output := make(chan string, 1)
	go func() {
		buffer := make([]byte, 100)
		n, _ := read.Read(buffer)
		output <- string(buffer[:n])
	}()
	logSink.Write([]byte("{}\n"))
	assert.NilError(t, logSink.Sync())
	assert.Equal(t, <-output, "{}\n")
}

func TestRepeatedMessagesAreLimited(t *testing.T) {
	var out strings.Builder
	core := &builderSink{&out}
	logger := newLogger(core)
	for range 5 * maxLinesPerSecond {
		logger.Info("the same")
	}
	logger.Info("another")
	count := strings.Count(out.String(), "the same")
	assert.Assert(t, count <= 2*maxLinesPerSecond, "%d lines", count)
	assert.Equal(t, strings.Count(out.String(), "another"), 1)
}

type builderSink struct{ *strings.Builder }

// Sync implements zapcore.WriteSyncer.
func (builderSink) Sync() error { return nil }
