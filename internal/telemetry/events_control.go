package telemetry

import "go.uber.org/zap/zapcore"

// Events of control processes, 2xxx.
var (
	ControlStarted             = Event{2001, zapcore.InfoLevel, "started", "The process listens on its addresses."}
	ControlStopped             = Event{2002, zapcore.InfoLevel, "stopped", "The process has shut down."}
	ControlDataFolderOpened    = Event{2003, zapcore.InfoLevel, "data folder opened", "The replica has opened its data folder. If fresh is true, the folder was empty and the replica has a new incarnation; after the loss of a disk, run wigeonctl replace. A torn tail was never acknowledged and needs no action."}
	ControlRoleChanged         = Event{2004, zapcore.InfoLevel, "role or leader changed", "The replica follows another leader, has become leader, or knows no leader. If this repeats often, look for a network failure between the control VMs."}
	ControlFatalError          = Event{2005, zapcore.ErrorLevel, "fatal error", "The process cannot continue, for example after a failed sync, and exits. Check the disk before starting it again."}
	ControlGroupBootstrapped   = Event{2006, zapcore.InfoLevel, "group bootstrapped", "All initial members were empty, and this replica has created the group."}
	ControlGroupExists         = Event{2007, zapcore.WarnLevel, "group already exists", "The replica is empty, but another member has data of the group. On a first start the leader brings the replica up to date; after the loss of a disk, run wigeonctl replace."}
	ControlMembershipCommitted = Event{2008, zapcore.InfoLevel, "membership change committed", "One step of a membership change is in force."}
	ControlSnapshotSaved       = Event{2010, zapcore.InfoLevel, "snapshot saved", "The replica has saved a snapshot up to this index; the log before it can be removed. No action is needed."}
	ControlReplicaReplaced     = Event{2009, zapcore.InfoLevel, "replica replaced", "The new replica has all committed entries and votes."}
)

// Events about targets and the routing table.
var (
	ControlTargetChanged             = Event{2101, zapcore.InfoLevel, "target changed", "A changed record of a target is in force on this process. The field source tells whether the target announced or deregistered itself at this process."}
	ControlWithdrawalUnconfirmed     = Event{2102, zapcore.WarnLevel, "withdrawal of target not confirmed", "The nodes listed in behind did not confirm in time that the target takes no more work. The target retries at another control process. If this repeats, check those nodes."}
	ControlWatcherConnected          = Event{2103, zapcore.InfoLevel, "watcher connected", "An entry node or control process has started to poll this process for changes."}
	ControlWatcherLost               = Event{2104, zapcore.WarnLevel, "watcher lost", "A node has not polled this process for more than a second and is no longer waited for."}
	ControlTableAccepted             = Event{2105, zapcore.InfoLevel, "routing table accepted", "A quorum has synced a routing table of at least this version."}
	ControlTableNotAccepted          = Event{2106, zapcore.WarnLevel, "routing table not accepted", "The update of the routing table was not acknowledged, but may still take effect. The operator should send it again."}
	ControlAutomaticMembershipChange = Event{2107, zapcore.InfoLevel, "automatic membership change", "The leader changes the membership automatically: it adds or promotes a learner, or removes a lost replica. The field committed tells whether the change is in force."}
	ControlVerdictChanged            = Event{2110, zapcore.WarnLevel, "verdict on request changed", "Entry nodes have reported three crashes of targets while they ran the request with this fingerprint, or a further one, or with in_force false that a target has answered it since. All entry nodes are told."}
	ControlPeerChanged               = Event{2111, zapcore.InfoLevel, "entry node as peer changed", "An entry node takes requests from other entry nodes at another address than before. An empty address means that it takes none: it stops, or can't reach most targets."}
	ControlSettingsReloaded          = Event{2109, zapcore.InfoLevel, "settings reloaded", "The settings were reloaded. The process polls the control processes listed in controls in addition to those it already knows."}
	ControlQuotasInvalid             = Event{2120, zapcore.ErrorLevel, "quotas of routing table not applied", "The routing table of this version can't be decoded, so the quotas of the one before stay in force. The routing table was accepted by a process of another version; submit it again."}
	ControlEvacuationAccepted        = Event{2112, zapcore.InfoLevel, "order to evacuate accepted", "A quorum has synced an order to evacuate a data centre, or with evacuated false its withdrawal. The field operator is the address that it came from. Entry nodes follow it within seconds; wigeonctl evacuate list shows which do."}
	ControlEvacuationNotAccepted     = Event{2113, zapcore.WarnLevel, "order to evacuate not accepted", "An order to evacuate a data centre, or its withdrawal, was not acknowledged, but may still take effect unless the code is unsupported. The operator should send it again. With the code unsupported, the processes listed in detail are of an earlier build that would not follow the order: replace them first."}
	ControlCallRefused               = Event{2108, zapcore.WarnLevel, "call refused", "A call of an operator or a target was refused; the field error holds the reason."}
)

// Events about the disk.
var (
	ControlDiskFull         = Event{2201, zapcore.WarnLevel, "disk full", "A write failed because the disk is full. Writes to the log are retried, and so are the leader's snapshots and a start without a data folder. Reads and check-ins continue, and other replicas take over. Free space on the disk of the data folder."}
	ControlSlowDiskTransfer = Event{2202, zapcore.WarnLevel, "leadership transfer because of slow disk", "A disk write has taken longer than the election timeout; the leader asks another replica to take over."}
)

// ControlEvents lists the events in this file for Catalogue.
var ControlEvents = []Event{
	ControlStarted, ControlStopped, ControlDataFolderOpened, ControlRoleChanged, ControlFatalError,
	ControlGroupBootstrapped, ControlGroupExists, ControlMembershipCommitted,
	ControlReplicaReplaced, ControlSnapshotSaved,
	ControlTargetChanged, ControlWithdrawalUnconfirmed, ControlWatcherConnected, ControlWatcherLost,
	ControlTableAccepted, ControlTableNotAccepted, ControlAutomaticMembershipChange,
	ControlEvacuationAccepted, ControlEvacuationNotAccepted, ControlQuotasInvalid,
	ControlCallRefused, ControlVerdictChanged, ControlPeerChanged, ControlSettingsReloaded,
	ControlDiskFull, ControlSlowDiskTransfer,
}
