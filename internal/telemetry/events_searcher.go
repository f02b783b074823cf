package telemetry

import "go.uber.org/zap/zapcore"

// Events of the searcher part, 4xxx.
var (
	SearcherStarted = Event{4001, zapcore.InfoLevel, "started", "The process listens on its addresses."}
	SearcherStopped = Event{4002, zapcore.InfoLevel, "stopped", "The process has finished its shutdown."}
)

// SearcherEvents lists the events of this file, for the catalogue.
var SearcherEvents = []Event{SearcherStarted, SearcherStopped}
