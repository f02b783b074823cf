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

	// sends hands requests to the writer, without a buffer.
	sends chan *request

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
		sends:   make(chan *request),
		retired: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	now := time.Now().UnixNano()
	c.lastHeard.Store(now)
	c.lastUsed.Store(now)
	codec := &clientCodec{stream: newStream(&heardConn{raw, c}, MaxMessageBytes), failed: c.close}
	c.rpc = rpc.NewClientWithCodec(codec)
	go c.write()
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
	request := &request{method: method, args: args, reply: newLike(reply), done: make(chan *rpc.Call, 1)}
	select {
	case c.sends <- request:
	case <-c.closed:
		return fmt.Errorf("%w: %w", ErrNotSent, c.cause)
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	select {
	case call := <-request.done:
		if call.Error != nil {
			return c.explain(request, call.Error)
		}
		copyTo(reply, request.reply)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// write sends requests one by one. A request that the writer has not taken has
// certainly not been sent: the writer may be blocked by a peer that doesn't
// read.
func (c *connection) write() {
	for {
		select {
		case request := <-c.sends:
			c.rpc.Go(request.method, request, request.reply, request.done)
		case <-c.closed:
			return
		}
	}
}

// explain adds to the error of a call what is known of its fate.
func (c *connection) explain(request *request, err error) error {
	if isRemote(err) {
		return err
	}
	if request.abandon() {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
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
