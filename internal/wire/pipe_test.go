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

// echo is the receiver that tests call.
type echo struct {
	calls atomic.Int64
}

// Args and Reply of echo's methods.
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

// Say answers with the text after a while.
func (e *echo) Say(args *Args, reply *Reply) error {
	e.calls.Add(1)
	time.Sleep(args.Sleep)
	*reply = Reply{args.Text, args.Envelope.Traceparent, args.Envelope.TimeoutMS}
	return nil
}

// Fail answers with an error.
func (e *echo) Fail(*Args, *Reply) error {
	return errors.New("no such lot")
}

// network joins a client to a server by pipes inside the process, so that
// tests run in virtual time.
type network struct {
	echo   *echo
	server *Server
	client *Client

	mu    sync.Mutex
	dials int
	cut   Cut
}

func newNetwork(t *testing.T) *network {
	t.Helper()
	n := &network{echo: &echo{}}
	n.restart(t)
	n.client = NewClient(CutDialer(n.connect, n.cutNow))
	t.Cleanup(func() { n.client.Close(); n.server.Close() })
	return n
}

// restart replaces the server by a new one.
func (n *network) restart(t *testing.T) {
	t.Helper()
	if n.server != nil {
		n.server.Close()
	}
	n.server = NewServer()
	assert.NilError(t, n.server.Register("Echo", n.echo))
}

func (n *network) connect(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	n.mu.Lock()
	n.dials++
	n.mu.Unlock()
	if !n.server.track(far) {
		return nil, errors.New("refused")
	}
	n.server.running.Add(1)
	go n.server.serveConn(far)
	return near, nil
}

func (n *network) cutNow(string) Cut {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut
}

func (n *network) setCut(cut Cut) {
	n.mu.Lock()
	n.cut = cut
	n.mu.Unlock()
	time.Sleep(2 * cutPoll)
}

// say makes one call that may take at most limit.
func (n *network) say(t *testing.T, sleep, limit time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return n.client.Call(ctx, "peer", "Echo.Say", &Args{Text: "a", Sleep: sleep}, &Reply{})
}
