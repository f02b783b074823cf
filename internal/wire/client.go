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

// DialFunc opens a connection to a peer. Tests replace it to inject network failures.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// connectTimeout bounds one dial, including a TLS handshake. It allows for a few
// round trips between regions. A dial to a VM that has lost power gets no answer,
// and must not delay the next dial, which may succeed because the VM is back.
const connectTimeout = 400 * time.Millisecond

// ErrNotSent reports that the peer has certainly not received the call: no
// connection could be established, or the call was abandoned before its first byte
// was written.
var ErrNotSent = errors.New("call was not sent")

// ErrClosed reports that the Client, or an unused connection of it, is closed.
var ErrClosed = errors.New("client is closed")

// Client calls the net/rpc methods of peers by address. It keeps one connection for
// each peer and pings it while no data is received. A connection that doesn't respond
// is closed and the next call dials a new one, since a relay or load balancer between
// the two ends may have lost its state for the old one. There is no backoff: a failure
// doesn't delay later calls to the peer. A Client is safe for concurrent use.
type Client struct {
	dial      DialFunc
	keepAlive KeepAlive
	// dialCtx is cancelled when the client is closed, which ends pending dials.
	dialCtx     context.Context
	cancelDials context.CancelFunc

	mu     sync.Mutex
	closed bool
	// peers holds the connection in use for each address.
	peers   map[string]*connection
	dialing map[string]*dialing
	// open holds all open connections, including the retired ones.
	open map[*connection]struct{}
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithKeepAlive sets how connections are monitored; the default is DefaultKeepAlive.
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
	c.dialCtx, c.cancelDials = context.WithCancel(context.Background())
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
// If args is a struct with an Envelope, or points to one, the envelope of the sent
// copy is filled from ctx. On an error reply is unchanged. The error wraps
// ErrNotSent if the peer has certainly not received the call, and ctx.Err() if ctx
// ended first.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	ctx, span := startClientSpan(ctx, method, address)
	err := c.call(ctx, address, method, withEnvelope(ctx, args), reply)
	endSpan(span, err)
	if err != nil {
		return fmt.Errorf("call %s at %s: %w", method, address, err)
	}
	return nil
}

// Ping returns nil if the peer at address answers.
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
		if !conn.receivedSince(begin) {
			c.retire(conn)
		}
	}
	return err
}

// Close closes all connections. Later calls fail with ErrClosed.
func (c *Client) Close() {
	c.cancelDials()
	c.mu.Lock()
	c.closed = true
	open := slices.Collect(maps.Keys(c.open))
	c.mu.Unlock()
	for _, conn := range open {
		conn.close(ErrClosed)
	}
}

// dialing is a pending dial, shared by all calls that wait for it.
type dialing struct {
	done chan struct{}
	conn *connection
	err  error
}

// connection returns the connection to address, and dials if there is none. It counts
// a call as in flight; the caller must call end on the connection.
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

// connect dials address for all calls that wait for it. It therefore doesn't use the
// context of any single call.
func (c *Client) connect(address string, dial *dialing) {
	ctx, cancel := context.WithTimeout(c.dialCtx, connectTimeout)
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

// detach makes the next call dial a new connection, unless conn has been replaced
// already.
func (c *Client) detach(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers[conn.address] == conn {
		delete(c.peers, conn.address)
	}
}

// remove detaches a connection that is closed and drops it from the open ones.
func (c *Client) remove(conn *connection) {
	c.detach(conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// retire makes the next call dial a new connection. Calls in flight may finish on
// conn unless it fails to answer a ping.
func (c *Client) retire(conn *connection) {
	c.detach(conn)
	conn.retire()
}

// isServerError reports whether err is an error that the peer replied with.
func isServerError(err error) bool {
	var remote rpc.ServerError
	return errors.As(err, &remote)
}
