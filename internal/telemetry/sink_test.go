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

// stuck is a reader that doesn't read until it is let go.
type stuck struct {
	let chan struct{}
	mu  sync.Mutex
	got strings.Builder
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func (s *stuck) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

func TestLoggingNeverWaitsForItsReader(t *testing.T) {
	reader := &stuck{let: make(chan struct{})}
	lines := newSink(reader)
	logger := newLogger(lines)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20_000 {
			lines.Write([]byte(`{"msg":"` + strings.Repeat("x", 100) + "\"}\n"))
			logger.Info("a line", zap.String("with", "fields"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a writer waits for the reader of the log")
	}
	assert.Assert(t, lines.dropped.Load() > 0)
	close(reader.let)
	for !strings.Contains(reader.text(), "log lines dropped") {
		lines.Write([]byte("{}\n"))
		time.Sleep(10 * time.Millisecond)
	}
	for line := range strings.Lines(reader.text()) {
		assert.Assert(t, strings.HasPrefix(line, "{") && strings.HasSuffix(line, "}\n"), "no line is cut: %q", line)
	}
}

func TestSyncWaitsForTheLines(t *testing.T) {
	read, write := io.Pipe()
	lines := newSink(write)
	got := make(chan string, 1)
	go func() {
		buffer := make([]byte, 100)
		n, _ := read.Read(buffer)
		got <- string(buffer[:n])
	}()
	lines.Write([]byte("{}\n"))
	assert.NilError(t, lines.Sync())
	assert.Equal(t, <-got, "{}\n")
}

func TestOneMessageCantFillTheLog(t *testing.T) {
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
