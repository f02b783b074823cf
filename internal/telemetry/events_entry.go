package telemetry

import "go.uber.org/zap/zapcore"

// Events of the entry part, 1xxx.
var (
	EntryStarted = Event{1001, zapcore.InfoLevel, "started", "The process listens on its addresses."}
	EntryStopped = Event{1002, zapcore.InfoLevel, "stopped", "The process has finished its shutdown."}
)

// EntryEvents lists the events of this file, for the catalogue.
var EntryEvents = []Event{EntryStarted, EntryStopped}
