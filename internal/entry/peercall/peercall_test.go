package peercall

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wigeonbay/internal/entryrpc"
	"wigeonbay/internal/wire"
)

// startServer serves calls with a handler and returns its address.
func startServer(t *testing.T, handler Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := wire.NewServer()
	assert.NilError(t, Register(server, handler))
	server.Serve(listener)
	t.Cleanup(server.Close)
	return listener.Addr().String()
}

func newTestClient(t *testing.T) *Client {
	c := NewClient("e1", wire.NewClient(nil), zap.NewNop())
	t.Cleanup(c.Close)
	return c
}

func TestForwardReturnsTheResponse(t *testing.T) {
	var ids []entryrpc.CallID
	address := startServer(t, func(_ context.Context, args *entryrpc.ForwardArgs, deadline time.Time, reply *entryrpc.ForwardReply) error {
		ids = append(ids, args.ID)
		left := time.Until(deadline)
		assert.Check(t, left > 0 && left <= 2*time.Second, "%v", left)
		reply.Response = &entryrpc.Response{Status: 200, Header: map[string][]string{"A": {"b"}}, Body: args.Body}
		return nil
	})
	c := newTestClient(t)
	for range 2 {
		reply, err := c.Forward(t.Context(), address, &entryrpc.ForwardArgs{Body: []byte("x"), TimeLeftUS: 2_000_000})
		assert.NilError(t, err)
		assert.Equal(t, string(reply.Response.Body), "x")
		assert.DeepEqual(t, reply.Response.Header, map[string][]string{"A": {"b"}})
	}
	assert.Assert(t, ids[0] != ids[1] && ids[0].Node == "e1")
}

// TestWorkEndsWhenNobodyWaits ends the wait for a call in three ways; the node that was
// called must learn each.
func TestWorkEndsWhenNobodyWaits(t *testing.T) {
	cases := map[string]func(c *Client, cancel context.CancelFunc){
		"the caller leaves":   func(_ *Client, cancel context.CancelFunc) { cancel() },
		"the connection ends": func(c *Client, _ context.CancelFunc) { c.Close() },
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			began, ended := make(chan struct{}), make(chan struct{})
			address := startServer(t, func(ctx context.Context, _ *entryrpc.ForwardArgs, _ time.Time, _ *entryrpc.ForwardReply) error {
				close(began)
				<-ctx.Done()
				close(ended)
				return ErrCancelled
			})
			c := newTestClient(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			failed := make(chan error, 1)
			go func() {
				_, err := c.Forward(ctx, address, &entryrpc.ForwardArgs{TimeLeftUS: time.Minute.Microseconds()})
				failed <- err
			}()
			<-began
			end(c, cancel)
			<-ended
			err := <-failed
			assert.Assert(t, err != nil && !errors.Is(err, wire.ErrNotSent), "%v", err)
		})
	}
}

func TestCallThatWasCancelledBeforeItBeganDoesNothing(t *testing.T) {
	s := newService(func(context.Context, *entryrpc.ForwardArgs, time.Time, *entryrpc.ForwardReply) error {
		t.Error("the handler was called")
		return nil
	})
	id := entryrpc.CallID{Node: "e1", Number: 7}
	assert.NilError(t, s.Cancel(&entryrpc.CancelArgs{ID: id}, &entryrpc.CancelReply{}))
	assert.ErrorIs(t, s.Forward(&entryrpc.ForwardArgs{ID: id}, &entryrpc.ForwardReply{}), ErrCancelled)
}

func TestUnreachableNodeHasNotReceivedTheCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	_, err = newTestClient(t).Forward(t.Context(), listener.Addr().String(), &entryrpc.ForwardArgs{})
	assert.ErrorIs(t, err, wire.ErrNotSent)
}
