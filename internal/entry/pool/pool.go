package pool

import (
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
)

// ErrUnknownTarget is returned for a target that has no connection budget.
var ErrUnknownTarget = errors.New("target has no connection budget")

// Dial opens a connection to a target.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Reply is a target's whole reply.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error is a request that got no reply.
type Error struct {
	// NotSent is proof that no byte of the request left.
	NotSent bool
	// Connect tells that no connection could be had.
	Connect bool
	// Reused tells that the connection had answered earlier requests.
	Reused bool
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

// New returns an empty pool that opens connections with dial; nil means plain
// TCP. Close ends its checks.
func New(dial Dial) *Pool {
	if dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	p := &Pool{dial: dial, targets: map[api.TargetID]*target{}, stop: make(chan struct{})}
	p.running.Add(1)
	go p.checkIdle()
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

// Do sends a request over one connection to a target and returns the whole
// reply. With proven set it uses only a connection on which the target has
// answered before. Every error is an *Error.
func (p *Pool) Do(ctx context.Context, id api.TargetID, req *http.Request, proven bool) (Reply, error) {
	t := p.find(id)
	if t == nil {
		return Reply{}, &Error{NotSent: true, Connect: true, Err: ErrUnknownTarget}
	}
	c, err := t.acquire(ctx)
	if err != nil {
		return Reply{}, &Error{NotSent: true, Connect: true, Err: err}
	}
	reused := c.proven
	if proven && !c.proven && t.ping(c) != nil {
		t.release(c, false)
		return Reply{}, &Error{NotSent: true, Connect: true, Err: errors.New("a fresh connection did not answer")}
	}
	reply, sent, err := c.roundTrip(t.address(ctx, req))
	t.release(c, err == nil)
	if err != nil {
		return Reply{}, &Error{NotSent: !sent, Reused: reused, Err: err}
	}
	return reply, nil
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
