package telemetry

import "go.uber.org/zap/zapcore"

// Events of the tools part, 5xxx.
var (
	ToolsStarted = Event{5001, zapcore.InfoLevel, "started", "The process listens on its addresses."}
	ToolsStopped = Event{5002, zapcore.InfoLevel, "stopped", "The process has finished its shutdown."}
)

// ToolsEvents lists the events of this file, for the catalogue.
var ToolsEvents = []Event{ToolsStarted, ToolsStopped}
