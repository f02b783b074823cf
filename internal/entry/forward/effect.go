package forward

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/quota"
	"wigeonbay/internal/quarantine"
)

// Effect is an action for the driver to carry out.
type Effect interface{ effect() }

// Send sends the request to a target without retrying.
type Send struct {
	Request RequestID
	Attempt AttemptID
	Target  api.TargetID
	// Deadline is passed on to the target; the attempt is ended then.
	Deadline time.Time
	// VerifyConnection asks the driver to check that the target has not reset a newly
	// opened connection before it writes any of the request to it.
	VerifyConnection bool
	// Account is the name of the request's client account, "" for none. HasAccounts reports
	// that the routing table has accounts: the caller's key, and the account that it
	// claims, are not sent then.
	Account     string
	HasAccounts bool
}

// Cancel cancels an attempt, which closes its connection.
type Cancel struct{ Attempt AttemptID }

// Discard drops the stored reply of an attempt that is not used.
type Discard struct{ Attempt AttemptID }

// Relay answers a request with the unchanged reply of an attempt.
type Relay struct {
	Request RequestID
	Attempt AttemptID
	// Target is the one that has replied.
	Target  api.Announcement
	Summary Summary
}

// Merge answers a request with the TopK greatest records of the attempts' replies.
type Merge struct {
	Request  RequestID
	Attempts []AttemptID
	TopK     int
	// Missing is the number of pools that have not answered.
	Missing int
	Summary Summary
}

// Delegate passes a request on to a peer.
type Delegate struct {
	Request    RequestID
	Delegation DelegationID
	Peer       Peer
	// PeerDeadline is when the peer must have answered, Deadline when its response must
	// have arrived.
	PeerDeadline time.Time
	Deadline     time.Time
	// TableVersion, Attempts, Repeated and Age are as in FromPeer, Delay as in
	// RequestArrived.
	TableVersion uint64
	Attempts     int
	Repeated     bool
	Age          time.Duration
	Delay        time.Duration
	// Account and HasAccounts are as in Send. Bound reports that the request may be sent to
	// some regions only.
	Account     string
	HasAccounts bool
	Bound       bool
}

// CancelDelegation ends a delegation whose response nobody waits for.
type CancelDelegation struct{ Delegation DelegationID }

// PassOn answers a request with the response of a delegation.
type PassOn struct {
	Request    RequestID
	Delegation DelegationID
	Status     int
	Summary    Summary
}

// Refuse answers a request with an error status set by this node.
type Refuse struct {
	Request RequestID
	Status  int
	// RetryAfter is the time after which the caller may retry, 0 for none.
	RetryAfter time.Duration
	Reason     Reason
	Summary    Summary
}

// Abandon closes a request whose caller has disconnected.
type Abandon struct {
	Request RequestID
	Summary Summary
}

// SetTimer sets or replaces a request's timer. Each request has one.
type SetTimer struct {
	Request RequestID
	At      time.Time
}

// Connect sets the largest number of connections that may be held to a target.
type Connect struct {
	Target      api.TargetID
	Address     string
	Connections int
	// Preopen is the number of connections to open in advance, MaxIdle the number of
	// idle ones to keep.
	Preopen int
	MaxIdle int
	// Suspended keeps the attempts that wait for a connection from being sent.
	Suspended bool
}

// Forget closes the connections to a target that has been removed.
type Forget struct{ Target api.TargetID }

// HoldBack keeps the attempts that wait for a connection to a target from being sent
// before Until.
type HoldBack struct {
	Target api.TargetID
	Until  time.Time
	// For is how long the target asked to get no requests.
	For time.Duration
}

// ReportLeaving reports that a target has said in a reply that it leaves.
type ReportLeaving struct{ Announcement api.Announcement }

// ReportCrash has control processes told that a target crashed while it ran a request, or
// answered one.
type ReportCrash struct{ Report quarantine.Report }

// VerdictChanged reports that a verdict on a request that crashes targets is new, renewed
// or lifted.
type VerdictChanged struct{ Verdict quarantine.Verdict }

// RateLimitChanged reports that a target has named a rate limit or another one, or names
// none any more.
type RateLimitChanged struct {
	Target api.TargetID
	Limit  RateLimit
	// Share is this node's part of the limit in requests per second.
	Share float64
	// Sent is the number of requests that this node has sent to the target within For,
	// the time since it first named a limit.
	Sent uint64
	For  time.Duration
}

// WarmupChanged reports that a target of a pool with a warm-up rate counts as cold although it
// is announced as ready, or that a health check has said that it is warm.
type WarmupChanged struct {
	Target api.TargetID
	Cold   bool
	// Share is this node's part of what the target takes while it is cold, in requests per
	// second.
	Share float64
}

// AcquireQuota asks the leader of the control group for tokens. QuotaAnswered ends it.
type AcquireQuota struct{ Ask *quota.Ask }

// SetQuotaTimer has QuotaDue applied after a time. It replaces the one before.
type SetQuotaTimer struct{ After time.Duration }

// QuotaExceeded reports that requests of an account are refused because of its quota, after a
// while in which none were.
type QuotaExceeded struct{ Account string }

// IsolationChanged reports that no target answers this node, or that one does again.
// SinceReply is the time since a target last replied before.
type IsolationChanged struct {
	Isolated   bool
	SinceReply time.Duration
}

// ImpairmentChanged reports that this node can't reach most targets, or that it can again.
type ImpairmentChanged struct {
	Impaired    bool
	Unreachable int
	Targets     int
}

// Probe sends a health check to a target.
type Probe struct {
	Target      api.TargetID
	Incarnation uint64
	Address     string
	Path        string
}

// TargetDisplaced reports that a target is not used any more, as another registration with
// its ID or address outranks its own; TargetRestored that it is used again.
type TargetDisplaced struct{ Announcement, By api.Announcement }

// TargetRestored ends TargetDisplaced.
type TargetRestored struct{ Announcement api.Announcement }

// ReachabilityChanged reports that a target has become unreachable or reachable again
// from this node.
type ReachabilityChanged struct {
	Target   api.TargetID
	Pool     string
	NewState Reachability
	// Failures is the number of consecutive failures, Slowdown how many times as long
	// as usual the target is expected to take; 1 is usual.
	Failures int
	Slowdown float64
}

// RegionsExcluded reports that a routing table in force binds a route to regions without data
// centres, so that everyone is refused, or has accounts without a region in common with it.
type RegionsExcluded struct {
	Route    string
	Everyone bool
	Accounts int
}

// Reachability is the new state of a target.
type Reachability string

// Values of Reachability.
const (
	TargetUnreachable Reachability = "unreachable"
	TargetReachable   Reachability = "reachable"
)

// Reason is the reason for a refusal.
type Reason string

// Refusal reasons.
const (
	ReasonNoTable     Reason = "no_routing_table"
	ReasonNoRoute     Reason = "no_route"
	ReasonNoTarget    Reason = "no_target"
	ReasonOverload    Reason = "overload"
	ReasonLowCoverage Reason = "low_coverage"
	ReasonTimeout     Reason = "timeout"
	ReasonExpired     Reason = "deadline_passed"
	ReasonFailed      Reason = "attempts_failed"
	ReasonShutdown    Reason = "shutting_down"
	// ReasonCrashes refuses a request that crashes the targets that run it.
	ReasonCrashes Reason = "crashes_targets"
	// ReasonIsolated refuses requests because the node doesn't reach the targets, and no
	// peer could be asked. ReasonOtherTable refuses requests that peers pass on because
	// the routing tables of the two nodes differ.
	ReasonIsolated   Reason = "isolated"
	ReasonOtherTable Reason = "other_routing_table"
	// ReasonBodyMemory refuses a request for whose body the node has no memory now.
	ReasonBodyMemory Reason = "no_body_memory"
	// ReasonNoAccount refuses a request without the key of a client account that its route
	// needs. ReasonNoRegion refuses one whose route and account have no region in common
	// in which there is a data centre.
	ReasonNoAccount Reason = "no_account"
	ReasonNoRegion  Reason = "no_allowed_region"
	// ReasonOverQuota refuses requests of an account that is above its quota, ReasonNoQuota
	// those of which that isn't known because no leader of the control group replies.
	ReasonOverQuota Reason = "over_quota"
	ReasonNoQuota   Reason = "quota_unknown"
)

// Summary describes how a request was handled, for the log.
type Summary struct {
	Route string
	// Account is the name of the client account, "" for none.
	Account      string
	TableVersion uint64
	Took         time.Duration
	// Goal is the route's response-time goal, 0 for none.
	Goal time.Duration
	// TimeLeft is the time until the deadline when the request arrived, 0 if it was
	// refused before its deadline was determined. Returning reports that the caller
	// was taken to have been refused before.
	TimeLeft  time.Duration
	Returning bool
	// CallerDelay is that of RequestArrived.
	CallerDelay time.Duration
	// Queued is the longest time that a part waited in its pool's queue.
	Queued time.Duration
	// QueueLength is the number of other requests' parts that are queued for the pools which
	// have not answered, LeavingTargets the number of those pools' targets that leave.
	QueueLength    int
	LeavingTargets int
	Parts          int
	Missed         int
	Sends          []SendRecord
	Hedges         int
	// NoHedge is the reason why a hedge was last held back, empty if none was.
	NoHedge NoHedge
	// Peers describes how peers were asked.
	Peers []PeerRecord
}

// NoHedge is the reason why a late part was not hedged.
type NoHedge string

// Reasons for not hedging.
const (
	NoHedgeTarget NoHedge = "no_other_target"
	NoHedgeBusy   NoHedge = "others_busy"
	NoHedgeBudget NoHedge = "no_budget"
)

// SendRecord describes one attempt of a request.
type SendRecord struct {
	Pool   string
	Target api.TargetID
	// After is the time from the request's arrival to the send, Took the time from
	// the send to the end of the attempt or of the request, whichever is earlier.
	After   time.Duration
	Took    time.Duration
	Outcome string
	// Cause describes the error, empty after a valid reply.
	Cause  string
	Status int
	Hedge  bool
}

// PeerRecord describes one delegation of a request, with times as in SendRecord.
type PeerRecord struct {
	Node    string
	After   time.Duration
	Took    time.Duration
	Outcome string
	// Reason is that of a refusal.
	Reason Reason
}

// ImmediateSuccess reports whether the attempt was sent when its request arrived, not
// as a hedge, and succeeded.
func (r *SendRecord) ImmediateSuccess() bool {
	return r.Outcome == OutcomeSuccess.String() && r.After == 0 && !r.Hedge
}

func (Send) effect()                {}
func (Cancel) effect()              {}
func (Discard) effect()             {}
func (Relay) effect()               {}
func (Merge) effect()               {}
func (Delegate) effect()            {}
func (CancelDelegation) effect()    {}
func (PassOn) effect()              {}
func (Refuse) effect()              {}
func (Abandon) effect()             {}
func (SetTimer) effect()            {}
func (Connect) effect()             {}
func (Forget) effect()              {}
func (Probe) effect()               {}
func (RegionsExcluded) effect()     {}
func (HoldBack) effect()            {}
func (ReportLeaving) effect()       {}
func (RateLimitChanged) effect()    {}
func (WarmupChanged) effect()       {}
func (AcquireQuota) effect()        {}
func (SetQuotaTimer) effect()       {}
func (QuotaExceeded) effect()       {}
func (ReportCrash) effect()         {}
func (VerdictChanged) effect()      {}
func (ReachabilityChanged) effect() {}
func (TargetDisplaced) effect()     {}
func (TargetRestored) effect()      {}
func (IsolationChanged) effect()    {}
func (ImpairmentChanged) effect()   {}
