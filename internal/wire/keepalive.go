package wire

import (
	"context"
	"errors"
	"time"
)

// KeepAlive configures how a client monitors its connections.
type KeepAlive struct {
	// Interval is how long no data may be received before a ping is sent.
	Interval time.Duration
	// Timeout is how long the reply to a ping may take before the connection is
	// closed as unresponsive.
	Timeout time.Duration
	// IdleLimit is how long a connection without calls is kept open.
	IdleLimit time.Duration
}

// DefaultKeepAlive returns the settings of a client without WithKeepAlive. They close a
// silent connection at most three seconds after the last data: the interval check finds
// it after one to two seconds, and the ping may take one more.
func DefaultKeepAlive() KeepAlive {
	return KeepAlive{Interval: time.Second, Timeout: time.Second, IdleLimit: time.Minute}
}

// MethodPing is a method without effect that every Server provides.
const MethodPing = "Wire.Ping"

// PingArgs are the arguments of MethodPing.
type PingArgs struct{}

// PingReply is the reply of MethodPing.
type PingReply struct{}

// pinger implements MethodPing.
type pinger struct{}

// Ping returns an empty reply.
func (pinger) Ping(*PingArgs, *PingReply) error {
	return nil
}

// watch pings the connection while no data is received. It closes the connection when
// it doesn't respond, has been idle for IdleLimit, or is retired and has no calls in
// flight.
func (c *connection) watch(keepAlive KeepAlive) {
	retired := c.retired
	for {
		timer := time.NewTimer(keepAlive.Interval)
		select {
		case <-c.closed:
			timer.Stop()
			return
		case <-retired:
			timer.Stop()
			// A nil channel is never ready, so this case runs once.
			retired = nil
			c.ping(keepAlive.Timeout)
		case <-timer.C:
			c.check(keepAlive, retired == nil)
		}
	}
}

// check closes an idle or retired connection, and pings one from which nothing was
// received for an interval.
func (c *connection) check(keepAlive KeepAlive, isRetired bool) {
	if isRetired || c.idleFor(keepAlive.IdleLimit) {
		c.closeUnused()
	}
	if !c.receivedSince(time.Now().Add(-keepAlive.Interval)) {
		c.ping(keepAlive.Timeout)
	}
}

// closeUnused detaches the connection and closes it if no call is in flight. Calls
// that get an established connection from the client are counted as in flight under
// the client's lock, so none of them can begin after it is detached.
func (c *connection) closeUnused() {
	c.client.detach(c)
	if c.inFlight.Load() == 0 {
		c.close(ErrClosed)
	}
}

// ping sends a ping and closes the connection unless it is answered within timeout.
func (c *connection) ping(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := c.call(ctx, MethodPing, &PingArgs{}, &PingReply{})
	if errors.Is(err, context.DeadlineExceeded) {
		connectionsSilent.Add(1)
	}
	if err != nil && !isServerError(err) {
		c.close(errUnresponsive)
	}
}
