package telemetry

import "go.uber.org/zap/zapcore"

// Events of entry nodes, 1xxx.
var (
	EntryStarted                = Event{1001, zapcore.InfoLevel, "started", "The entry node listens on its addresses."}
	EntryStopped                = Event{1002, zapcore.InfoLevel, "stopped", "The entry node has shut down. No request was interrupted."}
	EntryReloadIgnored          = Event{1003, zapcore.InfoLevel, "settings not reloaded", "The process received SIGHUP. Changes of the settings for searches need a restart of the node."}
	EntryOperatorListenerFailed = Event{1004, zapcore.ErrorLevel, "operator listener failed", "The node continues to serve requests, but answers neither wigeonctl nor monitoring until it is restarted."}
	EntryTargetEjected          = Event{1101, zapcore.WarnLevel, "target ejected", "The target's latency is far above that of its peers. It gets only trial requests until it is as fast as they are."}
	EntryTargetReadmitted       = Event{1102, zapcore.InfoLevel, "target readmitted", "Trial requests to the target were as fast as requests to its peers."}
	EntryTargetUnreachable      = Event{1103, zapcore.WarnLevel, "target unreachable", "Several consecutive requests failed because of the target. It gets only trial requests until it replies."}
	EntrySilentConnection       = Event{1104, zapcore.WarnLevel, "silent connection replaced", "A connection carried no reply while other connections to the same target did, and was closed. If this repeats often, look for a network problem between the VMs and the targets."}
	EntrySnapshotMismatch       = Event{1105, zapcore.ErrorLevel, "reply for another snapshot discarded", "A target replied for a snapshot that was not requested; the reply was not merged."}
	EntryNoTargetAnswers        = Event{1106, zapcore.WarnLevel, "no target answers", "Several targets have left requests of this node unanswered and no other one has replied since. The node passes searches and submits on to other entry nodes."}
	EntryTargetsAnswer          = Event{1107, zapcore.InfoLevel, "targets answer again", "A target has replied to a request or a health check."}
	EntryOutcomeNotRecorded     = Event{1201, zapcore.ErrorLevel, "outcome not recorded", "The outcome of a non-idempotent request could not be recorded. Retries with its key are told that the request may have run."}
)

// Events of forwarded requests.
var (
	ForwardStarted                 = Event{1301, zapcore.InfoLevel, "forwarding started", "The node listens for callers and polls the control processes for targets and the routing table."}
	ForwardStopped                 = Event{1302, zapcore.InfoLevel, "forwarding stopped", "The node has shut down; in_progress is the number of requests that had not finished."}
	ForwardDraining                = Event{1303, zapcore.InfoLevel, "draining", "The node fails readiness checks and continues to serve requests until no more arrive or the shutdown time is over."}
	ForwardSettingsReloaded        = Event{1304, zapcore.InfoLevel, "settings reloaded", "The settings were reloaded. The node polls the control processes listed in controls in addition to those it already knows."}
	ForwardTableInForce            = Event{1305, zapcore.InfoLevel, "routing table in force", "A newer version of the routing table applies to requests from now on."}
	ForwardTableInvalid            = Event{1306, zapcore.ErrorLevel, "invalid routing table", "A routing table from a control process cannot be decoded; the previous one stays in force. Report this as a bug: the table was validated when it was accepted."}
	ForwardTargetChanged           = Event{1307, zapcore.InfoLevel, "target changed", "A changed record of a target is in force on this node."}
	ForwardTargetUnreachable       = Event{1308, zapcore.WarnLevel, "target unreachable", "Consecutive requests to the target failed. The node sends it health checks until one succeeds."}
	ForwardTargetReachable         = Event{1309, zapcore.InfoLevel, "target reachable", "The target replies again and receives requests."}
	ForwardRequestEnded            = Event{1310, zapcore.InfoLevel, "request ended", "Summary of a request: its route, the targets that succeeded immediately, every other attempt with its time, outcome and status, and the result. Status 0 means that the caller had disconnected."}
	ForwardRequestFailedOrDegraded = Event{1312, zapcore.WarnLevel, "request failed or degraded", "Like event 1310 with all attempts in full, for a request that was refused, failed, was answered late or incompletely, or whose caller had disconnected. The field reason tells why it was refused; sends lists the outcome of each attempt. Of the pools that have not answered, queue_length counts the queued parts of other requests and leaving_targets the targets that leave. The fingerprint is the same for all requests with the same method, host, URI and body."}
	ForwardRequestRejected         = Event{1311, zapcore.WarnLevel, "request rejected", "A request was refused before it was routed: its body could not be read or is too large, or the node is shutting down (503)."}
	ForwardTargetHeldBack          = Event{1314, zapcore.InfoLevel, "target held back", "The target refused a request with a retry time. Until it has passed, the target gets no requests from this node, and then one at a time until it runs one."}
	ForwardTargetLeaving           = Event{1315, zapcore.InfoLevel, "target says that it leaves", "A reply of the target says that it leaves. It gets no new requests from this node, whatever is announced about this incarnation, and the control processes are told."}
	ForwardTargetLimited           = Event{1316, zapcore.InfoLevel, "target names a rate limit", "A reply of the target names the requests per second that it takes from all entry nodes together, or another number than before. This node keeps to the field share, in requests per second, 0 for none. The fields sent and for give what this node has sent it since it first named one. Logged at most once a second for each target."}
	ForwardTargetLimitLifted       = Event{1317, zapcore.InfoLevel, "target's rate limit lifted", "A reply of the target names no rate limit any more. The fields sent and for give what this node has sent it while it named one."}
	ForwardTargetCold              = Event{1330, zapcore.InfoLevel, "target may be cold", "The target has restarted, was unreachable or its data centre has come back. Until a health check says that it is warm, it gets no more from this node than the field share, in requests per second, 0 for nothing."}
	ForwardTargetWarm              = Event{1331, zapcore.InfoLevel, "target is warm", "A health check has said that the target is warm; it gets its usual share of requests."}
	ForwardAccountOverQuota        = Event{1340, zapcore.InfoLevel, "account above its quota", "Requests of the account are refused with 429 because it sends more than its rate and burst allow over all entry nodes. The event is repeated once no request was refused for 10 s. If the account should be allowed more, raise its quota in the routing table."}
	ForwardQuotaUnknown            = Event{1341, zapcore.WarnLevel, "no leader grants quotas", "No control process has passed on an answer of the leader of the control group. Requests of accounts with quotas are refused with 503 once the node has used its tokens; others are not affected. Check that the control processes run, are reached and have a leader, and that none is of an earlier version."}
	ForwardQuotaGranted            = Event{1342, zapcore.InfoLevel, "leader grants quotas", "The leader of the control group has answered a request for tokens, for the first time after it did not."}
	ForwardRegionsExcluded         = Event{1350, zapcore.WarnLevel, "route without an allowed region", "The routing table in force binds the route to regions in which the settings name no data centre (everyone is true), or has client accounts whose regions aren't among those of the route. These requests are refused with 503 (reason no_allowed_region). The command explain of wigeonctl lists the accounts. Logged when it changes."}
	ForwardRequestCrashedTarget    = Event{1318, zapcore.WarnLevel, "target crashed while it ran a request", "The connection to the target was lost while it ran the request, and its address refuses connections or belongs to another start. The control processes are told. Other requests that it was running are logged as well; those that don't cause crashes are answered when they are sent again."}
	ForwardRequestQuarantined      = Event{1319, zapcore.ErrorLevel, "request in quarantine", "Three crashes of targets happened while they ran the request with this fingerprint, and none has answered it since. All entry nodes refuse it with 503 (reason crashes_targets) until the given time. Event 1312 of the earlier attempts has its URI; the fault is in the searcher."}
	ForwardRequestReleased         = Event{1320, zapcore.InfoLevel, "request out of quarantine", "A target has answered the request since the last crash, so it is served again."}
	ForwardNoTargetAnswers         = Event{1321, zapcore.WarnLevel, "no target answers", "Several targets have left requests of this node unanswered and no other one has replied since. The fault is on the node's side if other nodes don't log this at the same time. The field since_reply is the time since the last reply."}
	ForwardTargetsAnswer           = Event{1322, zapcore.InfoLevel, "targets answer again", "A target has replied to a request or a health check. The field since_reply is how long none did."}
	ForwardMostUnreachable         = Event{1324, zapcore.WarnLevel, "most targets unreachable", "The node can't reach more than half of the targets. It takes no requests from other entry nodes, and passes on those whose targets it doesn't reach."}
	ForwardMostReachable           = Event{1325, zapcore.InfoLevel, "most targets reachable again", "The node reaches at least half of the targets."}
	ForwardTargetDisplaced         = Event{1326, zapcore.InfoLevel, "target displaced", "Another registration with the same ID or address outranks that of the target: it has a later incarnation in a service that the routing table names, and no other target has answered at its address since. The address gets a health check. Usual when a searcher starts again or an address is used again; otherwise another writer announces itself in the name of a searcher."}
	ForwardTargetRestored          = Event{1327, zapcore.InfoLevel, "target restored", "No registration outranks that of the target any more, so it is used again: the routing table doesn't name the other one's service any more, another target has answered at its address, or control processes have found that the target goes on."}
	ForwardEvacuationsInForce      = Event{1328, zapcore.InfoLevel, "orders to evacuate in force", "The node follows newer orders to evacuate data centres. It sends nothing more to targets in the data centres listed in evacuated, and again to those in all others."}
	ForwardEvacuationsUnknown      = Event{1329, zapcore.WarnLevel, "orders to evacuate not known", "Since the start of this node only control processes of an earlier build have replied, which know no orders to evacuate data centres. The node serves as if there were none. Expected only while a system is upgraded."}
	ForwardCancelNotDelivered      = Event{1323, zapcore.WarnLevel, "cancellation not delivered", "The caller of a request that was passed on to another entry node has disconnected, and that node could not be told. It goes on with the request until its deadline or the end of the connection."}
	ForwardHeaderMalformed         = Event{1313, zapcore.WarnLevel, "malformed header", "A header of a caller or a target could not be parsed and is ignored. Without a deadline the timeout of the route applies; without a load report the node estimates the target's load from its own requests to it."}
)

// EntryEvents lists the events in this file for Catalogue.
var EntryEvents = []Event{
	EntryStarted, EntryStopped, EntryReloadIgnored, EntryOperatorListenerFailed, EntryTargetEjected, EntryTargetReadmitted, EntryTargetUnreachable,
	EntrySilentConnection, EntrySnapshotMismatch, EntryNoTargetAnswers, EntryTargetsAnswer, EntryOutcomeNotRecorded,
	ForwardStarted, ForwardStopped, ForwardDraining, ForwardSettingsReloaded, ForwardTableInForce,
	ForwardTableInvalid, ForwardTargetChanged, ForwardTargetUnreachable, ForwardTargetReachable, ForwardTargetDisplaced, ForwardTargetRestored,
	ForwardRequestEnded, ForwardRequestFailedOrDegraded, ForwardRequestRejected, ForwardHeaderMalformed, ForwardTargetHeldBack,
	ForwardRegionsExcluded,
	ForwardEvacuationsInForce, ForwardEvacuationsUnknown,
	ForwardTargetLeaving, ForwardTargetLimited, ForwardTargetLimitLifted, ForwardTargetCold, ForwardTargetWarm, ForwardAccountOverQuota, ForwardQuotaUnknown, ForwardQuotaGranted,
	ForwardRequestCrashedTarget, ForwardRequestQuarantined, ForwardRequestReleased, ForwardNoTargetAnswers, ForwardTargetsAnswer, ForwardCancelNotDelivered, ForwardMostUnreachable, ForwardMostReachable,
}
