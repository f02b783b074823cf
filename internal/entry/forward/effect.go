package forward

import (
	"time"

	"wigeonbay/internal/api"
)

// Effect is something that the driver must do.
type Effect interface{ effect() }

// Send sends the request to a target, once.
type Send struct {
	Request RequestID
	Attempt AttemptID
	Target  api.TargetID
	// Deadline is when the target is to stop work; the attempt ends then.
	Deadline time.Time
	// VerifyConnection asks to wait until it is sure that the target has not reset a fresh
	// connection: until then no byte of the request leaves.
	VerifyConnection bool
}

// Cancel gives up an attempt; its connection is closed.
type Cancel struct{ Attempt AttemptID }

// Discard drops the reply kept for an attempt that won't count.
type Discard struct{ Attempt AttemptID }

// Relay answers a request with the reply of an attempt, unchanged.
type Relay struct {
	Request RequestID
	Attempt AttemptID
	Summary Summary
}

// Merge answers a request with the greatest records of the attempts' replies.
type Merge struct {
	Request  RequestID
	Attempts []AttemptID
	TopK     int
	// Missing is the number of pools without a part.
	Missing int
	Summary Summary
}

// Refuse answers a request with a status of this node's own.
type Refuse struct {
	Request RequestID
	Status  int
	// RetryAfter is when to come back; 0 says nothing.
	RetryAfter time.Duration
	Reason     Reason
	Summary    Summary
}

// Abandon tells that nobody waits for a request any more.
type Abandon struct {
	Request RequestID
	Summary Summary
}

// SetTimer sets a request's only timer.
type SetTimer struct {
	Request RequestID
	At      time.Time
}

// Connect sets how many connections may be held to a target.
type Connect struct {
	Target      api.TargetID
	Address     string
	Connections int
	// Preopen is how many are opened before they are needed, Kept how many idle
	// ones are held on to.
	Preopen int
	MaxIdle int
}

// Forget closes the connections to a target that is gone.
type Forget struct{ Target api.TargetID }

// Probe asks a target for its health.
type Probe struct {
	Target  api.TargetID
	Address string
	Path    string
}

// ReachabilityChanged tells that what this node believes of a target has changed.
type ReachabilityChanged struct {
	Target api.TargetID
	Pool   string
	Change ReachabilityChange
	// Failures is the number of failures in a row, Slowdown the target's speed
	// against its pool's (1 is usual).
	Failures int
	Slowdown float64
}

// ReachabilityChange names what changed about a target.
type ReachabilityChange string

// Changes of reachability.
const (
	ReachabilityLost     ReachabilityChange = "unreachable"
	ReachabilityRestored ReachabilityChange = "reachable"
)

// Reason says why a request was refused.
type Reason string

// Reasons of refusals.
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
)

// Summary is the record of a request's decisions, for the log.
type Summary struct {
	Route        string
	TableVersion uint64
	Took         time.Duration
	// Goal is the route's response-time goal, 0 for none.
	Goal time.Duration
	// TimeLeft is how long its caller would still wait when it came, 0 when that is
	// not known; Returning tells that it was held to have been refused before.
	TimeLeft  time.Duration
	Returning bool
	// Queued is how long its first part waited for a connection.
	Queued time.Duration
	Parts  int
	Missed int
	Sends  []SendRecord
	Hedges int
	// NoHedge is why the last hedge that was due wasn't sent; empty when none was
	// held back.
	NoHedge NoHedge
}

// NoHedge says why a late part was not sent to a second target.
type NoHedge string

// Reasons against a hedge.
const (
	NoHedgeTarget NoHedge = "no_other_target"
	NoHedgeBusy   NoHedge = "others_busy"
	NoHedgeBudget NoHedge = "no_budget"
)

// SendRecord is one attempt of a request.
type SendRecord struct {
	Pool   string
	Target api.TargetID
	// After is when it was sent, Took how long it lasted.
	After   time.Duration
	Took    time.Duration
	Outcome string
	// Cause says what was wrong; empty for a good reply.
	Cause  string
	Status int
	Hedge  bool
}

// ImmediateSuccess reports whether nothing but the choice of the target was decided: it
// was sent at once, and its reply was good.
func (r *SendRecord) ImmediateSuccess() bool {
	return r.Outcome == OutcomeSuccess.String() && r.After == 0 && !r.Hedge
}

func (Send) effect()                {}
func (Cancel) effect()              {}
func (Discard) effect()             {}
func (Relay) effect()               {}
func (Merge) effect()               {}
func (Refuse) effect()              {}
func (Abandon) effect()             {}
func (SetTimer) effect()            {}
func (Connect) effect()             {}
func (Forget) effect()              {}
func (Probe) effect()               {}
func (ReachabilityChanged) effect() {}
