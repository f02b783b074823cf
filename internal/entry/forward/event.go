package forward

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/quota"
	"wigeonbay/internal/quarantine"
)

// RequestID identifies a caller's request within one entry process.
type RequestID uint64

// AttemptID identifies an attempt to send a request to a target within one entry
// process.
type AttemptID uint64

// Event is an input to State.Reduce.
type Event interface{ event() }

// TableInstalled installs a routing table. It is ignored unless its version is higher
// than that of the table in force.
type TableInstalled struct{ Table *api.RoutingTable }

// TargetChanged carries a target's new announcement. The driver has already dropped
// outdated ones.
type TargetChanged struct{ Announcement api.Announcement }

// NodesChanged carries the number of live entry nodes in each data centre, and the rank of
// this node among those of its own, from 0.
type NodesChanged struct {
	PerDataCentre map[string]int
	Rank          int
}

// RequestArrived is the arrival of a caller's request.
type RequestArrived struct {
	Request RequestID
	Host    string
	Path    string
	// Deadline is when the caller stops waiting, zero if the request has none.
	Deadline time.Time
	// Delay is how much of the caller's time the network between it and this node
	// takes, there and back, 0 if unknown.
	Delay time.Duration
	// Seed is a random number from which retry times get their jitter.
	Seed uint64
	// Fingerprint identifies the request's content.
	Fingerprint quarantine.Fingerprint
	// Key is the digest of the caller's key, nil without one in the accepted form.
	Key *api.KeyDigest
	// FromPeer is set if a peer has passed the request on.
	FromPeer *FromPeer
}

// PeersChanged carries the entry nodes that requests may be passed on to.
type PeersChanged struct{ Peers []Peer }

// DelegationEnded is the end of a delegation. Status is that of the response or refusal,
// Reason and RetryAfter those of a refusal. Missing is the number of pools that are left out
// of a response.
type DelegationEnded struct {
	Delegation DelegationID
	Outcome    DelegationOutcome
	Status     int
	Reason     Reason
	RetryAfter time.Duration
	Missing    int
	// Stopping reports that the peer has begun to shut down.
	Stopping bool
	// Leaving is the target whose reply the response is, if that says that the target
	// leaves.
	Leaving *api.Announcement
}

// EvacuationChanged carries the names of the data centres that are evacuated. It is ignored
// unless its version is higher than that of the last one.
type EvacuationChanged struct {
	Version     uint64
	DataCentres []string
}

// VerdictsReceived carries a control process's verdicts on requests that crash targets.
type VerdictsReceived struct{ Verdicts []quarantine.Verdict }

// QuotaAnswered is the end of the call of the last AcquireQuota. Reply is nil if no leader has
// granted anything; Seed is a random number.
type QuotaAnswered struct {
	Reply *quota.Reply
	Seed  uint64
}

// QuotaDue reports that the time of the last SetQuotaTimer is over.
type QuotaDue struct{}

// CallerGone reports that the caller has closed its connection.
type CallerGone struct{ Request RequestID }

// TimerFired reports that a request's timer has expired.
type TimerFired struct{ Request RequestID }

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of attempts.
const (
	// OutcomeSuccess is a complete, signed 2xx reply to this request.
	OutcomeSuccess Outcome = iota
	// OutcomeFailure is a complete, signed reply to this request with another status:
	// the request has run.
	OutcomeFailure
	// OutcomeNotRun is a reply in which the target states that it did not run the
	// request.
	OutcomeNotRun
	// OutcomeWrongTarget is a reply by which another target at the address rejects the
	// request.
	OutcomeWrongTarget
	// OutcomeNotSent means that certainly no byte of the request was sent.
	OutcomeNotSent
	// OutcomeHeldBack is OutcomeNotSent for no fault of the target: it has meanwhile
	// asked this node for a pause, or the request's time was over.
	OutcomeHeldBack
	// OutcomeNoRoom is OutcomeNotSent because the target reset the new connection,
	// as one at its connection limit does.
	OutcomeNoRoom
	// OutcomeBroken is a reply that is truncated, malformed, unsigned or to another
	// request, or a failed connection: the request may have run.
	OutcomeBroken
	// OutcomeTimeout means that no reply came by the attempt's deadline.
	OutcomeTimeout
	// OutcomeCancelled is an attempt that this node cancelled.
	OutcomeCancelled
)

// String returns the outcome as it appears in logs and metrics.
func (o Outcome) String() string {
	return [...]string{
		"success", "failure", "not_run", "wrong_target", "not_sent", "held_back", "no_room", "broken", "timeout", "cancelled",
	}[o]
}

// MayHaveRun reports whether the target may have run the request.
func (o Outcome) MayHaveRun() bool {
	return o != OutcomeNotRun && o != OutcomeWrongTarget && !o.Unsent()
}

// Unsent reports whether certainly no byte of the request was sent.
func (o Outcome) Unsent() bool {
	return o == OutcomeNotSent || o == OutcomeHeldBack || o == OutcomeNoRoom
}

// Replied reports whether a target has sent a complete reply.
func (o Outcome) Replied() bool {
	return o == OutcomeSuccess || o == OutcomeFailure || o == OutcomeNotRun || o == OutcomeWrongTarget
}

// LoadReport is the load that a target reports with a reply. Known is false if the
// reply carried no readable report.
type LoadReport struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Slowdown is how many times as long as usual the target's work takes at the
	// moment, 0 if not reported.
	Slowdown float64
}

// Demand is what a target demands of this node in a reply, whatever its status.
type Demand struct {
	// Leaving reports that the target leaves and is to get no new requests.
	Leaving bool
	// RetryAfter is how long the target wants no requests from this node, 0 if it has
	// not refused one with such a time.
	RetryAfter time.Duration
}

// RateLimit is what a reply says about the rate of requests that its target takes from
// all nodes together.
type RateLimit struct {
	// Known is false without a readable reply to this request. Otherwise Named reports
	// that the target has a limit, of PerSecond requests.
	Known     bool
	Named     bool
	PerSecond float64
}

// AttemptEnded is the end of an attempt.
type AttemptEnded struct {
	Attempt AttemptID
	Outcome Outcome
	Status  int
	// Cause describes the error for the log, empty after a valid reply.
	Cause  string
	Load   LoadReport
	Demand Demand
	Limit  RateLimit
	// Lost reports that the connection ended without a complete reply, Refused that the
	// target's address refused a new one.
	Lost    bool
	Refused bool
	// ResetAfterDial reports that the target reset a newly opened connection, as one
	// at its connection limit does.
	ResetAfterDial bool
	// Dialed is how long the connection took to open, 0 for a reused one.
	Dialed time.Duration
}

// ProbeEnded is the result of a health check.
type ProbeEnded struct {
	Target api.TargetID
	// Incarnation is that of the Probe effect.
	Incarnation uint64
	Healthy     bool
	// Refused reports that the target's address refused the connection, Answered that it
	// replied, healthy or not.
	Refused  bool
	Answered bool
	// AnsweredBy is the target that the reply names, empty for none.
	AnsweredBy api.TargetID
	Demand     Demand
	// Warmup is for how long the target says that it is cold, 0 if it is warm.
	Warmup time.Duration
}

// ShuttingDown answers all pending requests because the process is about to exit.
type ShuttingDown struct{}

// Tick sends the health checks that are due. The driver applies it periodically.
type Tick struct{}

func (TableInstalled) event()    {}
func (TargetChanged) event()     {}
func (NodesChanged) event()      {}
func (RequestArrived) event()    {}
func (VerdictsReceived) event()  {}
func (EvacuationChanged) event() {}
func (PeersChanged) event()      {}
func (DelegationEnded) event()   {}
func (CallerGone) event()        {}
func (TimerFired) event()        {}
func (AttemptEnded) event()      {}
func (ProbeEnded) event()        {}
func (QuotaAnswered) event()     {}
func (QuotaDue) event()          {}
func (ShuttingDown) event()      {}
func (Tick) event()              {}
