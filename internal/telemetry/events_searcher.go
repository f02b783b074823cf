package telemetry

import "go.uber.org/zap/zapcore"

// Events of the searcher part, 4xxx.
var (
	SearcherStarted        = Event{4001, zapcore.InfoLevel, "started", "The searcher listens on its address."}
	SearcherStopped        = Event{4002, zapcore.InfoLevel, "stopped", "The searcher has finished its shutdown."}
	SearcherDraining       = Event{4003, zapcore.InfoLevel, "draining", "The searcher refuses new work and finishes what it runs."}
	SearcherAnnounceFailed = Event{4004, zapcore.WarnLevel, "announcement failed", "No entry node took the searcher's announcement; it tries again. Check the announce addresses and the entry nodes."}
	SearcherListenerFailed = Event{4005, zapcore.ErrorLevel, "listener failed", "The searcher can no longer accept connections; restart it."}
)

// SearcherEvents lists the events of this file, for the catalogue.
var SearcherEvents = []Event{SearcherStarted, SearcherStopped, SearcherDraining, SearcherAnnounceFailed, SearcherListenerFailed}
