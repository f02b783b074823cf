package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// echo is the net/rpc receiver that tests call.
type echo struct {
	calls atomic.Int64
	// released is closed when Hold returns.
	released chan struct{}
}

// Args and Reply are the arguments and the reply of echo's methods.
type (
	Args struct {
		Envelope Envelope
		Text     string
		Sleep    time.Duration
	}
	Reply struct {
		Text        string
		Traceparent string
		TimeoutMS   int64
	}
)

// Say waits for args.Sleep and returns the text and the envelope.
func (e *echo) Say(args *Args, reply *Reply) error {
	e.calls.Add(1)
	time.Sleep(args.Sleep)
	*reply = Reply{args.Text, args.Envelope.Traceparent, args.Envelope.TimeoutMS}
	return nil
}

// HoldArgs are the arguments of Hold.
type HoldArgs struct {
	Envelope     Envelope
	disconnected <-chan struct{}
}

// BindConnection implements ConnectionBound.
func (a *HoldArgs) BindConnection(disconnected <-chan struct{}) { a.disconnected = disconnected }

// Hold returns when the connection has ended.
func (e *echo) Hold(args *HoldArgs, _ *Reply) error {
	<-args.disconnected
	close(e.released)
	return nil
}

// Fail returns an error.
func (e *echo) Fail(*Args, *Reply) error {
	return errors.New("no such lot")
}

// testNetwork connects a client to a server by in-memory pipes, so that tests can run
// in virtual time.
type testNetwork struct {
	echo   *echo
	server *Server
	client *Client

	mu    sync.Mutex
	dials int
	cut   Cut
}

func newNetwork(t *testing.T) *testNetwork {
	t.Helper()
	n := &testNetwork{echo: &echo{released: make(chan struct{})}}
	n.restart(t)
	n.client = NewClient(CutDialer(n.connect, n.currentCut))
	t.Cleanup(func() { n.client.Close(); n.server.Close() })
	return n
}

// restart closes the server, if there is one, and creates a new one.
func (n *testNetwork) restart(t *testing.T) {
	t.Helper()
	if n.server != nil {
		n.server.Close()
	}
	n.server = NewServer()
	assert.NilError(t, n.server.Register("Echo", n.echo))
}

func (n *testNetwork) connect(context.Context, string) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	n.mu.Lock()
	n.dials++
	n.mu.Unlock()
	if !n.server.track(serverConn) {
		return nil, errors.New("refused")
	}
	n.server.running.Add(1)
	go n.server.serveConn(serverConn)
	return clientConn, nil
}

func (n *testNetwork) currentCut(string) Cut {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut
}

// setCut sets the cut and waits until it applies to existing connections.
func (n *testNetwork) setCut(cut Cut) {
	n.mu.Lock()
	n.cut = cut
	n.mu.Unlock()
	time.Sleep(2 * cutPollInterval)
}

// callEcho calls Echo.Say with a timeout of limit.
func (n *testNetwork) callEcho(t *testing.T, sleep, limit time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return n.client.Call(ctx, "peer", "Echo.Say", &Args{Text: "a", Sleep: sleep}, &Reply{})
}
