package wire

import (
	"context"
	"errors"
	"time"
)

// KeepAlive says how a client watches its connections.
type KeepAlive struct {
	// Interval is how long nothing may arrive before a ping is sent.
	Interval time.Duration
	// Timeout is how long the reply to a ping may take before the connection
	// counts as silent and is closed.
	Timeout time.Duration
	// IdleLimit is how long a connection without calls is kept.
	IdleLimit time.Duration
}

// DefaultKeepAlive finds a silent connection within two seconds.
func DefaultKeepAlive() KeepAlive {
	return KeepAlive{Interval: time.Second, Timeout: time.Second, IdleLimit: time.Minute}
}

// MethodPing is a method that every Server offers; it does nothing.
const MethodPing = "Wire.Ping"

// PingArgs are the arguments of MethodPing.
type PingArgs struct{}

// PingReply is the reply of MethodPing.
type PingReply struct{}

// pinger offers MethodPing.
type pinger struct{}

// Ping answers.
func (pinger) Ping(*PingArgs, *PingReply) error {
	return nil
}

// watch pings the connection while nothing arrives, and closes it when it is
// silent, long unused, or retired and done.
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
			// A nil channel is never ready: the retirement is noted once.
			retired = nil
			c.pingNow(keepAlive.Timeout)
		case <-timer.C:
			c.review(keepAlive, retired == nil)
		}
	}
}

func (c *connection) review(keepAlive KeepAlive, isRetired bool) {
	if isRetired || c.idleFor(keepAlive.IdleLimit) {
		c.closeUnused()
	}
	if !c.heardSince(time.Now().Add(-keepAlive.Interval)) {
		c.pingNow(keepAlive.Timeout)
	}
}

// closeUnused takes the connection out of use, and closes it when no call is in
// flight. No call can begin in between: one that had the connection before
// it was forgotten counts as in flight.
func (c *connection) closeUnused() {
	c.client.forget(c)
	if c.inFlight.Load() == 0 {
		c.close(ErrClosed)
	}
}

// pingNow closes the connection unless a ping is answered within timeout.
func (c *connection) pingNow(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := c.call(ctx, MethodPing, &PingArgs{}, &PingReply{})
	if errors.Is(err, context.DeadlineExceeded) {
		connectionsSilent.Add(1)
	}
	if err != nil && !isRemote(err) {
		c.close(errSilent)
	}
}
