package entry

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
)

// Effect is something that the driver must do.
type Effect interface{ effect() }

// SendShards sends a shard request to a target.
type SendShards struct {
	Attempt  AttemptID
	Query    QueryID
	Target   api.TargetID
	Service  string
	Snapshot api.Snapshot
	Shards   []api.ShardID
	Deadline time.Time
	// Extra tells that the request is a hedge, a retry or a trial.
	Extra bool
}

// CancelAttempt gives up a request to a target. Its connection is closed.
type CancelAttempt struct{ Attempt AttemptID }

// CheckConnections asks for the idle connections to a target to be tried,
// since one of them was found silent.
type CheckConnections struct{ Target api.TargetID }

// SetTimer sets a query's only timer.
type SetTimer struct {
	Query QueryID
	At    time.Time
}

// Accepted names the shards of one reply that count for the answer.
type Accepted struct {
	Attempt AttemptID
	Shards  []api.ShardID
}

// AnswerSearch answers a search with the merged replies named.
type AnswerSearch struct {
	Query         QueryID
	Service       string
	Snapshot      api.Snapshot
	NewestVersion uint64
	ConfigVersion uint64
	Coverage      api.Coverage
	Accepted      []Accepted
	Warnings      []string
}

// Refuse answers a request with problem details.
type Refuse struct {
	Query   QueryID
	Problem *api.Problem
}

// DiscardReply drops the body kept for an attempt that won't count.
type DiscardReply struct{ Attempt AttemptID }

// ClaimKey claims a key in the ledger.
type ClaimKey struct {
	Query       QueryID
	Key         string
	KeyTimeMS   int64
	Claim       uint64
	Service     string
	Fingerprint uint64
	Deadline    time.Time
}

// SendSubmit sends a non-idempotent request to a target. The driver must send
// it at most once, and over a connection that has answered before.
type SendSubmit struct {
	Attempt  AttemptID
	Query    QueryID
	Target   api.TargetID
	Service  string
	Key      string
	Claim    uint64
	Deadline time.Time
	// GiveUp is when to stop waiting for a late reply.
	GiveUp time.Time
}

// RecordOutcome records a claim's outcome in the ledger. The driver repeats it
// until it is committed or the process ends.
type RecordOutcome struct {
	Query     QueryID
	Key       string
	KeyTimeMS int64
	Claim     uint64
	State     controlrpc.ClaimState
	Outcome   controlrpc.Outcome
}

// AnswerSubmit answers a non-idempotent request that ran.
type AnswerSubmit struct {
	Query    QueryID
	Key      string
	Outcome  controlrpc.Outcome
	Replayed bool
}

// SetConnections sets how many connections may be held to a target.
type SetConnections struct {
	Target  api.TargetID
	Address string
	// Connections is the greatest number of connections.
	Connections int
	// Expected is the number of requests that run at once, for which
	// connections are opened ahead of need.
	Expected int
}

// ForgetTarget closes the connections to a target that is gone.
type ForgetTarget struct{ Target api.TargetID }

// ReportTarget passes on a state that a target told with a reply, before its
// announcement came.
type ReportTarget struct {
	Target      api.TargetID
	Incarnation uint64
	State       api.TargetState
}

// Note asks for a numbered log event about a target.
type Note struct {
	Kind   NoteKind
	Target api.TargetID
}

// NoteKind names what a Note is about.
type NoteKind int

// Kinds of notes.
const (
	NoteEjected NoteKind = iota
	NoteReturned
	NoteSuspect
	NoteSilentConnection
	NoteForeignReply
)

func (SendShards) effect()       {}
func (CancelAttempt) effect()    {}
func (CheckConnections) effect() {}
func (SetTimer) effect()         {}
func (AnswerSearch) effect()     {}
func (Refuse) effect()           {}
func (DiscardReply) effect()     {}
func (ClaimKey) effect()         {}
func (SendSubmit) effect()       {}
func (RecordOutcome) effect()    {}
func (AnswerSubmit) effect()     {}
func (SetConnections) effect()   {}
func (ForgetTarget) effect()     {}
func (ReportTarget) effect()     {}
func (Note) effect()             {}
