package pool

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wigeonbay/internal/freeport"
)

// silencingDialer opens connections that can be made silent: writes succeed but
// are lost, as if a device on the way had lost the connection's state.
type silencingDialer struct {
	mu     sync.Mutex
	dialed int
	conns  []*silenceableConn
}

type silenceableConn struct {
	net.Conn
	silent atomic.Bool
	closed chan struct{}
	once   sync.Once
}

func (c *silenceableConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silenceableConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (d *silencingDialer) dial(_ context.Context, address string) (net.Conn, error) {
	netConn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &silenceableConn{Conn: netConn, closed: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dialed++
	d.conns = append(d.conns, c)
	return c, nil
}

func (d *silencingDialer) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		c.silent.Store(true)
	}
}

func newServer(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func serveOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

func doRequest(t *testing.T, p *Pool, ctx context.Context, requireReply bool) (Reply, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://target/v1/search", nil)
	assert.NilError(t, err)
	return p.Do(ctx, "a", req, requireReply)
}

func newPool(t *testing.T, dial Dial) *Pool {
	p := New(dial)
	t.Cleanup(p.Close)
	return p
}

// awaitIdle waits until want connections are open and idle.
func awaitIdle(t *testing.T, p *Pool, want int) {
	t.Helper()
	a := p.find("a")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		a.mu.Lock()
		defer a.mu.Unlock()
		if len(a.idle) == want {
			return poll.Success()
		}
		return poll.Continue("%d connections are idle, not %d", len(a.idle), want)
	})
}

// fault: silent connection x search
func TestSilentIdleConnectionsAreReplaced(t *testing.T) {
	d := &silencingDialer{}
	p := newPool(t, d.dial)
	p.Configure("a", newServer(t, serveOK), 4, 2)
	awaitIdle(t, p, 2)
	assert.Equal(t, p.Check("a"), 0)
	awaitIdle(t, p, 2)
	d.silence()
	assert.Equal(t, p.Check("a"), 2)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.dialed >= 4 {
			return poll.Success()
		}
		return poll.Continue("%d connections dialled; the silent ones aren't replaced yet", d.dialed)
	})
	reply, err := doRequest(t, p, t.Context(), true)
	assert.NilError(t, err)
	assert.Equal(t, string(reply.Body), "ok")
	assert.Assert(t, p.OpenConnections("a") <= 4)
}

// fault: silent connection x submit
// fault: silent-connection x forward
func TestRequestRequiringReplyIsNotSentOnSilentConnection(t *testing.T) {
	d := &silencingDialer{}
	var requests atomic.Int64
	p := newPool(t, func(ctx context.Context, address string) (net.Conn, error) {
		c, err := d.dial(ctx, address)
		d.silence()
		return c, err
	})
	p.Configure("a", newServer(t, func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		serveOK(w, r)
	}), 1, 0)
	_, err := doRequest(t, p, t.Context(), true)
	var poolErr *Error
	assert.Assert(t, errors.As(err, &poolErr))
	assert.Assert(t, poolErr.NotSent)
	assert.Equal(t, requests.Load(), int64(0))
}

func TestConnectionBudgetIsNeverExceeded(t *testing.T) {
	var inFlight, peak atomic.Int64
	address := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		n := inFlight.Add(1)
		for old := peak.Load(); n > old && !peak.CompareAndSwap(old, n); old = peak.Load() {
		}
		defer inFlight.Add(-1)
		serveOK(w, r)
	})
	p := newPool(t, nil)
	p.Configure("a", address, 3, 3)
	var wait sync.WaitGroup
	for range 50 {
		wait.Go(func() {
			_, err := doRequest(t, p, t.Context(), false)
			assert.Check(t, err)
		})
	}
	wait.Wait()
	assert.Assert(t, peak.Load() <= 3)
	assert.Assert(t, p.OpenConnections("a") <= 3)
}

func TestShrinkingBudgetClosesIdleConnections(t *testing.T) {
	p := newPool(t, nil)
	address := newServer(t, serveOK)
	p.Configure("a", address, 5, 5)
	awaitIdle(t, p, 5)
	p.Configure("a", address, 1, 1)
	awaitIdle(t, p, 1)
}

// fault: failing-target x forward
func TestErrorsReportWhetherRequestWasSent(t *testing.T) {
	unusedAddress, err := freeport.Address()
	assert.NilError(t, err)
	tests := []struct {
		name    string
		address string
		notSent bool
		connect bool
	}{
		{name: "connection refused", address: unusedAddress, notSent: true, connect: true},
		{name: "closed before the reply", address: newServer(t, func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPool(t, nil)
			p.Configure("a", tt.address, 2, 0)
			_, err := doRequest(t, p, t.Context(), false)
			var poolErr *Error
			assert.Assert(t, errors.As(err, &poolErr))
			assert.Equal(t, poolErr.NotSent, tt.notSent)
			assert.Equal(t, poolErr.Connect, tt.connect)
		})
	}
}

func TestForgetEndsOnlyWaitingRequests(t *testing.T) {
	release := make(chan struct{})
	p := newPool(t, nil)
	arrived := make(chan struct{}, 1)
	p.Configure("a", newServer(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		serveOK(w, r)
	}), 1, 0)
	first := make(chan error, 1)
	go func() {
		_, err := doRequest(t, p, t.Context(), false)
		first <- err
	}()
	<-arrived
	second := make(chan error, 1)
	go func() {
		_, err := doRequest(t, p, t.Context(), false)
		second <- err
	}()
	p.Forget("a")
	assert.Assert(t, <-second != nil)
	close(release)
	assert.NilError(t, <-first, "a request in flight must complete")
}
