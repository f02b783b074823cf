package telemetry

import "go.uber.org/zap/zapcore"

// Events of the membership part, 3xxx.
var (
	MembershipStarted = Event{3001, zapcore.InfoLevel, "started", "The process listens on its addresses."}
	MembershipStopped = Event{3002, zapcore.InfoLevel, "stopped", "The process has finished its shutdown."}
)

// MembershipEvents lists the events of this file, for the catalogue.
var MembershipEvents = []Event{MembershipStarted, MembershipStopped}
