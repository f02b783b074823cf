// Package entryrpc defines the net/rpc methods by which entry nodes pass callers' requests
// on to each other, with their arguments and replies.
package entryrpc

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/wire"
)

// Names of the methods, for wire.Client.Call.
const (
	MethodForward = "Entry.Forward"
	MethodCancel  = "Entry.Cancel"
)

// CallID identifies a ForwardArgs among those of all entry nodes.
type CallID struct {
	// Node is the name of the calling node, Start a random number that it chose at its
	// start, and Number counts its calls.
	Node   string
	Start  uint64
	Number uint64
}

// ForwardArgs passes a caller's request on to another entry node, which forwards it to
// targets and returns the response for the caller.
type ForwardArgs struct {
	Envelope wire.Envelope
	ID       CallID
	// Method, URI, Host, Header and Body are the caller's, Header without the hop-by-hop
	// headers.
	Method string
	URI    string
	Host   string
	Header map[string][]string
	Body   []byte
	// TimeLeftUS is the time within which the called node must answer, in microseconds, when
	// the call was sent. SentUS is that moment, in microseconds since the calling machine
	// started, 0 if unknown: the called node finds out how late the call has arrived.
	TimeLeftUS int64
	SentUS     int64
	// TableVersion is the version of the routing table that must apply, unless BoundVersion
	// is set.
	TableVersion uint64
	// BoundVersion is the version of the routing table that must apply if the request is
	// bound by accounts or regions of that table. A node of a build that doesn't know these
	// would ignore them. It finds a TableVersion that no node has, and refuses the request.
	BoundVersion uint64
	// Account is the name of the client account that the calling node has found by the
	// caller's key, which it has removed; "" for none. A node of a build that doesn't know
	// accounts leaves the key in Header.
	Account string
	// Attempts is the number of targets of each pool that the request may be sent to.
	Attempts int
	// Repeated is set if the calling node may have sent the request to targets. It has
	// taken what the request may send again from its budget for retries.
	Repeated bool
	// AgeUS is how long ago the request arrived at the calling node, DelayUS how much of
	// the caller's time the network takes there and back, both in microseconds.
	AgeUS   int64
	DelayUS int64

	disconnected <-chan struct{}
}

// RequireTable sets the version of the routing table that must apply. bound reports that
// accounts or regions of that table bind the request.
func (a *ForwardArgs) RequireTable(version uint64, bound bool) {
	a.TableVersion, a.BoundVersion = version, 0
	if bound {
		a.TableVersion, a.BoundVersion = ^version, version
	}
}

// RequiredTable returns the version of the routing table that must apply.
func (a *ForwardArgs) RequiredTable() uint64 {
	if a.BoundVersion != 0 {
		return a.BoundVersion
	}
	return a.TableVersion
}

// BindConnection implements wire.ConnectionBound.
func (a *ForwardArgs) BindConnection(disconnected <-chan struct{}) { a.disconnected = disconnected }

// Disconnected returns a channel that is closed when the connection of the call has ended,
// so that nobody waits for the response any more.
func (a *ForwardArgs) Disconnected() <-chan struct{} { return a.disconnected }

// Response is a complete HTTP response for a caller.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Refusal is an error status set by the called node. With status 408, 429 or 503 the request
// has not run and never will.
type Refusal struct {
	Status int
	// Reason is one of package forward.
	Reason string
	// RetryAfter is the time after which the caller may retry, 0 for none.
	RetryAfter time.Duration
}

// ForwardReply holds the response for the caller, or a refusal.
type ForwardReply struct {
	Response *Response
	Refusal  *Refusal
	// Leaving is the target whose reply the response is, if the reply says that the target
	// leaves: the calling node passes that on to its caller, and must respect it too.
	Leaving *api.Announcement
	// Stopping is set if the called node has begun to shut down.
	Stopping bool
}

// CancelArgs ends a call whose caller has disconnected. It has no effect on a call that has
// ended or is not known.
type CancelArgs struct {
	Envelope wire.Envelope
	ID       CallID
}

// CancelReply is empty.
type CancelReply struct{}
