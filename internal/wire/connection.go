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

// errUnresponsive is the cause of a connection that was closed because a ping failed.
var errUnresponsive = errors.New("connection does not respond to pings")

// connection is one net/rpc connection to a peer.
type connection struct {
	address string
	rpc     *rpc.Client
	raw     net.Conn
	client  *Client

	// lastReceived is when data was last received, in Unix nanoseconds.
	lastReceived atomic.Int64
	// lastUsed is when a call last began or ended, in Unix nanoseconds.
	lastUsed atomic.Int64
	inFlight atomic.Int64

	// requests passes requests to writeRequests. It is unbuffered, so that a request
	// that was not taken has certainly not been sent.
	requests chan *request

	retired  chan struct{}
	retiring sync.Once
	closed   chan struct{}
	closing  sync.Once
	cause    error // set before closed is closed
}

func newConnection(address string, raw net.Conn, client *Client) *connection {
	c := &connection{
		address:  address,
		raw:      raw,
		client:   client,
		requests: make(chan *request),
		retired:  make(chan struct{}),
		closed:   make(chan struct{}),
	}
	now := time.Now().UnixNano()
	c.lastReceived.Store(now)
	c.lastUsed.Store(now)
	codec := &clientCodec{stream: newStream(&activityConn{raw, c}, MaxMessageBytes), onWriteError: c.close}
	c.rpc = rpc.NewClientWithCodec(codec)
	go c.writeRequests()
	return c
}

// activityConn records when data is received, and closes its connection when a read
// fails.
type activityConn struct {
	net.Conn
	owner *connection
}

// Read implements net.Conn.
func (a *activityConn) Read(p []byte) (int, error) {
	n, err := a.Conn.Read(p)
	if n > 0 {
		a.owner.lastReceived.Store(time.Now().UnixNano())
	}
	if err != nil {
		a.owner.close(err)
	}
	return n, err
}

// call makes one call. If it fails, the peer may have received the call unless the
// error wraps ErrNotSent.
func (c *connection) call(ctx context.Context, method string, args, reply any) error {
	request := &request{method: method, args: args, reply: newReply(reply), done: make(chan *rpc.Call, 1)}
	select {
	case c.requests <- request:
	case <-c.closed:
		return fmt.Errorf("%w: %w", ErrNotSent, c.cause)
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	select {
	case call := <-request.done:
		if call.Error != nil {
			return c.wrapError(request, call.Error)
		}
		copyReply(reply, request.reply)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeRequests sends requests one at a time until the connection is closed. While a
// write is blocked by a peer that doesn't read, it takes no further requests.
func (c *connection) writeRequests() {
	for {
		select {
		case request := <-c.requests:
			c.rpc.Go(request.method, request, request.reply, request.done)
		case <-c.closed:
			return
		}
	}
}

// wrapError adds ErrNotSent to the error of a call that was not sent, and the cause
// to one whose connection is closed. Errors that the peer replied with are unchanged.
func (c *connection) wrapError(request *request, err error) error {
	if isServerError(err) {
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

// begin counts a call as in flight until end is called.
func (c *connection) begin() {
	c.inFlight.Add(1)
	c.lastUsed.Store(time.Now().UnixNano())
}

func (c *connection) end() {
	c.lastUsed.Store(time.Now().UnixNano())
	c.inFlight.Add(-1)
}

// receivedSince reports whether data was received after t.
func (c *connection) receivedSince(t time.Time) bool {
	return c.lastReceived.Load() > t.UnixNano()
}

// idleFor reports whether no call has been in flight for at least d.
func (c *connection) idleFor(d time.Duration) bool {
	return c.inFlight.Load() == 0 && time.Now().UnixNano()-c.lastUsed.Load() >= int64(d)
}

// retire makes watch ping the connection at once, and close it after the calls in
// flight have ended.
func (c *connection) retire() {
	c.retiring.Do(func() { close(c.retired) })
}

// close closes the connection and fails the calls in flight with cause. Later calls of
// close have no effect.
func (c *connection) close(cause error) {
	c.closing.Do(func() {
		c.cause = cause
		close(c.closed)
		c.client.remove(c)
		_ = c.raw.Close()
	})
}

// newReply returns a pointer to a new value of the type that reply points to. A reply
// that arrives after its call has returned must not modify the caller's value.
func newReply(reply any) any {
	return reflect.New(reflect.TypeOf(reply).Elem()).Interface()
}

// copyReply sets the value that reply points to.
func copyReply(reply, received any) {
	reflect.ValueOf(reply).Elem().Set(reflect.ValueOf(received).Elem())
}
