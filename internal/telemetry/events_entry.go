package telemetry

import "go.uber.org/zap/zapcore"

// Events of the entry part, 1xxx.
var (
	EntryStarted          = Event{1001, zapcore.InfoLevel, "started", "The entry node listens on its addresses."}
	EntryStopped          = Event{1002, zapcore.InfoLevel, "stopped", "The entry node has finished its shutdown; no request was cut off."}
	EntryTargetEjected    = Event{1101, zapcore.WarnLevel, "target set aside", "The target's latency is far above its peers'; it gets trials only until it is as fast as they are."}
	EntryTargetReturned   = Event{1102, zapcore.InfoLevel, "target takes work again", "Trials of the target were as fast as its peers."}
	EntryTargetSuspect    = Event{1103, zapcore.WarnLevel, "target unreachable", "Several requests in a row failed by the target's fault; it gets trials only until it replies."}
	EntrySilentConnection = Event{1104, zapcore.WarnLevel, "silent connection replaced", "A connection carried no reply while others to the same target did; it was closed. Many of these point at something between the VMs and the targets."}
	EntryForeignReply     = Event{1105, zapcore.ErrorLevel, "reply on another snapshot dropped", "A target replied on a snapshot that was not asked for; the reply was not merged."}
	EntryRecordFailed     = Event{1201, zapcore.ErrorLevel, "outcome not recorded", "The outcome of a non-idempotent request could not be recorded; resends with its key are told that it may have run."}
)

// EntryEvents lists the events of this file, for the catalogue.
var EntryEvents = []Event{
	EntryStarted, EntryStopped, EntryTargetEjected, EntryTargetReturned, EntryTargetSuspect,
	EntrySilentConnection, EntryForeignReply, EntryRecordFailed,
}
