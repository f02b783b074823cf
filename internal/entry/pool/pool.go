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
	"wigeonbay/internal/entry/bodyread"
)

const (
	// dialTimeout bounds the time for opening a connection, without pauses of the process.
	dialTimeout = time.Second
	// pingAfter is the idle time after which a connection is checked.
	pingAfter = 2 * time.Second
	// pingTimeout is the time after which a pinged connection without a reply
	// counts as silent.
	pingTimeout = 200 * time.Millisecond
	// checkInterval is the time between two rounds of idle checks.
	checkInterval = 500 * time.Millisecond
	// trimAfter is the idle time after which a connection in excess of the maximum
	// number of idle ones is closed.
	trimAfter = 1500 * time.Millisecond
	// resetMargin is the time, in addition to the connection's dial time, that is
	// allowed for a reset to arrive.
	resetMargin = 2 * time.Millisecond
)

// tcpKeepAlive detects idle connections whose state was lost on the way, for
// example by a firewall.
var tcpKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 3}

var (
	// ErrUnknownTarget is returned for a target that isn't configured.
	ErrUnknownTarget = errors.New("target is not configured")
	// ErrExpired is returned for a request whose context had ended before any of it was
	// sent on its connection.
	ErrExpired = errors.New("the request's time was over before it was sent")
	// ErrHeldBack is returned for a target that is held back.
	ErrHeldBack = errors.New("target is held back")
)

// Dial opens a connection to a target.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// DialTCP opens a plain TCP connection with keep-alive probes.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: tcpKeepAlive}
	return dialer.DialContext(ctx, "tcp", address)
}

// Reply is a target's complete reply.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Dialed is how long it took to open the connection, 0 if the target had
	// answered on it before.
	Dialed time.Duration
}

// Error describes a request that got no complete reply.
type Error struct {
	// NotSent reports that certainly no byte of the request was sent.
	NotSent bool
	// Connect reports that no usable connection was available.
	Connect bool
	// Reused reports that the target had answered on the connection before.
	Reused bool
	// Dialed is the same as in Reply.
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
	// replyMemory is shared by the replies that are being read from all targets.
	replyMemory *bodyread.Budget
	// probeMemory is the share of the replies to probes.
	probeMemory *bodyread.Share

	mu         sync.Mutex
	targets    map[api.TargetID]*target
	stopped    chan struct{}
	background sync.WaitGroup
}

// Option configures a Pool.
type Option func(*options)

type options struct{ idleChecks bool }

// WithoutIdleChecks disables the pings on idle connections, so that a silent
// connection is only detected in use. It is for targets that would count each
// ping as a request.
func WithoutIdleChecks() Option {
	return func(o *options) { o.idleChecks = false }
}

// New returns an empty pool that opens connections with dial, or over plain TCP
// if dial is nil. Close stops its background checks.
func New(dial Dial, opts ...Option) *Pool {
	config := options{idleChecks: true}
	for _, opt := range opts {
		opt(&config)
	}
	if dial == nil {
		dial = DialTCP
	}
	replyMemory := bodyread.NewBudget(maxReplyMemory)
	p := &Pool{
		dial: dial, targets: map[api.TargetID]*target{}, stopped: make(chan struct{}),
		replyMemory: replyMemory, probeMemory: bodyread.NewShare(replyMemory),
	}
	if config.idleChecks {
		p.background.Add(1)
		go p.runIdleChecks()
	}
	return p
}

// Configure sets a target's address and the maximum number of connections to
// it. It opens connections in the background until there are preopen of them.
func (p *Pool) Configure(id api.TargetID, address string, maxConns, preopen int) {
	p.mu.Lock()
	t := p.targets[id]
	if t == nil {
		t = newTarget(address, p.dial, p.replyMemory)
		p.targets[id] = t
	}
	p.mu.Unlock()
	t.configure(address, maxConns)
	p.background.Add(1)
	go func() {
		defer p.background.Done()
		t.openUpTo(preopen)
	}()
}

// SetMaxIdle sets how many idle connections to a target may be kept open
// indefinitely; the default is one. Connections in excess are closed once they
// have been idle for trimAfter, at the next Trim or end of a request.
func (p *Pool) SetMaxIdle(id api.TargetID, maxIdle int) {
	if t := p.find(id); t != nil {
		t.trim(maxIdle)
	}
}

// Trim closes idle connections in excess of each target's maximum that have
// been idle for trimAfter.
func (p *Pool) Trim() {
	for _, t := range p.all() {
		t.trim(-1)
	}
}

// Forget removes a target and closes its idle connections. Connections in use
// are closed when their request ends.
func (p *Pool) Forget(id api.TargetID) {
	p.mu.Lock()
	t := p.targets[id]
	delete(p.targets, id)
	p.mu.Unlock()
	if t != nil {
		t.remove()
	}
}

// Check pings all idle connections to a target, replaces the silent ones and
// returns their number.
func (p *Pool) Check(id api.TargetID) int {
	t := p.find(id)
	if t == nil {
		return 0
	}
	return t.checkIdle(0)
}

// OpenConnections returns the number of connections to a target, including
// those being opened.
func (p *Pool) OpenConnections(id api.TargetID) int {
	t := p.find(id)
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connCount
}

// Connections returns the number of connections to all targets, including those
// being opened, and how many of them are idle.
func (p *Pool) Connections() (open, idle int) {
	for _, t := range p.all() {
		t.mu.Lock()
		open += t.connCount
		idle += len(t.idle)
		t.mu.Unlock()
	}
	return open, idle
}

// Do sends a request over one connection to a target and returns the complete
// reply. With requireReply it first pings a connection on which the target
// hasn't answered yet. All errors are of type *Error.
func (p *Pool) Do(ctx context.Context, id api.TargetID, req *http.Request, requireReply bool) (Reply, error) {
	t := p.find(id)
	if t == nil {
		return Reply{}, &Error{NotSent: true, Connect: true, Err: ErrUnknownTarget}
	}
	var request bytes.Buffer
	if err := t.withAddress(ctx, req).Write(&request); err != nil {
		return Reply{}, &Error{NotSent: true, Err: err}
	}
	serialized := Request{Method: req.Method, Bytes: request.Bytes()}
	if requireReply {
		serialized.Verification = VerifyReply
	}
	return t.send(ctx, serialized)
}

// Verification is the check that a connection must pass before a request is sent
// on it. It concerns only connections on which the target hasn't answered yet.
type Verification uint8

const (
	// VerifyNone requires no check of the connection.
	VerifyNone Verification = iota
	// VerifyOpen requires that the target hasn't reset the connection within the
	// time in which a reset for too many connections arrives.
	VerifyOpen
	// VerifyReply requires that the target has answered on the connection.
	VerifyReply
)

// Request is a serialized request to a target.
type Request struct {
	Method string
	// Bytes is the whole request, including its Host header.
	Bytes        []byte
	Verification Verification
	// IsReply reports whether a reply with this header answers the request. Nil
	// accepts every reply. On a connection that has carried other requests, replies
	// to these are skipped: a target may send one twice. The connection is closed
	// then, since further ones may follow.
	IsReply func(header http.Header) bool
}

// Send is like Do for a request that is already serialized. If IsReply rejects all of
// the first replies, the last of these is returned.
func (p *Pool) Send(ctx context.Context, id api.TargetID, request Request) (Reply, error) {
	t := p.find(id)
	if t == nil {
		return Reply{}, &Error{NotSent: true, Connect: true, Err: ErrUnknownTarget}
	}
	return t.send(ctx, request)
}

// HoldBack keeps requests from being sent to a target until the given time. Those that
// wait for a connection fail with ErrHeldBack once they have it.
func (p *Pool) HoldBack(id api.TargetID, until time.Time) {
	if t := p.find(id); t != nil {
		t.holdBack(until)
	}
}

// Suspend keeps requests from being sent to a target until it is called with false. Those that
// wait for a connection fail with ErrHeldBack; those that were sent go on.
func (p *Pool) Suspend(id api.TargetID, suspended bool) {
	if t := p.find(id); t != nil {
		t.suspend(suspended)
	}
}

// Probe sends a request over a new connection, which doesn't count towards the
// budget, and returns the reply.
func (p *Pool) Probe(ctx context.Context, address, method string, request []byte) (Reply, error) {
	netConn, err := p.dial(ctx, address)
	if err != nil {
		return Reply{}, err
	}
	c := newConn(netConn, 0, p.probeMemory)
	defer c.close()
	reply, _, err := c.roundTrip(ctx, Request{Method: method, Bytes: request})
	return reply, err
}

// Close removes all targets and stops the background checks. Connections in use
// are closed when their request ends.
func (p *Pool) Close() {
	close(p.stopped)
	p.mu.Lock()
	for id, t := range p.targets {
		t.remove()
		delete(p.targets, id)
	}
	p.mu.Unlock()
	p.background.Wait()
}

func (p *Pool) find(id api.TargetID) *target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.targets[id]
}

func (p *Pool) runIdleChecks() {
	defer p.background.Done()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.stopped:
			return
		case <-ticker.C:
			for _, t := range p.all() {
				p.background.Go(func() { t.checkIdle(pingAfter) })
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
