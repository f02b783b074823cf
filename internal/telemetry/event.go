// Package telemetry provides the numbered log events, trace spans, counters and metrics
// of all processes.
package telemetry

import (
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is a type of log entry. The meaning of its number never changes; docs/EVENTS.md
// lists all events.
type Event struct {
	// Number is unique: 1xxx entry, 2xxx control, 3xxx membership, 4xxx searcher, 5xxx
	// common to all processes.
	Number int
	Level  zapcore.Level
	// Text is the constant message; variable data goes into fields.
	Text string
	// Meaning explains to an operator what happened and what to do.
	Meaning string
}

// Log logs the event with its number and the given fields.
func (e Event) Log(logger *zap.Logger, fields ...zap.Field) {
	if entry := logger.Check(e.Level, e.Text); entry != nil {
		entry.Write(append(fields, zap.Int("event", e.Number))...)
	}
}

// maxLinesPerSecond limits the log lines per second with the same message. Successful
// and failed requests have different messages, so that a flood of one does not suppress
// the other.
const maxLinesPerSecond = 250

// linesDropped counts the lines dropped by the rate limit or because the sink's buffer
// was full.
var linesDropped Counter

// NewLogger returns a structured logger for the named process that writes JSON lines to
// standard output. Logging never blocks on the output: lines that do not fit into the
// buffer are dropped and counted.
func NewLogger(process, id string) (*zap.Logger, error) {
	logger := newLogger(newSink(os.Stdout))
	return logger.With(zap.String("process", process), zap.String("id", id)), nil
}

func newLogger(out zapcore.WriteSyncer) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), out, zapcore.InfoLevel)
	countDropped := zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped != 0 {
			linesDropped.Add(1)
		}
	})
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, maxLinesPerSecond, 0, countDropped))
}

// LinesDropped returns the number of log lines dropped so far.
func LinesDropped() int64 { return linesDropped.Value() }
