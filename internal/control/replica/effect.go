package replica

// Effect is an action that the driver carries out, in the order given: one of
// the types in this file.
type Effect interface{ effect() }

// Persist asks the driver to write to the write-ahead log, in the order of Seq,
// and then to report Persisted. Entries replace everything from their first
// index on. Snapshot, if set, was received from the leader; with ResetLog it
// replaces the log.
type Persist struct {
	Seq       uint64
	HardState *HardState
	Entries   []Entry
	Snapshot  *Snapshot
	ResetLog  bool
}

// Send sends a message, at most once.
type Send struct{ Message Message }

// SendSnapshot sends Message with Request as its body, after the driver has
// filled in the newest saved snapshot. The driver then reports SnapshotSent.
type SendSnapshot struct {
	Message Message
	Request SnapshotRequest
}

// Apply passes committed entries to the state machine.
type Apply struct{ Entries []Entry }

// Restore replaces the state machine's state.
type Restore struct{ Snapshot Snapshot }

// Accepted reports that a proposal or membership change was appended to the log
// at Index. It is committed if and only if the entry applied at Index has this
// Term.
type Accepted struct {
	ID    uint64
	Index uint64
	Term  uint64
}

// Refused reports that a proposal or membership change was not appended and
// never will be.
type Refused struct {
	ID     uint64
	Reason RefusalReason
}

// RefusalReason is why a proposal or membership change was refused.
type RefusalReason string

// Reasons for refusals.
const (
	RefusedNotLeader        RefusalReason = "not the leader"
	RefusedPending          RefusalReason = "another membership change is not committed yet"
	RefusedTermNotCommitted RefusalReason = "the leader has not committed an entry of its term yet"
	RefusedUnknown          RefusalReason = "no such member"
	RefusedBehind           RefusalReason = "the learner does not hold everything committed"
	RefusedNoQuorum         RefusalReason = "the new voters would have no live quorum"
	RefusedLastVoter        RefusalReason = "the last voter can't be removed"
	RefusedIsMember         RefusalReason = "the replica is a member already"
	RefusedNotLearner       RefusalReason = "a new replica must join as a learner"
)

// ReadReady reports that a read is current: every entry committed before the
// read was requested is applied.
type ReadReady struct{ ID uint64 }

// ReadFailed reports that a read was not confirmed by a quorum.
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
