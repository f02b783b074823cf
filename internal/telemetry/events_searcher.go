package telemetry

import "go.uber.org/zap/zapcore"

// Events of searchers, 4xxx.
var (
	SearcherStarted        = Event{4001, zapcore.InfoLevel, "started", "The searcher listens on its address."}
	SearcherStopped        = Event{4002, zapcore.InfoLevel, "stopped", "The searcher has shut down."}
	SearcherDraining       = Event{4003, zapcore.InfoLevel, "draining", "The searcher refuses new requests and finishes the running ones."}
	SearcherAnnounceFailed = Event{4004, zapcore.WarnLevel, "announcement failed", "No entry node accepted the searcher's announcement; the searcher retries. Check the announce addresses and the entry nodes."}
	SearcherListenerFailed = Event{4005, zapcore.ErrorLevel, "listener failed", "The searcher can no longer accept connections. Restart it."}
)

// SearcherEvents lists the events in this file for Catalogue.
var SearcherEvents = []Event{SearcherStarted, SearcherStopped, SearcherDraining, SearcherAnnounceFailed, SearcherListenerFailed}
