package wire

import "wigeonbay/internal/telemetry"

var (
	counters          = telemetry.NewCounterGroup("wire", "connections_opened", "connections_silent", "calls_timed_out")
	connectionsOpened = counters.Counter("connections_opened")
	connectionsSilent = counters.Counter("connections_silent")
	callsTimedOut     = counters.Counter("calls_timed_out")
)
