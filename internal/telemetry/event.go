// Package telemetry gives every process its numbered log events, its trace
// spans and its counters.
package telemetry

import (
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

// NewLogger returns a structured logger that writes JSON lines to standard
// output, for the named process.
func NewLogger(process, id string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.Sampling = nil
	config.DisableCaller = true
	config.DisableStacktrace = true
	config.OutputPaths = []string{"stdout"}
	config.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	logger, err := config.Build()
	if err != nil {
		return nil, err
	}
	return logger.With(zap.String("process", process), zap.String("id", id)), nil
}
