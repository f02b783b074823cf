package pool

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wigeonbay/internal/entry/bodyread"
)

// errRemoved is returned to requests that wait for a connection to a target
// that has been removed.
var errRemoved = errors.New("the target was removed")

// target manages the connections to one target.
type target struct {
	dial Dial
	// replyMemory is the target's share of that of the pool.
	replyMemory *bodyread.Share

	mu sync.Mutex
	// address is the target's host:port.
	address  string
	maxConns int
	// connCount is the number of connections that are idle, in use or being
	// opened.
	connCount int
	// maxIdle is the number of idle connections that are kept open indefinitely.
	maxIdle int
	// idle is sorted by the time of last use, oldest first.
	idle    []*conn
	removed bool
	// heldBackUntil is the time until which no request is sent.
	heldBackUntil time.Time
	// suspended is set while no request is sent.
	suspended bool
	// changed is closed and replaced whenever a waiting request should try again.
	changed chan struct{}
}

func newTarget(address string, dial Dial, replyMemory *bodyread.Budget) *target {
	return &target{dial: dial, replyMemory: bodyread.NewShare(replyMemory), address: address, maxIdle: 1, changed: make(chan struct{})}
}

// configure sets the address and the budget, and closes idle connections in
// excess. Those in use are closed when they are released.
func (t *target) configure(address string, maxConns int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.address = address
	t.maxConns = maxConns
	for len(t.idle) > 0 && t.connCount > t.maxConns {
		t.closeLocked(t.idle[0])
		t.idle = t.idle[1:]
	}
	t.notifyLocked()
}

// openUpTo opens connections until there are count of them, the budget is used
// up, one fails to open or the target is removed.
func (t *target) openUpTo(count int) {
	for {
		t.mu.Lock()
		full := t.removed || t.connCount >= count || t.connCount >= t.maxConns
		if !full {
			t.connCount++
		}
		t.mu.Unlock()
		if full {
			return
		}
		c, err := t.connect(context.Background())
		if err != nil {
			return
		}
		t.release(c, true)
	}
}

// acquire returns an idle connection, or opens one within the budget. If neither
// is possible it waits until that changes or ctx ends.
func (t *target) acquire(ctx context.Context) (*conn, error) {
	for {
		t.mu.Lock()
		if t.removed {
			t.mu.Unlock()
			return nil, errRemoved
		}
		if t.suspended {
			t.mu.Unlock()
			return nil, ErrHeldBack
		}
		if c := t.takeUsableLocked(); c != nil {
			t.mu.Unlock()
			return c, nil
		}
		if t.connCount < t.maxConns {
			t.connCount++
			t.mu.Unlock()
			return t.connect(ctx)
		}
		changed := t.changed
		t.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// takeUsableLocked returns the most recently used idle connection that is still
// usable, or nil. It closes the unusable ones that it comes across.
func (t *target) takeUsableLocked() *conn {
	for n := len(t.idle); n > 0; n = len(t.idle) {
		c := t.idle[n-1]
		t.idle = t.idle[:n-1]
		if c.usable() {
			return c
		}
		t.closeLocked(c)
	}
	return nil
}

// send sends a request over one connection and returns the complete reply. All
// errors are of type *Error.
func (t *target) send(ctx context.Context, request Request) (Reply, error) {
	c, err := t.acquire(ctx)
	if err != nil {
		return Reply{}, &Error{NotSent: true, Connect: true, Err: err}
	}
	reused := c.hasReplied
	var dialed time.Duration
	if !reused {
		dialed = c.dialTime
	}
	if err := t.verify(ctx, c, request.Verification); err != nil {
		t.release(c, false)
		return Reply{}, &Error{NotSent: true, Connect: true, Dialed: dialed, Err: err}
	}
	if t.isHeldBack(time.Now()) {
		t.release(c, true)
		return Reply{}, &Error{NotSent: true, Dialed: dialed, Err: ErrHeldBack}
	}
	reply, sent, err := c.roundTrip(ctx, request)
	t.release(c, err == nil && !c.mustClose)
	if err != nil {
		return Reply{}, &Error{NotSent: !sent, Reused: reused, Dialed: dialed, Err: err}
	}
	reply.Dialed = dialed
	return reply, nil
}

// holdBack keeps requests from being sent until the given time. It never shortens an
// earlier call's time.
func (t *target) holdBack(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if until.After(t.heldBackUntil) {
		t.heldBackUntil = until
	}
}

func (t *target) isHeldBack(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspended || now.Before(t.heldBackUntil)
}

// suspend keeps requests from being sent while it is set, and ends the wait of those that
// wait for a connection.
func (t *target) suspend(suspended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspended != suspended {
		t.suspended = suspended
		t.notifyLocked()
	}
}

// verify checks that the target has accepted a new connection, as far as
// verification requires it.
func (t *target) verify(ctx context.Context, c *conn, verification Verification) error {
	if c.hasReplied || verification == VerifyNone {
		return nil
	}
	if verification == VerifyReply {
		if t.ping(c) != nil {
			return errors.New("the target did not answer a ping on a new connection")
		}
		return nil
	}
	// A target at its connection limit resets the connection one round trip after
	// it was opened.
	timer := time.NewTimer(c.dialTime + resetMargin)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	if !c.openAndEmpty() {
		return syscall.ECONNRESET
	}
	return nil
}

// connect opens a connection that is already included in connCount, and reduces
// connCount if that fails.
func (t *target) connect(ctx context.Context) (*conn, error) {
	ctx, cancel := withRunningTimeout(ctx, dialTimeout)
	defer cancel()
	t.mu.Lock()
	address := t.address
	t.mu.Unlock()
	start := time.Now()
	netConn, err := t.dial(ctx, address)
	if err != nil {
		t.mu.Lock()
		t.connCount--
		t.notifyLocked()
		t.mu.Unlock()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, err
	}
	return newConn(netConn, time.Since(start), t.replyMemory), nil
}

// release returns a connection to the idle ones, or closes it if it isn't
// reusable or exceeds the budget.
func (t *target) release(c *conn, reusable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !reusable || t.removed || t.connCount > t.maxConns {
		t.closeLocked(c)
	} else {
		t.idle = append(t.idle, c)
	}
	t.trimLocked()
	t.notifyLocked()
}

// trimLocked closes connections in excess of maxIdle that have been idle for
// trimAfter. The target counts idle connections against its limit, even after
// this node has lost power.
func (t *target) trimLocked() {
	for len(t.idle) > t.maxIdle && time.Since(t.idle[0].lastUsed) > trimAfter {
		t.closeLocked(t.idle[0])
		t.idle = t.idle[1:]
	}
}

// trim sets maxIdle, unless it is negative, and closes connections as trimLocked
// does.
func (t *target) trim(maxIdle int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if maxIdle >= 0 {
		t.maxIdle = maxIdle
	}
	t.trimLocked()
}

// remove closes the idle connections and makes waiting and later requests fail.
func (t *target) remove() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removed = true
	for _, c := range t.idle {
		t.closeLocked(c)
	}
	t.idle = nil
	t.notifyLocked()
}

// checkIdle pings the connections that have been idle for at least minIdleTime,
// replaces the silent ones and returns their number.
func (t *target) checkIdle(minIdleTime time.Duration) int {
	var silent atomic.Int64
	var pings sync.WaitGroup
	for _, c := range t.takeIdle(minIdleTime) {
		pings.Go(func() {
			if t.ping(c) == nil {
				t.release(c, true)
				return
			}
			silent.Add(1)
			t.replace(c)
		})
	}
	pings.Wait()
	return int(silent.Load())
}

// takeIdle removes the connections that have been idle for at least minIdleTime
// from the idle ones and returns them.
func (t *target) takeIdle(minIdleTime time.Duration) []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due, rest []*conn
	for _, c := range t.idle {
		if time.Since(c.lastUsed) >= minIdleTime {
			due = append(due, c)
		} else {
			rest = append(rest, c)
		}
	}
	t.idle = rest
	return due
}

// replace closes a connection and opens another in its place in the background.
func (t *target) replace(c *conn) {
	t.mu.Lock()
	t.closeLocked(c)
	count := t.connCount + 1
	t.mu.Unlock()
	go t.openUpTo(count)
}

// ping requests the target's health endpoint over c and returns an error if no
// reply arrives. The status of the reply is ignored.
func (t *target) ping(c *conn) error {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://target/health", nil)
	if err != nil {
		return err
	}
	var request bytes.Buffer
	if err := t.withAddress(ctx, req).Write(&request); err != nil {
		return err
	}
	_, _, err = c.roundTrip(ctx, Request{Method: req.Method, Bytes: request.Bytes()})
	return err
}

// withAddress returns a copy of req with the target's address.
func (t *target) withAddress(ctx context.Context, req *http.Request) *http.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := req.Clone(ctx)
	out.URL = &url.URL{Scheme: "http", Host: t.address, Path: req.URL.Path}
	out.Host = t.address
	return out
}

func (t *target) closeLocked(c *conn) {
	t.connCount--
	c.close()
}

func (t *target) notifyLocked() {
	close(t.changed)
	t.changed = make(chan struct{})
}
