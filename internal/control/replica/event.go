package replica

import "time"

// Event is an input of State.Step: one of the types in this file.
type Event interface{ event() }

// Tick reports the time since the process started.
type Tick struct {
	Now time.Duration
	// Jitter, from 0 to 1, randomizes the next election timeout.
	Jitter float64
}

// Receive delivers a message from another replica.
type Receive struct{ Message Message }

// Persisted reports that every Persist effect up to Seq is synced to disk.
type Persisted struct{ Seq uint64 }

// Bootstrap creates the group on a replica that has no log and no term yet.
type Bootstrap struct{ Membership Membership }

// Propose asks the leader to append commands, in one batch.
type Propose struct{ Proposals []Proposal }

// Proposal is a command and the ID under which its outcome is reported.
type Proposal struct {
	ID   uint64
	Data []byte
}

// ChangeMembers asks the leader for one step of a membership change.
type ChangeMembers struct {
	ID     uint64
	Change Change
}

// Read asks for confirmation by a quorum that a read is current.
type Read struct{ ID uint64 }

// TransferLeadership asks a leader to transfer leadership to another voter
// before it stops.
type TransferLeadership struct{}

// SnapshotSaved reports that a snapshot at Index is on disk, so that the log
// before KeepFrom may be dropped.
type SnapshotSaved struct {
	Index    uint64
	KeepFrom uint64
}

// SnapshotSent reports that the driver finished or gave up sending a snapshot.
type SnapshotSent struct {
	To Identity
}

func (Tick) event()               {}
func (Receive) event()            {}
func (Persisted) event()          {}
func (Bootstrap) event()          {}
func (Propose) event()            {}
func (ChangeMembers) event()      {}
func (Read) event()               {}
func (TransferLeadership) event() {}
func (SnapshotSaved) event()      {}
func (SnapshotSent) event()       {}
