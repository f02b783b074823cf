package telemetry

import "go.uber.org/zap/zapcore"

// Events of the control part, 2xxx.
var (
	ControlStarted     = Event{2001, zapcore.InfoLevel, "started", "The process listens on its addresses."}
	ControlStopped     = Event{2002, zapcore.InfoLevel, "stopped", "The process has finished its shutdown."}
	ControlRecovered   = Event{2003, zapcore.InfoLevel, "data folder opened", "Fresh means that the folder was empty and the replica has a new incarnation; after a lost disk, run wigeonctl replace. A torn tail was never acknowledged and needs nothing."}
	ControlRole        = Event{2004, zapcore.InfoLevel, "role or leader changed", "The replica follows another leader, leads, or knows no leader. Often repeated: look for a cut between the control VMs."}
	ControlFailed      = Event{2005, zapcore.ErrorLevel, "stopped by a failure", "The process can't go on, for example after a failed sync. It ends; check the disk before starting it again."}
	ControlFounded     = Event{2006, zapcore.InfoLevel, "group founded", "Every first member held nothing and the replica has founded the group."}
	ControlGroupExists = Event{2007, zapcore.WarnLevel, "group exists already", "The replica holds nothing, but another member holds the group. If it is a first start, the leader brings it up to date; after a lost disk, run wigeonctl replace."}
	ControlMembership  = Event{2008, zapcore.InfoLevel, "membership change committed", "One step of a replacement is in force."}
	ControlSnapshot    = Event{2010, zapcore.InfoLevel, "snapshot saved", "The log before this index can go. Needs nothing."}
	ControlRepaired    = Event{2009, zapcore.InfoLevel, "replica repaired", "The replacement holds everything committed and votes."}
)

// Events about targets and the routing table.
var (
	ControlTargetChanged      = Event{2101, zapcore.InfoLevel, "target changed", "News of a target is in force here; source tells whether it announced or departed at this process."}
	ControlLeavingUnconfirmed = Event{2102, zapcore.WarnLevel, "leaving target not acknowledged", "The nodes in behind did not confirm in time that the target leaves. The target tells another control process; look at those nodes if it repeats."}
	ControlWatcherJoined      = Event{2103, zapcore.InfoLevel, "node follows", "An entry node or control process polls this one for news."}
	ControlWatcherLost        = Event{2104, zapcore.WarnLevel, "node follows no longer", "A node has not polled for more than a second; it is no longer waited for."}
	ControlTableAccepted      = Event{2105, zapcore.InfoLevel, "routing table accepted", "A routing table of at least this version is synced by a quorum."}
	ControlTableRefused       = Event{2106, zapcore.WarnLevel, "routing table not accepted", "The order was not acknowledged; it may still come into force. The operator sends it again."}
	ControlMended             = Event{2107, zapcore.InfoLevel, "group mended", "The leader changed the membership by itself: a learner added, promoted, or a lost replica removed. Committed tells whether the step is in force."}
	ControlReloaded           = Event{2109, zapcore.InfoLevel, "settings reloaded", "The settings were read again; the control processes in controls are followed besides the known ones."}
	ControlCallFailed         = Event{2108, zapcore.WarnLevel, "call refused", "A call of an operator or a target was refused; the reason is in error."}
)

// Events about the disk.
var (
	ControlDiskFull  = Event{2201, zapcore.WarnLevel, "disk full", "The disk takes no more bytes; the write is tried again. Reads and check-ins go on, and other replicas take over. Make room on the data folder's disk."}
	ControlDiskStuck = Event{2202, zapcore.WarnLevel, "leader leaves for its disk", "A write has taken longer than an election timeout; the leader asks another replica to take over."}
)

// ControlEvents lists the events of this file, for the catalogue.
var ControlEvents = []Event{
	ControlStarted, ControlStopped, ControlRecovered, ControlRole, ControlFailed,
	ControlFounded, ControlGroupExists, ControlMembership, ControlRepaired, ControlSnapshot,
	ControlTargetChanged, ControlLeavingUnconfirmed, ControlWatcherJoined, ControlWatcherLost,
	ControlTableAccepted, ControlTableRefused, ControlMended, ControlCallFailed, ControlReloaded,
	ControlDiskFull, ControlDiskStuck,
}
