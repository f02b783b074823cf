// Package pool keeps an entry node's connections to targets: no more than the
// budget of each target, opened ahead of need, and checked while idle. A
// connection that stays silent is closed and replaced; that says nothing
// about its target.
package pool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// maxReplyBytes bounds the body of a target's reply.
const maxReplyBytes = 64 << 20

// errUsedUp is returned when a connection's transport asks for a second
// connection: the first one is closed.
var errUsedUp = errors.New("the connection is closed")

// conn is one connection to a target, with an HTTP transport of its own so
// that a request goes over just this connection.
type conn struct {
	raw       net.Conn
	transport *http.Transport
	written   atomic.Int64
	taken     atomic.Bool
	// proven tells that the target has answered on this connection.
	proven   bool
	lastUsed time.Time
}

// countingConn counts the bytes written, as proof that nothing was sent.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

func newConn(raw net.Conn) *conn {
	c := &conn{raw: raw, lastUsed: time.Now()}
	c.transport = &http.Transport{
		DialContext:        c.dialOnce,
		MaxConnsPerHost:    1,
		DisableCompression: true,
	}
	return c
}

// dialOnce hands out the one connection. net/http repeats some requests on a
// fresh connection by itself; without this rule a non-idempotent request
// could reach the target twice.
func (c *conn) dialOnce(context.Context, string, string) (net.Conn, error) {
	if c.taken.Swap(true) {
		return nil, errUsedUp
	}
	return countingConn{Conn: c.raw, written: &c.written}, nil
}

// roundTrip sends one request and reads the whole reply. sent tells whether
// any byte of the request may have left.
func (c *conn) roundTrip(req *http.Request) (reply Reply, sent bool, err error) {
	before := c.written.Load()
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		// The connection is closed before the bytes are counted: a write that
		// starts later fails, so a count that hasn't moved proves that nothing
		// left.
		c.close()
		return Reply{}, c.written.Load() > before, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes+1))
	if err != nil {
		return Reply{}, true, err
	}
	if len(body) > maxReplyBytes {
		return Reply{}, true, fmt.Errorf("reply is larger than %d bytes", maxReplyBytes)
	}
	c.proven = true
	c.lastUsed = time.Now()
	return Reply{Status: res.StatusCode, Header: res.Header, Body: body}, true, nil
}

// close closes the connection.
func (c *conn) close() {
	c.transport.CloseIdleConnections()
	_ = c.raw.Close()
}
