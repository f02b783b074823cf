package telemetry

import "go.uber.org/zap/zapcore"

// Events of the control part, 2xxx.
var (
	ControlStarted = Event{2001, zapcore.InfoLevel, "started", "The process listens on its addresses."}
	ControlStopped = Event{2002, zapcore.InfoLevel, "stopped", "The process has finished its shutdown."}
)

// ControlEvents lists the events of this file, for the catalogue.
var ControlEvents = []Event{ControlStarted, ControlStopped}
