package socket

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func connect(t *testing.T, listener net.Listener) net.Conn {
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func listen(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func TestAwaitAccepted(t *testing.T) {
	listener := listen(t)
	assert.NilError(t, AwaitAccepted(t.Context(), listener))
	const connections = 3
	for range connections {
		connect(t, listener)
	}
	done := make(chan error, 1)
	go func() { done <- AwaitAccepted(t.Context(), listener) }()
	for range connections {
		time.Sleep(2 * checkInterval)
		assert.Equal(t, len(done), 0)
		conn, err := listener.Accept()
		assert.NilError(t, err)
		assert.NilError(t, conn.Close())
	}
	assert.NilError(t, <-done)
}

func TestAwaitAcceptedEndsWithItsContext(t *testing.T) {
	listener := listen(t)
	connect(t, listener)
	ctx, cancel := context.WithTimeout(t.Context(), 2*checkInterval)
	defer cancel()
	assert.NilError(t, AwaitAccepted(ctx, listener))
	assert.ErrorIs(t, ctx.Err(), context.DeadlineExceeded)
}

func TestAwaitAcceptedOfClosedListener(t *testing.T) {
	listener := listen(t)
	assert.NilError(t, listener.Close())
	assert.ErrorContains(t, AwaitAccepted(t.Context(), listener), "look for connections to accept")
}

// hidden gives no access to the socket of a listener.
type hidden struct{ net.Listener }

func TestAwaitAcceptedWithoutAccess(t *testing.T) {
	listener := listen(t)
	connect(t, listener)
	assert.NilError(t, AwaitAccepted(t.Context(), hidden{listener}))
}

func TestHasInput(t *testing.T) {
	listener := listen(t)
	sender := connect(t, listener)
	receiver, err := listener.Accept()
	assert.NilError(t, err)
	defer receiver.Close()
	assert.Assert(t, !HasInput(receiver))
	_, err = io.WriteString(sender, "x")
	assert.NilError(t, err)
	await := func(want bool) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if HasInput(receiver) != want {
				return poll.Continue("input: %t", !want)
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond))
	}
	await(true)
	_, err = receiver.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.Assert(t, !HasInput(receiver))
	assert.NilError(t, sender.Close())
	time.Sleep(2 * checkInterval)
	assert.Assert(t, !HasInput(receiver), "the end of the stream is no input")
	one, other := net.Pipe()
	defer one.Close()
	defer other.Close()
	assert.Assert(t, !HasInput(one))
}
