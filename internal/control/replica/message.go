package replica

import "time"

// Message is sent from one replica to another. It may be lost, duplicated,
// delayed or reordered.
type Message struct {
	// Group is the sender's group, empty while it has no membership.
	Group string
	From  Identity
	// To includes the incarnation that the sender expects. A replica drops
	// messages addressed to another incarnation of itself.
	To   Identity
	Term uint64
	Body Body
}

// Body is the content of a message: one of the types in this file.
type Body interface{ body() }

// VoteRequest asks for a vote or, with Pre, whether a vote would be granted.
type VoteRequest struct {
	Pre       bool
	LastIndex uint64
	LastTerm  uint64
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Pre     bool
	Granted bool
}

// AppendRequest carries entries from the leader; without entries it is a
// heartbeat.
type AppendRequest struct {
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []Entry
	Commit    uint64
	// Round is the number of the leader's confirmation round; the reply echoes
	// it.
	Round uint64
	// SentAt is the leader's time of sending; the reply echoes it.
	SentAt time.Duration
	// Current is the newest of the receiver's own times (AppendReply.RepliedAt)
	// at or after which a quorum confirmed the leader; 0 for none. It is valid
	// only for the receiver's process start CurrentBoot.
	Current     time.Duration
	CurrentBoot uint64
}

// AppendReply answers an AppendRequest or a SnapshotRequest.
type AppendReply struct {
	// Rejected is set if the log lacks the entry before the request's entries,
	// or if the term of the request has passed.
	Rejected bool
	// PrevIndex repeats the PrevIndex of the request, if it is rejected.
	PrevIndex uint64
	// Hint is the highest index that may match, if the request is rejected
	// because of the log.
	Hint uint64
	// Match is the highest index that is synced and known to match the leader's
	// log.
	Match uint64
	// Received is the highest index known to match, synced or not.
	Received uint64
	Round    uint64
	SentAt   time.Duration
	// RepliedAt is the sender's own time since its process start Boot. The
	// leader returns both in later requests.
	RepliedAt time.Duration
	Boot      uint64
}

// SnapshotRequest carries a whole snapshot to a member that needs entries that
// the leader's log no longer holds.
type SnapshotRequest struct {
	Snapshot Snapshot
	Round    uint64
	SentAt   time.Duration
}

// TakeOver asks a voter that holds the leader's whole log to campaign at once;
// it is the TimeoutNow request of the thesis (section 3.10).
type TakeOver struct{}

// ReadRequest asks the leader to confirm a read for the sender.
type ReadRequest struct {
	ID   uint64
	Boot uint64
}

// ReadReply answers a ReadRequest. If OK is set, the read is current once the
// entry at Index is applied.
type ReadReply struct {
	ID    uint64
	Boot  uint64
	OK    bool
	Index uint64
}

func (VoteRequest) body()     {}
func (VoteReply) body()       {}
func (AppendRequest) body()   {}
func (AppendReply) body()     {}
func (SnapshotRequest) body() {}
func (TakeOver) body()        {}
func (ReadRequest) body()     {}
func (ReadReply) body()       {}
