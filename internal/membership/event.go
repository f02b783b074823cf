package membership

import (
	"time"

	"wigeonbay/internal/api"
)

// Event is an input to State.Step. Every event carries its time.
type Event interface {
	time() time.Time
}

// Tick reports that time has passed. The driver sends one every TickInterval;
// Timing.MinPause without one tells the node that it was paused.
type Tick struct {
	At time.Time
}

// Received is a message from a peer.
type Received struct {
	At      time.Time
	Message Message
}

// Announced is an announcement that a target made to this node. AnnounceReplied
// returns Token with the reply.
type Announced struct {
	At           time.Time
	Token        uint64
	Announcement api.Announcement
}

// Reported is a target's state taken from the header of its reply.
type Reported struct {
	At          time.Time
	Target      api.TargetID
	Incarnation uint64
	State       api.TargetState
}

// LeaveRequested makes the node leave the membership.
type LeaveRequested struct {
	At time.Time
}

func (e Tick) time() time.Time           { return e.At }
func (e Received) time() time.Time       { return e.At }
func (e Announced) time() time.Time      { return e.At }
func (e Reported) time() time.Time       { return e.At }
func (e LeaveRequested) time() time.Time { return e.At }
