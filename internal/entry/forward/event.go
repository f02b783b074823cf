package forward

import (
	"time"

	"wigeonbay/internal/api"
)

// RequestID identifies a caller's request within one entry process.
type RequestID uint64

// AttemptID identifies one request to a target within one entry process.
type AttemptID uint64

// Event is something that happened outside the reducer.
type Event interface{ event() }

// TableInstalled brings a routing table into force. One whose version isn't
// higher is ignored.
type TableInstalled struct{ Table *api.RoutingTable }

// TargetChanged brings news of a target, already found to be the newest.
type TargetChanged struct{ Announcement api.Announcement }

// NodesChanged tells how many entry nodes are live in each data centre.
type NodesChanged struct{ PerDataCentre map[string]int }

// RequestArrived is a caller's request.
type RequestArrived struct {
	Request RequestID
	Host    string
	Path    string
	// Deadline is when the caller gives up; zero when it doesn't say.
	Deadline time.Time
	// Seed is a random number, for spreading what callers are told.
	Seed uint64
}

// CallerGone tells that the caller has closed its connection.
type CallerGone struct{ Request RequestID }

// TimerFired is the end of the request's timer.
type TimerFired struct{ Request RequestID }

// Outcome says how an attempt ended.
type Outcome uint8

// Outcomes of attempts.
const (
	// OutcomeSuccess is a whole, signed 2xx reply to this very request.
	OutcomeSuccess Outcome = iota
	// OutcomeFailure is the target's own signed reply with another status: the
	// request has run.
	OutcomeFailure
	// OutcomeNotRun is the target's word that it did not run the request.
	OutcomeNotRun
	// OutcomeWrongTarget is the word of another target at the address.
	OutcomeWrongTarget
	// OutcomeNotSent is proof that no byte of the request left.
	OutcomeNotSent
	// OutcomeNoRoom is OutcomeNotSent because the target resets new connections:
	// it is at its limit.
	OutcomeNoRoom
	// OutcomeBroken is a reply that is cut off, spoilt, unsigned or another
	// request's, or a connection that broke: the request may have run.
	OutcomeBroken
	// OutcomeTimeout is no reply until the attempt's deadline.
	OutcomeTimeout
	// OutcomeCancelled is an attempt that this node gave up.
	OutcomeCancelled
)

// String returns the outcome as operators see it.
func (o Outcome) String() string {
	return [...]string{
		"success", "failure", "not_run", "wrong_target", "not_sent", "no_room", "broken", "timeout", "cancelled",
	}[o]
}

// MayHaveRun reports whether the target may have worked on the request.
func (o Outcome) MayHaveRun() bool {
	return o != OutcomeNotRun && o != OutcomeWrongTarget && !o.Unsent()
}

// Unsent reports whether certainly no byte of the request left.
func (o Outcome) Unsent() bool {
	return o == OutcomeNotSent || o == OutcomeNoRoom
}

// LoadReport is what a target says of its load with a reply.
type LoadReport struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Slowdown is how many times as long as usual its work takes at the moment; 0
	// when it doesn't say.
	Slowdown float64
}

// AttemptEnded is the end of an attempt.
type AttemptEnded struct {
	Attempt AttemptID
	Outcome Outcome
	Status  int
	// Cause says, for the log, what was wrong; empty for a good reply.
	Cause string
	Load  LoadReport
	// ResetAfterDial tells that the target reset a connection that had just been
	// opened, as one at its limit does.
	ResetAfterDial bool
	// Dialed is how long the connection took to open, 0 for one that was kept.
	Dialed time.Duration
}

// ProbeEnded is the end of a health check.
type ProbeEnded struct {
	Target  api.TargetID
	Healthy bool
}

// ShuttingDown ends the requests that are left: the process is about to end.
type ShuttingDown struct{}

// Tick drives what happens at regular times.
type Tick struct{}

func (TableInstalled) event() {}
func (TargetChanged) event()  {}
func (NodesChanged) event()   {}
func (RequestArrived) event() {}
func (CallerGone) event()     {}
func (TimerFired) event()     {}
func (AttemptEnded) event()   {}
func (ProbeEnded) event()     {}
func (ShuttingDown) event()   {}
func (Tick) event()           {}
