package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"
)

// errSilent is the cause of a connection closed for its silence.
var errSilent = errors.New("connection is silent")

// connection is one net/rpc connection to a peer.
type connection struct {
	address string
	rpc     *rpc.Client
	raw     net.Conn
	client  *Client

	// lastHeard is when a byte last arrived, in Unix nanoseconds.
	lastHeard atomic.Int64
	// lastUsed is when a call last began or ended, in Unix nanoseconds.
	lastUsed atomic.Int64
	inFlight atomic.Int64

	retired  chan struct{}
	retiring sync.Once
	closed   chan struct{}
	closing  sync.Once
	cause    error // set before closed is closed
}

func newConnection(address string, raw net.Conn, client *Client) *connection {
	c := &connection{
		address: address,
		raw:     raw,
		client:  client,
		retired: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	now := time.Now().UnixNano()
	c.lastHeard.Store(now)
	c.lastUsed.Store(now)
	codec := &clientCodec{stream: newStream(&heardConn{raw, c}, MaxMessageBytes), failed: c.close}
	c.rpc = rpc.NewClientWithCodec(codec)
	return c
}

// heardConn notes when bytes arrive, and when reading fails.
type heardConn struct {
	net.Conn
	owner *connection
}

// Read implements net.Conn.
func (h *heardConn) Read(p []byte) (int, error) {
	n, err := h.Conn.Read(p)
	if n > 0 {
		h.owner.lastHeard.Store(time.Now().UnixNano())
	}
	if err != nil {
		h.owner.close(err)
	}
	return n, err
}

// call makes one call. The peer may have got it unless the error wraps
// ErrNotSent.
func (c *connection) call(ctx context.Context, method string, args, reply any) error {
	sent := &request{args: args}
	received := newLike(reply)
	done := make(chan *rpc.Call, 1)
	// Go writes before it returns, which can block on a silent connection.
	go c.rpc.Go(method, sent, received, done)
	select {
	case call := <-done:
		if call.Error == nil {
			copyTo(reply, received)
			return nil
		}
		return c.explain(sent, call.Error)
	case <-ctx.Done():
		return c.explain(sent, ctx.Err())
	}
}

// explain adds to the error of a call what is known of its fate.
func (c *connection) explain(sent *request, err error) error {
	if isRemote(err) {
		return err
	}
	if sent.abandon() {
		err = fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	select {
	case <-c.closed:
		return fmt.Errorf("%w: %w", err, c.cause)
	default:
		return err
	}
}

func (c *connection) begin() {
	c.inFlight.Add(1)
	c.lastUsed.Store(time.Now().UnixNano())
}

func (c *connection) end() {
	c.lastUsed.Store(time.Now().UnixNano())
	c.inFlight.Add(-1)
}

// heardSince reports whether a byte has arrived after t.
func (c *connection) heardSince(t time.Time) bool {
	return c.lastHeard.Load() > t.UnixNano()
}

// idleFor reports whether no call is in flight and none was for d.
func (c *connection) idleFor(d time.Duration) bool {
	return c.inFlight.Load() == 0 && time.Now().UnixNano()-c.lastUsed.Load() >= int64(d)
}

// retire has the connection pinged at once, and closed when its calls in
// flight have ended.
func (c *connection) retire() {
	c.retiring.Do(func() { close(c.retired) })
}

// close closes the connection for good and fails the calls in flight.
func (c *connection) close(cause error) {
	c.closing.Do(func() {
		c.cause = cause
		close(c.closed)
		c.client.remove(c)
		_ = c.raw.Close()
	})
}

// newLike returns a pointer to a new value of what reply points to. A reply
// that arrives after its call was given up must not write into the caller's.
func newLike(reply any) any {
	return reflect.New(reflect.TypeOf(reply).Elem()).Interface()
}

func copyTo(reply, received any) {
	reflect.ValueOf(reply).Elem().Set(reflect.ValueOf(received).Elem())
}
