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
)

// errRetired is returned to requests that wait for a connection to a target
// that was forgotten.
var errRetired = errors.New("the target is gone")

// target holds the connections to one target.
type target struct {
	dial Dial

	mu     sync.Mutex
	host   string
	most   int
	opened int
	// kept is the number of idle connections that are held on to.
	kept int
	// idle are in the order of their last use.
	idle    []*conn
	retired bool
	// freed is closed and replaced whenever a connection or a place for one
	// becomes free.
	freed chan struct{}
}

func newTarget(host string, dial Dial) *target {
	return &target{dial: dial, host: host, kept: 1, freed: make(chan struct{})}
}

// configure sets the budget; connections above it are closed as they become
// idle.
func (t *target) configure(host string, most int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.host = host
	t.most = most
	for len(t.idle) > 0 && t.opened > t.most {
		t.closeLocked(t.idle[0])
		t.idle = t.idle[1:]
	}
	t.signalLocked()
}

// open opens connections ahead of need until expected are there.
func (t *target) open(expected int) {
	for {
		t.mu.Lock()
		full := t.retired || t.opened >= expected || t.opened >= t.most
		if !full {
			t.opened++
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

// acquire returns an idle connection, or a new one within the budget, or waits
// until ctx ends.
func (t *target) acquire(ctx context.Context) (*conn, error) {
	for {
		t.mu.Lock()
		if t.retired {
			t.mu.Unlock()
			return nil, errRetired
		}
		if c := t.takeUsable(); c != nil {
			t.mu.Unlock()
			return c, nil
		}
		if t.opened < t.most {
			t.opened++
			t.mu.Unlock()
			return t.connect(ctx)
		}
		freed := t.freed
		t.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// takeUsable takes the connection used last, and closes those that can't be
// used any more.
func (t *target) takeUsable() *conn {
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

// send sends a request over one connection and returns the whole reply. Every
// error is an *Error.
func (t *target) send(ctx context.Context, method string, request []byte, proof Proof) (Reply, error) {
	c, err := t.acquire(ctx)
	if err != nil {
		return Reply{}, &Error{NotSent: true, Connect: true, Err: err}
	}
	reused := c.proven
	var dialed time.Duration
	if !reused {
		dialed = c.dialed
	}
	if err := t.prove(ctx, c, proof); err != nil {
		t.release(c, false)
		return Reply{}, &Error{NotSent: true, Connect: true, Dialed: dialed, Err: err}
	}
	reply, sent, err := c.exchange(ctx, method, request)
	t.release(c, err == nil && !c.last)
	if err != nil {
		return Reply{}, &Error{NotSent: !sent, Reused: reused, Dialed: dialed, Err: err}
	}
	reply.Dialed = dialed
	return reply, nil
}

// prove makes sure that a fresh connection was taken by the target, as far as
// the request asks for it.
func (t *target) prove(ctx context.Context, c *conn, proof Proof) error {
	if c.proven || proof == ProofNone {
		return nil
	}
	if proof == ProofReply {
		if t.ping(c) != nil {
			return errors.New("a fresh connection did not answer")
		}
		return nil
	}
	// A target at its limit resets the connection a round trip after it opened.
	timer := time.NewTimer(c.dialed + resetMargin)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	if !c.quiet() {
		return syscall.ECONNRESET
	}
	return nil
}

// connect opens a connection for which a place was taken.
func (t *target) connect(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	t.mu.Lock()
	host := t.host
	t.mu.Unlock()
	began := time.Now()
	raw, err := t.dial(ctx, host)
	if err != nil {
		t.mu.Lock()
		t.opened--
		t.signalLocked()
		t.mu.Unlock()
		return nil, err
	}
	return newConn(raw, time.Since(began)), nil
}

// release gives a connection back, or closes one that is no longer good.
func (t *target) release(c *conn, good bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !good || t.retired || t.opened > t.most {
		t.closeLocked(c)
	} else {
		t.idle = append(t.idle, c)
	}
	t.trimLocked()
	t.signalLocked()
}

// trimLocked closes the connections that have been idle for long and are not
// needed: the target counts it against its limit, also after this node has
// lost its power.
func (t *target) trimLocked() {
	for len(t.idle) > t.kept && time.Since(t.idle[0].lastUsed) > trimAfter {
		t.closeLocked(t.idle[0])
		t.idle = t.idle[1:]
	}
}

// trim closes connections that are not needed, and sets how many idle ones are
// held on to when kept isn't negative.
func (t *target) trim(kept int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if kept >= 0 {
		t.kept = kept
	}
	t.trimLocked()
}

// retire closes the idle connections and refuses further use.
func (t *target) retire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retired = true
	for _, c := range t.idle {
		t.closeLocked(c)
	}
	t.idle = nil
	t.signalLocked()
}

// check pings the connections that have been idle for at least age, replaces the
// silent ones and returns their number.
func (t *target) check(age time.Duration) int {
	var silent atomic.Int64
	var pings sync.WaitGroup
	for _, c := range t.takeIdle(age) {
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

// takeIdle takes the connections that have been idle for at least age.
func (t *target) takeIdle(age time.Duration) []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due, rest []*conn
	for _, c := range t.idle {
		if time.Since(c.lastUsed) >= age {
			due = append(due, c)
		} else {
			rest = append(rest, c)
		}
	}
	t.idle = rest
	return due
}

// replace closes a connection and opens another in its place, without waiting
// for it.
func (t *target) replace(c *conn) {
	t.mu.Lock()
	t.closeLocked(c)
	wanted := t.opened + 1
	t.mu.Unlock()
	go t.open(wanted)
}

// ping asks the target's health endpoint over one connection, as proof that
// the connection carries replies; what the reply says is not used.
func (t *target) ping(c *conn) error {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://target/health", nil)
	if err != nil {
		return err
	}
	var request bytes.Buffer
	if err := t.address(ctx, req).Write(&request); err != nil {
		return err
	}
	_, _, err = c.exchange(ctx, req.Method, request.Bytes())
	return err
}

// address fills in the target's address.
func (t *target) address(ctx context.Context, req *http.Request) *http.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := req.Clone(ctx)
	out.URL = &url.URL{Scheme: "http", Host: t.host, Path: req.URL.Path}
	out.Host = t.host
	return out
}

func (t *target) closeLocked(c *conn) {
	t.opened--
	c.close()
}

func (t *target) signalLocked() {
	close(t.freed)
	t.freed = make(chan struct{})
}
