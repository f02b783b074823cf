package telemetry

import "go.uber.org/zap/zapcore"

// Events of the membership protocol and of configuration distribution, 3xxx.
var (
	MembershipMemberJoined          = Event{3003, zapcore.InfoLevel, "entry node joined", "An entry node that was unknown, dead or gone is now a member; subject is its ID."}
	MembershipMemberSuspected       = Event{3004, zapcore.WarnLevel, "entry node suspected", "An entry node answered neither direct nor indirect probes. It is declared dead within seconds unless it refutes the suspicion. If this repeats for one node, check its load and its network."}
	MembershipMemberDead            = Event{3005, zapcore.WarnLevel, "entry node dead", "An entry node did not refute the suspicion. Its share of connections and leases passes to the others. Replace the VM or check its network."}
	MembershipMemberLeft            = Event{3006, zapcore.InfoLevel, "entry node left", "An entry node shut down gracefully."}
	MembershipSelfSuspected         = Event{3007, zapcore.WarnLevel, "this node was suspected", "Other nodes considered this node suspect or dead, and it has refuted that. If this repeats, the node is overloaded or its network loses messages."}
	MembershipPaused                = Event{3008, zapcore.WarnLevel, "this node was paused", "The process did not run for the time in subject. It asks its peers for the updates that it missed and suspects no other node for a while. Check the VM for CPU starvation and pauses."}
	MembershipIsolated              = Event{3009, zapcore.ErrorLevel, "this node is isolated", "No other entry node has been heard from for seconds. The node continues to serve with the state it has, declares no node dead and expires no lease. Check its network."}
	MembershipLeaseExpired          = Event{3010, zapcore.WarnLevel, "target lease expired", "A target did not renew its lease in time and is treated as gone; subject is its name. A later renewal restores it."}
	MembershipDataCentreUnreachable = Event{3011, zapcore.ErrorLevel, "data centre unreachable", "This node maintains contact with the data centre in subject and receives nothing from it. Its members and targets stay listed as unreachable."}
	MembershipDataCentreReachable   = Event{3012, zapcore.InfoLevel, "data centre reachable", "The data centre in subject is reachable again; records are being compared."}
	MembershipLeaveDone             = Event{3013, zapcore.InfoLevel, "left the cluster", "The other entry nodes have acknowledged that this node leaves, or the wait for that has timed out."}
	ConfigApplied                   = Event{3101, zapcore.InfoLevel, "configuration applied", "A newer version of the configuration is in force on this node."}
	ConfigReady                     = Event{3102, zapcore.InfoLevel, "configuration ready", "A control quorum has confirmed the configuration; the node may serve."}
	ConfigReadyUnconfirmed          = Event{3103, zapcore.WarnLevel, "configuration ready without a quorum", "No control quorum answered. The node serves with the highest version in its data centre. Check the control processes and the network."}
	ConfigControlChanged            = Event{3104, zapcore.InfoLevel, "switched to another control process", "The control process in subject was silent, slow, behind or without a quorum, or a nearer one is available again."}
	ConfigDeltaRejected             = Event{3105, zapcore.ErrorLevel, "configuration delta rejected", "A delta from the process in subject could not be applied and was discarded. Report this as a bug: two processes disagree about the same version."}
	ConfigUnconfirmed               = Event{3106, zapcore.WarnLevel, "configuration not confirmed", "No control quorum has confirmed the configuration for a long time. The node continues to serve with it."}
	ConfigConfirmed                 = Event{3107, zapcore.InfoLevel, "configuration confirmed again", "A control quorum confirms the configuration again."}
)

// Events of processes that poll control processes.
var (
	WatchControlUnreachable = Event{3201, zapcore.WarnLevel, "control process unreachable", "Polls of the control process fail. Updates come from the other control processes in the meantime. If this persists, check its machine and the network."}
	WatchControlReachable   = Event{3202, zapcore.InfoLevel, "control process reachable", "The control process answers polls again."}
)

// MembershipEvents lists the events in this file for Catalogue.
var MembershipEvents = []Event{
	MembershipMemberJoined, MembershipMemberSuspected,
	MembershipMemberDead, MembershipMemberLeft, MembershipSelfSuspected, MembershipPaused,
	MembershipIsolated, MembershipLeaseExpired, MembershipDataCentreUnreachable, MembershipDataCentreReachable,
	MembershipLeaveDone,
	ConfigApplied, ConfigReady, ConfigReadyUnconfirmed, ConfigControlChanged, ConfigDeltaRejected,
	ConfigUnconfirmed, ConfigConfirmed,
	WatchControlUnreachable, WatchControlReachable,
}
