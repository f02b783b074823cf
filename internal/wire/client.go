package wire

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"
)

// DialFunc opens a connection to a peer. Tests replace it to cut peers off.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// connectTimeout bounds one dial, a TLS handshake included: a few round trips
// between regions. A dial to a VM without power hangs, and must not hold up the
// one that is due when the VM is back.
const connectTimeout = 400 * time.Millisecond

// ErrNotSent marks a call that certainly did not reach the peer: no connection
// could be had, or the call was given up before its first byte was written.
var ErrNotSent = errors.New("call was not sent")

// ErrClosed is the cause of calls on a closed Client.
var ErrClosed = errors.New("client is closed")

// Client calls the net/rpc methods of peers by address. It keeps one
// connection for each peer and pings it while nothing arrives; a connection
// found silent is closed, and the next call dials a fresh one, since something
// between the two ends may have lost track of the old one. Nothing is held
// against the peer. A Client is safe for concurrent use.
type Client struct {
	dial      DialFunc
	keepAlive KeepAlive
	// life ends dials under way when the client is closed.
	life context.Context
	stop context.CancelFunc

	mu     sync.Mutex
	closed bool
	// peers holds the connection in use for each address.
	peers   map[string]*connection
	dialing map[string]*dialing
	// open holds the retired connections too.
	open map[*connection]struct{}
}

// ClientOption changes how a Client works.
type ClientOption func(*Client)

// WithKeepAlive sets how connections are watched.
func WithKeepAlive(keepAlive KeepAlive) ClientOption {
	return func(c *Client) { c.keepAlive = keepAlive }
}

// NewClient returns a client that opens connections with dial; nil means
// plain TCP.
func NewClient(dial DialFunc, options ...ClientOption) *Client {
	if dial == nil {
		dial = DialTCP
	}
	c := &Client{
		dial:      dial,
		keepAlive: DefaultKeepAlive(),
		peers:     map[string]*connection{},
		dialing:   map[string]*dialing{},
		open:      map[*connection]struct{}{},
	}
	c.life, c.stop = context.WithCancel(context.Background())
	for _, option := range options {
		option(c)
	}
	return c
}

// DialTCP opens a plain TCP connection.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// Call calls method of the peer at address and waits for the reply or for ctx.
// A field of args of type Envelope is filled from ctx. On an error reply is
// left as it was. The error wraps ErrNotSent when the peer certainly did not
// get the call, and ctx.Err() when ctx ended first.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	ctx, span := startClientSpan(ctx, method, address)
	err := c.call(ctx, address, method, withEnvelope(ctx, args), reply)
	endSpan(span, err)
	if err != nil {
		return fmt.Errorf("call %s at %s: %w", method, address, err)
	}
	return nil
}

// Ping reports whether the peer at address answers.
func (c *Client) Ping(ctx context.Context, address string) error {
	return c.Call(ctx, address, MethodPing, &PingArgs{}, &PingReply{})
}

func (c *Client) call(ctx context.Context, address, method string, args, reply any) error {
	conn, err := c.connection(ctx, address)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	defer conn.end()
	begin := time.Now()
	err = conn.call(ctx, method, args, reply)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		callsTimedOut.Add(1)
		if !conn.heardSince(begin) {
			c.retire(conn)
		}
	}
	return err
}

// Close closes every connection. Calls after it fail with ErrClosed.
func (c *Client) Close() {
	c.stop()
	c.mu.Lock()
	c.closed = true
	open := slices.Collect(maps.Keys(c.open))
	c.mu.Unlock()
	for _, conn := range open {
		conn.close(ErrClosed)
	}
}

// dialing is a dial under way, shared by the calls that wait for it.
type dialing struct {
	done chan struct{}
	conn *connection
	err  error
}

// connection returns the connection to address, dialled if need be. It counts
// a call as begun; the caller ends it.
func (c *Client) connection(ctx context.Context, address string) (*connection, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, ErrClosed
	}
	if conn := c.peers[address]; conn != nil {
		conn.begin()
		c.mu.Unlock()
		return conn, nil
	}
	dial := c.dialing[address]
	if dial == nil {
		dial = &dialing{done: make(chan struct{})}
		c.dialing[address] = dial
		go c.connect(address, dial)
	}
	c.mu.Unlock()
	select {
	case <-dial.done:
		if dial.err == nil {
			dial.conn.begin()
		}
		return dial.conn, dial.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connect dials for all calls that wait, so no single call's context ends it.
func (c *Client) connect(address string, dial *dialing) {
	ctx, cancel := context.WithTimeout(c.life, connectTimeout)
	raw, err := c.dial(ctx, address)
	cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.dialing, address)
	switch {
	case err != nil:
		dial.err = err
	case c.closed:
		_ = raw.Close()
		dial.err = ErrClosed
	default:
		dial.conn = newConnection(address, raw, c)
		c.peers[address] = dial.conn
		c.open[dial.conn] = struct{}{}
		connectionsOpened.Add(1)
		go dial.conn.watch(c.keepAlive)
	}
	close(dial.done)
}

// forget makes the next call dial, when conn is still the one in use.
func (c *Client) forget(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers[conn.address] == conn {
		delete(c.peers, conn.address)
	}
}

// remove is forget for a connection that is closed.
func (c *Client) remove(conn *connection) {
	c.forget(conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// retire makes the next call dial. Calls in flight may still finish on conn,
// unless a ping shows that it is silent.
func (c *Client) retire(conn *connection) {
	c.forget(conn)
	conn.retire()
}

// isRemote reports whether err is the answer of the peer's own method.
func isRemote(err error) bool {
	var remote rpc.ServerError
	return errors.As(err, &remote)
}
