package httpdrain

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"time"
)

// phase is what a connection does.
type phase int

const (
	// waiting is for the first byte of a request.
	waiting phase = iota
	// receiving is from then until the request's body was read.
	receiving
	// working is until the first write of the response, writing until it is written.
	working
	writing
)

// waitsForClient reports whether a connection may be closed because it waits for its client.
// The caller holds mu.
func (c *connection) waitsForClient() bool {
	return c.blocked && c.phase != working && !c.doomed && !c.removed
}

// idle reports whether a connection waits for the next request of a client that was answered. The
// caller holds mu.
func (c *connection) idle() bool { return c.phase == waiting && c.served }

// weight returns the order in which a connection is closed, the greatest first. The caller holds
// mu.
func (c *connection) weight(now time.Time, reason closeReason) (rank int, weight float64) {
	waited := now.Sub(c.phaseSince).Seconds()
	idle := c.idle()
	if reason == closedForMemory {
		weight = waited * float64(c.charge)
		if idle {
			weight /= idleDiscount
		}
		return 0, weight
	}
	switch {
	case !idle && waited >= stuckTime.Seconds():
		rank = 2
	case idle && waited >= stuckTime.Seconds():
		rank = 1
	}
	return rank, waited
}

// doom ends what a connection waits for, whereupon the server closes it, and returns the bytes
// that it was charged. It returns false if the connection doesn't wait any more.
func (c *connection) doom(now time.Time) (released int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waitsForClient() {
		return 0, false
	}
	c.doomed = true
	released, c.charge = c.charge, 0
	// Errors mean that the connection is closed already.
	if c.phase == writing {
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
		return released, true
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	_ = c.Conn.SetWriteDeadline(now.Add(refusalTime))
	return released, true
}

// enter sets the phase. The caller holds mu.
func (c *connection) enter(p phase) {
	c.phase, c.phaseSince = p, time.Now()
}

// requestCharge returns what bytes of a request are charged.
func requestCharge(p []byte, inHead bool) int64 {
	charge := 2 * int64(len(p))
	if inHead {
		charge += lineBytes * int64(bytes.Count(p, []byte{'\n'}))
	}
	return charge
}

// received charges bytes that were read and reports whether the account has to be looked at.
// The caller holds mu.
func (c *connection) received(p []byte) (over bool) {
	if c.phase == waiting {
		c.enter(receiving)
		c.inHead = true
	}
	charge := requestCharge(p, c.inHead)
	c.tail = 0
	if len(p) <= bufferBytes {
		c.tail = charge
		if !c.inHead {
			c.tail = requestCharge(p, true)
		}
	}
	return c.addCharge(charge)
}

// addCharge changes the connection's charge. The caller holds mu.
func (c *connection) addCharge(charge int64) (over bool) {
	if c.bounds == nil || c.doomed || c.removed {
		return false
	}
	c.charge += charge
	return c.bounds.held.Add(charge) > c.bounds.memoryBound(c.large())
}

// large reports whether the connection holds more than those of ordinary callers. The caller holds
// mu.
func (c *connection) large() bool { return c.charge > ordinaryBytes }

// stateChanged follows the state that the server reports.
func (c *connection) stateChanged(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.active, c.inHead = true, false
		if c.phase == waiting {
			// The whole head was in the buffer already.
			c.enter(receiving)
		}
	case http.StateIdle:
		c.active, c.served = false, true
		c.enter(waiting)
		c.addCharge(connectionBytes + c.tail - c.charge)
	}
}

// errClosedForOthers is a time-out for the server, so that it sends no response to a part of a
// head, and for handlers.
var errClosedForOthers error = closedForOthers{}

type closedForOthers struct{}

func (closedForOthers) Error() string   { return "closed because clients hold too much" }
func (closedForOthers) Timeout() bool   { return true }
func (closedForOthers) Temporary() bool { return false }

// IsTimeout reports whether a body ended because its connection was too slow or was closed for
// others. The request has not run.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
