package membership

import (
	"time"

	"wigeonbay/internal/api"
)

// Event is something that happened to the node. Every event carries its time.
type Event interface {
	time() time.Time
}

// Tick tells that time has passed. The driver sends one every TickInterval; a
// longer gap between two ticks tells the node that it was frozen.
type Tick struct {
	At time.Time
}

// Received is a message from a peer.
type Received struct {
	At      time.Time
	Message Message
}

// Announced is an announcement that a target made to this node. Token comes back
// with the answer.
type Announced struct {
	At           time.Time
	Token        uint64
	Announcement api.Announcement
}

// Reported is a target's state learned from the header of its reply.
type Reported struct {
	At          time.Time
	Target      api.TargetID
	Incarnation uint64
	State       api.TargetState
}

// LeaveAsked tells the node to leave the membership.
type LeaveAsked struct {
	At time.Time
}

func (e Tick) time() time.Time       { return e.At }
func (e Received) time() time.Time   { return e.At }
func (e Announced) time() time.Time  { return e.At }
func (e Reported) time() time.Time   { return e.At }
func (e LeaveAsked) time() time.Time { return e.At }
