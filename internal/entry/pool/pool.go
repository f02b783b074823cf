package pool

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"wigeonbay/internal/api"
)

// Constants of the pool.
const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// pingAfter is the idle time after which a connection is checked.
	pingAfter = 2 * time.Second
	// pingTimeout is the time after which a checked connection without a reply
	// counts as silent.
	pingTimeout = 200 * time.Millisecond
	// checkInterval is the time between two rounds of checks.
	checkInterval = 500 * time.Millisecond
	// trimAfter is the idle time after which a connection beyond those that are
	// kept is closed.
	trimAfter = 1500 * time.Millisecond
	// resetMargin is added to the time that a connection took to open, for a
	// reset to arrive.
	resetMargin = 2 * time.Millisecond
)

// keepAlive finds connections that were forgotten by something between the two
// ends while nothing is sent on them.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 3}

// ErrUnknownTarget is returned for a target that has no connection budget.
var ErrUnknownTarget = errors.New("target has no connection budget")

// Dial opens a connection to a target.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Reply is a target's whole reply.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Dialed is how long the connection took to open, 0 for a kept one.
	Dialed time.Duration
}

// Error is a request that got no reply.
type Error struct {
	// NotSent is proof that no byte of the request left.
	NotSent bool
	// Connect tells that no connection could be had.
	Connect bool
	// Reused tells that the connection had answered earlier requests.
	Reused bool
	// Dialed is as in Reply.
	Dialed time.Duration
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("request to target: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Pool holds the connections to all targets. It is safe for concurrent use.
type Pool struct {
	dial Dial

	mu      sync.Mutex
	targets map[api.TargetID]*target
	stop    chan struct{}
	running sync.WaitGroup
}

// Option changes how a Pool works.
type Option func(*options)

type options struct{ idleChecks bool }

// WithoutIdleChecks leaves idle connections alone: the pool then learns only
// from use which of them have gone silent. It is for targets that count each
// check as a request.
func WithoutIdleChecks() Option {
	return func(o *options) { o.idleChecks = false }
}

// New returns an empty pool that opens connections with dial; nil means plain
// TCP. Close ends its checks.
func New(dial Dial, changes ...Option) *Pool {
	o := options{idleChecks: true}
	for _, change := range changes {
		change(&o)
	}
	if dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	p := &Pool{dial: dial, targets: map[api.TargetID]*target{}, stop: make(chan struct{})}
	if o.idleChecks {
		p.running.Add(1)
		go p.checkIdle()
	}
	return p
}

// Configure sets the address of a target, the greatest number of connections
// to it, and how many are to be open ahead of need.
func (p *Pool) Configure(id api.TargetID, address string, most, expected int) {
	p.mu.Lock()
	t := p.targets[id]
	if t == nil {
		t = newTarget(address, p.dial)
		p.targets[id] = t
	}
	p.mu.Unlock()
	t.configure(address, most)
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		t.open(expected)
	}()
}

// SetMaxIdle sets how many idle connections to a target are kept open
// indefinitely; the default is one. Further connections are closed once they
// have been idle for trimAfter.
func (p *Pool) SetMaxIdle(id api.TargetID, kept int) {
	if t := p.find(id); t != nil {
		t.trim(kept)
	}
}

// Trim closes the connections that are idle and not needed.
func (p *Pool) Trim() {
	for _, t := range p.all() {
		t.trim(-1)
	}
}

// Forget closes the idle connections to a target; those in use are closed when
// their request ends.
func (p *Pool) Forget(id api.TargetID) {
	p.mu.Lock()
	t := p.targets[id]
	delete(p.targets, id)
	p.mu.Unlock()
	if t != nil {
		t.retire()
	}
}

// Check tries the idle connections to a target now, replaces the silent ones and
// returns their number.
func (p *Pool) Check(id api.TargetID) int {
	t := p.find(id)
	if t == nil {
		return 0
	}
	return t.check(0)
}

// Open returns the number of open connections to a target.
func (p *Pool) Open(id api.TargetID) int {
	t := p.find(id)
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.opened
}

// Connections returns how many connections are open, and how many of them are
// idle.
func (p *Pool) Connections() (open, idle int) {
	for _, t := range p.all() {
		t.mu.Lock()
		open += t.opened
		idle += len(t.idle)
		t.mu.Unlock()
	}
	return open, idle
}

// Do sends a request over one connection to a target and returns the whole
// reply. With proven set it uses only a connection on which the target has
// answered before. Every error is an *Error.
func (p *Pool) Do(ctx context.Context, id api.TargetID, req *http.Request, proven bool) (Reply, error) {
	t := p.find(id)
	if t == nil {
		return Reply{}, &Error{NotSent: true, Connect: true, Err: ErrUnknownTarget}
	}
	var request bytes.Buffer
	if err := t.address(ctx, req).Write(&request); err != nil {
		return Reply{}, &Error{NotSent: true, Err: err}
	}
	proof := ProofNone
	if proven {
		proof = ProofReply
	}
	return t.send(ctx, req.Method, request.Bytes(), proof)
}

// Proof says what must be known of a connection before a request is sent on it.
type Proof uint8

// Proofs.
const (
	ProofNone Proof = iota
	// ProofOpen asks that the target has not reset a fresh connection.
	ProofOpen
	// ProofReply asks that the target has answered on the connection before.
	ProofReply
)

// Send is Do for a request that is already as it goes over the connection.
func (p *Pool) Send(ctx context.Context, id api.TargetID, method string, request []byte, proof Proof) (Reply, error) {
	t := p.find(id)
	if t == nil {
		return Reply{}, &Error{NotSent: true, Connect: true, Err: ErrUnknownTarget}
	}
	return t.send(ctx, method, request, proof)
}

// Probe sends a request on a connection of its own, outside the budget, and
// returns the reply's status.
func (p *Pool) Probe(ctx context.Context, address, method string, request []byte) (int, error) {
	raw, err := p.dial(ctx, address)
	if err != nil {
		return 0, err
	}
	c := newConn(raw, 0)
	defer c.close()
	reply, _, err := c.exchange(ctx, method, request)
	return reply.Status, err
}

// Close closes all connections and ends the checks.
func (p *Pool) Close() {
	close(p.stop)
	p.mu.Lock()
	for id, t := range p.targets {
		t.retire()
		delete(p.targets, id)
	}
	p.mu.Unlock()
	p.running.Wait()
}

func (p *Pool) find(id api.TargetID) *target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.targets[id]
}

func (p *Pool) checkIdle() {
	defer p.running.Done()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
			for _, t := range p.all() {
				p.running.Go(func() { t.check(pingAfter) })
			}
		}
	}
}

func (p *Pool) all() []*target {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*target, 0, len(p.targets))
	for _, t := range p.targets {
		out = append(out, t)
	}
	return out
}
