package replica

import "time"

// Message goes from one replica to another. It may be lost, repeated, delayed
// and reordered.
type Message struct {
	// Group is the sender's group, empty while it has no membership.
	Group string
	From  Identity
	// To includes the incarnation that the sender expects. A replica drops
	// what is meant for another incarnation of itself.
	To   Identity
	Term uint64
	Body Body
}

// Body is the content of a message: one of the types of this file.
type Body interface{ body() }

// VoteRequest asks for a vote, or with Pre whether a vote would be granted.
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
	// Round numbers the leader's confirmations; the reply returns it.
	Round uint64
	// SentAt is the leader's time of sending; the reply returns it.
	SentAt time.Duration
	// Current is the newest of the receiver's own times (AppendReply.RepliedAt)
	// at or after which a quorum confirmed the leader; 0 for none. It holds for
	// the receiver's start CurrentBoot.
	Current     time.Duration
	CurrentBoot uint64
}

// AppendReply answers an AppendRequest or a SnapshotRequest.
type AppendReply struct {
	// Rejected tells that the log lacks the entry before the request's.
	Rejected bool
	// PrevIndex is the request's, for a rejected request.
	PrevIndex uint64
	// Hint is the highest index that may match, for a rejected request.
	Hint uint64
	// Match is the highest index that is persisted and known to match.
	Match uint64
	// Received is the highest index known to match, persisted or not.
	Received uint64
	Round    uint64
	SentAt   time.Duration
	// RepliedAt is the sender's own time since its start Boot; the leader
	// returns both.
	RepliedAt time.Duration
	Boot      uint64
}

// SnapshotRequest carries a whole snapshot to a member that lags behind the
// leader's log.
type SnapshotRequest struct {
	Snapshot Snapshot
	Round    uint64
	SentAt   time.Duration
}

// TakeOver asks a voter that holds the leader's whole log to stand for election
// at once.
type TakeOver struct{}

// ReadRequest asks the leader to confirm a read for the sender.
type ReadRequest struct {
	ID   uint64
	Boot uint64
}

// ReadReply answers a ReadRequest: the read is current once Index is applied.
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
