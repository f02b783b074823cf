package replica

import "time"

// Event is something that happened: one of the types of this file.
type Event interface{ event() }

// Tick tells the time since the process started.
type Tick struct {
	Now time.Duration
	// Jitter, from 0 to 1, spreads the next election timeout.
	Jitter float64
}

// Receive hands over a message from another replica.
type Receive struct{ Message Message }

// Persisted tells that every Persist effect up to Seq is synced to disk.
type Persisted struct{ Seq uint64 }

// Found founds the group on a replica that holds nothing yet.
type Found struct{ Membership Membership }

// Propose asks the leader to append commands, in one batch.
type Propose struct{ Proposals []Proposal }

// Proposal is a command and the number by which its fate is reported.
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

// StepAside asks a leader to hand over to another voter before it stops.
type StepAside struct{}

// SnapshotSaved tells that a snapshot of this index is on disk, so that the
// log before KeepFrom may go.
type SnapshotSaved struct {
	Index    uint64
	KeepFrom uint64
}

// SnapshotSent tells that the driver gave up or finished sending a snapshot.
type SnapshotSent struct {
	To Identity
}

func (Tick) event()          {}
func (Receive) event()       {}
func (Persisted) event()     {}
func (Found) event()         {}
func (Propose) event()       {}
func (ChangeMembers) event() {}
func (Read) event()          {}
func (StepAside) event()     {}
func (SnapshotSaved) event() {}
func (SnapshotSent) event()  {}
