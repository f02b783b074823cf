package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// DialFunc opens a connection to a peer. Tests replace it to cut peers off.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// connectTimeout bounds one dial.
const connectTimeout = time.Second

// ErrNotSent marks a call that certainly did not reach the peer: no connection
// could be had.
var ErrNotSent = errors.New("call was not sent")

// Client calls the net/rpc methods of peers by address. It keeps one
// connection for each peer. A call that times out condemns its connection: the
// next call dials a fresh one, since something between the two ends may have
// lost track of the old one. A Client is safe for concurrent use.
type Client struct {
	dial DialFunc

	mu    sync.Mutex
	peers map[string]*rpc.Client
}

// NewClient returns a client that opens connections with dial; nil means
// plain TCP.
func NewClient(dial DialFunc) *Client {
	if dial == nil {
		dial = DialTCP
	}
	return &Client{dial: dial, peers: map[string]*rpc.Client{}}
}

// DialTCP opens a plain TCP connection.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// Call calls method of the peer at address and waits for the reply or for ctx.
// The error wraps ErrNotSent when the peer certainly did not get the call, and
// is ctx.Err() when ctx ended first.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	conn, err := c.connection(ctx, address)
	if err != nil {
		return fmt.Errorf("call %s at %s: %w: %w", method, address, ErrNotSent, err)
	}
	call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.finish(address, method, conn, call.Error)
	case <-ctx.Done():
		c.condemn(address, conn)
		return fmt.Errorf("call %s at %s: %w", method, address, ctx.Err())
	}
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.peers {
		_ = conn.Close()
		delete(c.peers, address)
	}
}

func (c *Client) finish(address, method string, conn *rpc.Client, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if !errors.As(err, &remote) {
		c.condemn(address, conn)
	}
	if errors.Is(err, rpc.ErrShutdown) {
		return fmt.Errorf("call %s at %s: %w", method, address, err)
	}
	return fmt.Errorf("call %s at %s: %w", method, address, err)
}

func (c *Client) connection(ctx context.Context, address string) (*rpc.Client, error) {
	c.mu.Lock()
	conn := c.peers[address]
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	fresh := rpc.NewClient(raw)
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn = c.peers[address]; conn != nil {
		_ = fresh.Close()
		return conn, nil
	}
	c.peers[address] = fresh
	return fresh, nil
}

func (c *Client) condemn(address string, conn *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers[address] == conn {
		delete(c.peers, address)
	}
	_ = conn.Close()
}
