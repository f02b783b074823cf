package entry

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
)

// QueryID identifies a caller's request within one entry process.
type QueryID uint64

// AttemptID identifies one request to a target within one entry process.
type AttemptID uint64

// Event is an input of the reducer.
type Event interface{ event() }

// ConfigInstalled delivers a configuration.
type ConfigInstalled struct{ Config api.Configuration }

// MembersChanged delivers the numbers of entry nodes among which the
// connections and slots of targets are divided.
type MembersChanged struct {
	// PerDataCentre counts the entry nodes of each data centre, including
	// suspected and unreachable ones.
	PerDataCentre map[string]int
	// Peers are the other live entry nodes, to which requests may be passed on.
	Peers []Peer
}

// TargetChanged delivers a target's newest announcement.
type TargetChanged struct{ Announcement api.Announcement }

// SearchArrived is a search request from a caller.
type SearchArrived struct {
	Query    QueryID
	Service  string
	Caller   string
	Deadline time.Time
	// Seed is a random number for the percentages of routing rules and for
	// retry jitter.
	Seed uint64
	// PassedOn is set if a peer has passed the request on.
	PassedOn *PassedOn
}

// PassOnEnded is the end of a PassOn.
type PassOnEnded struct {
	Query   QueryID
	Outcome PassOnOutcome
}

// ProbeEnded is the end of a ProbeTarget. Answered reports that the target has replied.
type ProbeEnded struct {
	Target   api.TargetID
	Answered bool
}

// SearchCancelled reports that the caller of a search has disconnected.
type SearchCancelled struct{ Query QueryID }

// TimerFired reports that a timer set by SetTimer has expired.
type TimerFired struct{ Query QueryID }

// ShardsReplied is a target's reply to a shard request.
type ShardsReplied struct {
	Attempt  AttemptID
	Snapshot api.Snapshot
	Header   TargetHeader
}

// TargetHeader is a target's status from the headers of a reply.
type TargetHeader struct {
	State       api.TargetState
	Incarnation uint64
	InFlight    int
}

// FailureKind is the way in which a request to a target failed.
type FailureKind int

// Kinds of failures.
const (
	// FailureConnect means that no connection was available; nothing was sent.
	FailureConnect FailureKind = iota
	// FailureBroken means that the connection broke before the reply.
	FailureBroken
	// FailureTimeout means that no reply arrived before the deadline.
	FailureTimeout
	// FailureCancelled means that the entry node cancelled the request.
	FailureCancelled
	// FailureRefused means that the target refused the request with a Code.
	FailureRefused
	// FailureBadReply means that the reply was malformed or unusable.
	FailureBadReply
)

// AttemptFailed reports that a request to a target failed.
type AttemptFailed struct {
	Attempt AttemptID
	Kind    FailureKind
	Code    api.TargetErrorCode
	// NotRun is set if it is proven that the target did not run the request.
	NotRun bool
	// Reused is set if the connection had served earlier requests. In that
	// case the connection, and not the target, may be at fault.
	Reused bool
	Header TargetHeader
}

// ConnectionsChecked reports that idle connections to a target were found
// silent and have been replaced. Silent is their number.
type ConnectionsChecked struct {
	Target api.TargetID
	Silent int
}

// SubmitArrived is a non-idempotent request from a caller.
type SubmitArrived struct {
	Query       QueryID
	Service     string
	Caller      string
	Key         string
	KeyTimeMS   int64
	Fingerprint uint64
	// Claim is a random number, unique to this request.
	Claim    uint64
	Deadline time.Time
	// QuorumAge is the time since the last confirmation by a control quorum. It
	// is negative if unknown.
	QuorumAge time.Duration
	Seed      uint64
	PassedOn  *PassedOn
}

// ClaimDecided is the ledger's decision on a claim. If Result is not OK, the
// claim was not decided.
type ClaimDecided struct {
	Query   QueryID
	Result  controlrpc.Result
	Verdict controlrpc.ClaimVerdict
	Outcome controlrpc.Outcome
}

// SubmitReplied is the outcome of a non-idempotent request that a target ran.
type SubmitReplied struct {
	Attempt AttemptID
	Status  int
	Result  string
	Header  TargetHeader
}

// OutcomeRecorded reports the end of a RecordOutcome for a request that ran. OK
// is set if the outcome was committed.
type OutcomeRecorded struct {
	Query QueryID
	OK    bool
}

// Tick triggers periodic work.
type Tick struct{}

func (ConfigInstalled) event()    {}
func (MembersChanged) event()     {}
func (TargetChanged) event()      {}
func (SearchArrived) event()      {}
func (SearchCancelled) event()    {}
func (TimerFired) event()         {}
func (ShardsReplied) event()      {}
func (AttemptFailed) event()      {}
func (ConnectionsChecked) event() {}
func (SubmitArrived) event()      {}
func (ClaimDecided) event()       {}
func (SubmitReplied) event()      {}
func (OutcomeRecorded) event()    {}
func (PassOnEnded) event()        {}
func (ProbeEnded) event()         {}
func (Tick) event()               {}
