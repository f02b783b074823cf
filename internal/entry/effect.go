package entry

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
)

// Effect is an action that the driver must carry out.
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
	// Extra is set if the request is a hedge, a retry or a trial.
	Extra bool
}

// CancelAttempt cancels a request to a target, which closes its connection.
type CancelAttempt struct{ Attempt AttemptID }

// CheckConnections checks the idle connections to a target with pings, because a
// connection to it is silent or may be. The driver replaces silent ones and
// reports them with ConnectionsChecked.
type CheckConnections struct{ Target api.TargetID }

// SetTimer sets the timer of a caller's request. Each request has one timer;
// setting it again replaces the previous time.
type SetTimer struct {
	Query QueryID
	At    time.Time
}

// Accepted lists the shards of one reply that enter the answer.
type Accepted struct {
	Attempt AttemptID
	Shards  []api.ShardID
}

// AnswerSearch answers a search by merging the accepted replies.
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

// PassOn passes a request on to another entry node.
type PassOn struct {
	Query QueryID
	Peer  Peer
	// Deadline is when the peer must have answered.
	Deadline      time.Time
	ConfigVersion uint64
}

// CancelPassOn ends a PassOn whose caller has disconnected.
type CancelPassOn struct{ Query QueryID }

// AnswerFromPeer answers a request with the last response of a peer.
type AnswerFromPeer struct{ Query QueryID }

// ProbeTarget sends a health check to a target.
type ProbeTarget struct {
	Target  api.TargetID
	Address string
}

// DiscardReply drops the stored reply of an attempt that does not enter an
// answer.
type DiscardReply struct{ Attempt AttemptID }

// ClaimKey claims an idempotency key in the ledger.
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
// it at most once, over a connection that has carried a reply before.
type SendSubmit struct {
	Attempt  AttemptID
	Query    QueryID
	Target   api.TargetID
	Service  string
	Key      string
	Claim    uint64
	Deadline time.Time
	// LateReplyDeadline is when to stop waiting for a reply after the caller
	// has been answered.
	LateReplyDeadline time.Time
}

// RecordOutcome records a claim's outcome in the ledger. The driver retries
// until the record is committed, its time limit is reached or the node stops.
type RecordOutcome struct {
	Query     QueryID
	Key       string
	KeyTimeMS int64
	Claim     uint64
	State     controlrpc.ClaimState
	Outcome   controlrpc.Outcome
}

// AnswerSubmit answers a non-idempotent request that has run. Replayed is set
// if the outcome comes from an earlier request with the same key.
type AnswerSubmit struct {
	Query    QueryID
	Key      string
	Outcome  controlrpc.Outcome
	Replayed bool
}

// SetConnections sets the address of a target and its connection limits.
type SetConnections struct {
	Target  api.TargetID
	Address string
	// Connections is the maximum number of connections.
	Connections int
	// Expected is the expected number of concurrent requests. Connections for
	// them are opened in advance.
	Expected int
}

// CloseConnections closes the connections to a target that is gone, has
// restarted or has a new address.
type CloseConnections struct{ Target api.TargetID }

// ReportTarget reports to the membership service a state that a target sent in
// a reply header, ahead of its announcement.
type ReportTarget struct {
	Target      api.TargetID
	Incarnation uint64
	State       api.TargetState
}

// LogEvent logs a numbered event about a target.
type LogEvent struct {
	Kind   LogEventKind
	Target api.TargetID
}

// LogEventKind is the kind of a LogEvent.
type LogEventKind int

// Kinds of log events.
const (
	// LogTargetEjected reports a target ejected as an outlier.
	LogTargetEjected LogEventKind = iota
	// LogNoTargetAnswers reports that no target answers this node, LogTargetsAnswer that
	// one does again.
	LogNoTargetAnswers
	LogTargetsAnswer
	// LogTargetReadmitted reports an ejected target that gets work again.
	LogTargetReadmitted
	// LogTargetUnreachable reports a target with several consecutive failures,
	// which counts as unreachable.
	LogTargetUnreachable
	// LogSilentConnection reports a request that was cancelled because its
	// connection is silent.
	LogSilentConnection
	// LogSnapshotMismatch reports a reply on another snapshot than requested.
	LogSnapshotMismatch
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
func (CloseConnections) effect() {}
func (ReportTarget) effect()     {}
func (PassOn) effect()           {}
func (CancelPassOn) effect()     {}
func (AnswerFromPeer) effect()   {}
func (ProbeTarget) effect()      {}
func (LogEvent) effect()         {}
