package replica

// Effect is something for the driver to do, in the order given: one of the
// types of this file.
type Effect interface{ effect() }

// Persist writes to the write-ahead log, in the order of Seq, and then reports
// Persisted. Entries replace everything from their first index on. Snapshot,
// when set, is one that the leader sent; with ResetLog it replaces the log.
type Persist struct {
	Seq       uint64
	HardState *HardState
	Entries   []Entry
	Snapshot  *Snapshot
	ResetLog  bool
}

// Send sends a message, at most once.
type Send struct{ Message Message }

// SendSnapshot sends the newest saved snapshot to a member as a
// SnapshotRequest in a message like Message, then reports SnapshotSent.
type SendSnapshot struct {
	Message Message
	Request SnapshotRequest
}

// Apply hands committed entries to the state machine.
type Apply struct{ Entries []Entry }

// Restore replaces the state machine's state.
type Restore struct{ Snapshot Snapshot }

// Accepted tells that a proposal stands in the log at Index. It is committed
// if and only if the entry applied at Index has this Term.
type Accepted struct {
	ID    uint64
	Index uint64
	Term  uint64
}

// Refused tells that a proposal was not appended and never will be.
type Refused struct {
	ID     uint64
	Reason RefusalReason
}

// RefusalReason says why a proposal or change was refused.
type RefusalReason string

// Reasons of refusals.
const (
	RefusedNotLeader  RefusalReason = "not the leader"
	RefusedPending    RefusalReason = "another membership change is not committed yet"
	RefusedNewTerm    RefusalReason = "the leader has not committed an entry of its term yet"
	RefusedUnknown    RefusalReason = "no such member"
	RefusedBehind     RefusalReason = "the learner does not hold everything committed"
	RefusedNoQuorum   RefusalReason = "the new voters would have no live quorum"
	RefusedLastVoter  RefusalReason = "the last voter can't be removed"
	RefusedIsMember   RefusalReason = "the replica is a member already"
	RefusedVoterFirst RefusalReason = "a new replica must join as a learner"
)

// ReadReady tells that a read is current: every entry committed before the
// read was asked for is applied.
type ReadReady struct{ ID uint64 }

// ReadFailed tells that no quorum confirmed a read.
type ReadFailed struct{ ID uint64 }

func (Persist) effect()      {}
func (Send) effect()         {}
func (SendSnapshot) effect() {}
func (Apply) effect()        {}
func (Restore) effect()      {}
func (Accepted) effect()     {}
func (Refused) effect()      {}
func (ReadReady) effect()    {}
func (ReadFailed) effect()   {}
