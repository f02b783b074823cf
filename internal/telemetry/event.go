// Package telemetry gives every process its numbered log events, its trace
// spans and its counters.
package telemetry

import (
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is a kind of log entry. Its number never changes its meaning; the
// catalogue is docs/EVENTS.md.
type Event struct {
	// Number is unique: 1xxx entry, 2xxx control, 3xxx membership, 4xxx
	// searcher, 5xxx tools.
	Number int
	Level  zapcore.Level
	// Text is the message, a constant; what varies goes into fields.
	Text string
	// Meaning tells an operator what happened and what to do.
	Meaning string
}

// Log writes event to logger with its number and the given fields.
func (e Event) Log(logger *zap.Logger, fields ...zap.Field) {
	if entry := logger.Check(e.Level, e.Text); entry != nil {
		entry.Write(append(fields, zap.Int("event", e.Number))...)
	}
}

// maxLinesPerSecond bounds the lines of one message in a second. Requests that
// end as they should have another message than those that don't, so that a
// flood of the one leaves room for the other.
const maxLinesPerSecond = 250

// linesDropped counts the lines left out to keep the log bounded.
var linesDropped Counter

// NewLogger returns a structured logger that writes JSON lines to standard
// output, for the named process. It never waits for the reader of the log:
// what doesn't fit is dropped and counted.
func NewLogger(process, id string) (*zap.Logger, error) {
	logger := newLogger(newSink(os.Stdout))
	return logger.With(zap.String("process", process), zap.String("id", id)), nil
}

func newLogger(out zapcore.WriteSyncer) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), out, zapcore.InfoLevel)
	count := zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped != 0 {
			linesDropped.Add(1)
		}
	})
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, maxLinesPerSecond, 0, count))
}

// LinesDropped returns the number of log lines left out so far.
func LinesDropped() int64 { return linesDropped.Value() }
