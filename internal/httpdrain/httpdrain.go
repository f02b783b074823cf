// Package httpdrain stops an HTTP server without cutting off requests that have
// reached it. http.Server.Shutdown closes a kept-alive connection as long as the server
// has not parsed the whole head of its next request, although some or all of it may have
// arrived.
package httpdrain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"wigeonbay/internal/socket"
)

const (
	// checkInterval is the time between two searches for connections to close.
	checkInterval = 10 * time.Millisecond
	// firstRequestTime is how long after it was accepted a connection may wait for its
	// first request before it counts as unused, and nextRequestTime how long after a
	// response. A caller that sends sooner learns of the shutdown from its response; one
	// whose connection is closed may have a request on its way.
	firstRequestTime = time.Second
	nextRequestTime  = 250 * time.Millisecond
)

// Server is an HTTP server whose Shutdown answers each request that has begun to arrive.
type Server struct {
	http     *http.Server
	listener net.Listener
	// accepted is closed once no further connection is accepted.
	accepted chan struct{}

	bounds *Bounds

	mu          sync.Mutex
	connections map[*connection]struct{}
}

// Serve serves HTTP on a listener in a goroutine and calls done when that has ended. The
// server must not have been used before. Its handler should answer with "Connection: close"
// once a shutdown is near, so that callers close their connections themselves. The bounds may be
// nil.
func Serve(server *http.Server, listener net.Listener, bounds *Bounds, done func()) *Server {
	s := &Server{
		http: server, listener: listener, bounds: bounds, accepted: make(chan struct{}), connections: map[*connection]struct{}{},
	}
	server.ConnState = s.connectionChanged
	go func() {
		defer done()
		defer close(s.accepted)
		// The error is always that the listener was closed, by Shutdown or Close.
		_ = server.Serve(trackingListener{Listener: listener, bounds: bounds, server: s})
	}()
	return s
}

// Shutdown stops accepting connections, waits until each request of which any byte has
// arrived is answered, and closes the connections as they become unused. It returns the
// error of ctx if that ends first; the connections left are then closed. Another error means
// that connections waiting to be accepted may have been reset.
func (s *Server) Shutdown(ctx context.Context) error {
	// Closing the listener would reset the connections that the kernel holds for it, although
	// their requests may have arrived.
	return errors.Join(socket.AwaitAccepted(ctx, s.listener), s.shutdown(ctx))
}

func (s *Server) shutdown(ctx context.Context) error {
	_ = s.listener.Close()
	// A connection may have been accepted just before, and not be counted yet. Besides, the
	// HTTP server would close the listener again while it still accepts.
	select {
	case <-s.accepted:
	case <-ctx.Done():
		return errors.Join(ctx.Err(), s.http.Close())
	}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for s.expireUnused() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Join(ctx.Err(), s.http.Close())
		}
	}
	return s.http.Shutdown(ctx)
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// expireUnused makes the server close its unused connections and returns the number of
// open ones.
func (s *Server) expireUnused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.expireIfUnused()
	}
	return len(s.connections)
}

func (s *Server) connectionChanged(netConn net.Conn, state http.ConnState) {
	c, tracked := netConn.(*connection)
	if !tracked {
		return
	}
	c.stateChanged(state)
	if state == http.StateClosed || state == http.StateHijacked {
		s.mu.Lock()
		delete(s.connections, c)
		s.mu.Unlock()
	}
}

// trackingListener tracks the connections of a server, which may be nil, and of bounds, which may
// be nil as well.
type trackingListener struct {
	net.Listener
	bounds *Bounds
	server *Server
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	for {
		netConn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := &connection{Conn: netConn, bounds: l.bounds, quietSince: now, phaseSince: now}
		if l.bounds != nil && !l.bounds.add(c) {
			_ = netConn.Close()
			continue
		}
		if l.server != nil {
			l.server.mu.Lock()
			l.server.connections[c] = struct{}{}
			l.server.mu.Unlock()
		}
		return c, nil
	}
}

// connection is a caller's connection.
type connection struct {
	net.Conn
	bounds *Bounds

	mu sync.Mutex
	// quietSince is when the connection was accepted or last written to.
	quietSince time.Time
	// active is set from when the server has parsed the head of a request until it
	// waits for the next one.
	active bool
	// readLast is set while bytes were read after the last write. They belong to a
	// request that is not answered: the server reads ahead while it writes a response.
	readLast bool
	// used is set once anything has been read. expired is set while a read that
	// expireIfUnused has ended may still have to go on.
	used    bool
	expired bool

	// phase is what the connection does since phaseSince; inHead is set while the server
	// reads the head of a request, served once it has answered one.
	phase      phase
	phaseSince time.Time
	inHead     bool
	served     bool
	// blocked is set while a read for the next bytes of a request, or a write, is in progress.
	blocked bool
	// charge is what the connection is taken to make the process hold; tail is the part of it
	// for bytes that may be of the next request.
	charge, tail int64
	// doomed is set once bounds have ended what the connection waits for, removed once it is
	// closed.
	doomed, removed bool
}

// Read implements net.Conn. Bytes that arrived before an expiry are still read.
func (c *connection) Read(p []byte) (int, error) {
	// The server waits for a single byte while a handler works, to learn when the client
	// disconnects.
	inBackground := len(p) == 1
	c.mu.Lock()
	if c.doomed {
		c.mu.Unlock()
		return 0, errClosedForOthers
	}
	if inBackground {
		if c.phase == receiving && !c.inHead {
			c.enter(working)
		}
	} else {
		if c.phase == writing {
			// A body is read after the response to Expect: 100-continue, or what is left of
			// it after the whole response.
			c.enter(receiving)
		}
		c.blocked = true
	}
	c.mu.Unlock()
	for {
		n, err := c.Conn.Read(p)
		c.mu.Lock()
		over := false
		if n > 0 {
			c.readLast, c.used = true, true
			if !inBackground {
				over = c.received(p[:n])
			}
		}
		retry := n == 0 && c.expired && !c.doomed && errors.Is(err, os.ErrDeadlineExceeded) && socket.HasInput(c.Conn)
		if retry {
			c.expired = false
			err = c.Conn.SetReadDeadline(time.Time{})
		}
		if over {
			// This connection still counts as waiting for its client, so that it may
			// be closed itself.
			large := c.large()
			c.mu.Unlock()
			c.bounds.shed(large)
			c.mu.Lock()
		}
		if retry && err == nil {
			c.mu.Unlock()
			continue
		}
		if !inBackground {
			c.blocked = false
			if c.doomed {
				n, err = 0, errClosedForOthers
			}
		}
		c.mu.Unlock()
		return n, err
	}
}

// expireIfUnused ends the server's read of the next request if nothing of it has been
// read for long enough, whereupon the server closes the connection.
func (c *connection) expireIfUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	quietTime := firstRequestTime
	if c.used {
		quietTime = nextRequestTime
	}
	if c.active || c.readLast || time.Since(c.quietSince) < quietTime {
		return
	}
	c.expired = true
	// An error means that the connection is closed already.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Write implements net.Conn.
func (c *connection) Write(p []byte) (int, error) {
	// The server's own buffer is part of what each connection is charged.
	var charge int64
	if len(p) > bufferBytes {
		charge = int64(len(p))
	}
	c.mu.Lock()
	now := time.Now()
	c.readLast, c.quietSince = false, now
	if c.phase != writing {
		c.phase, c.phaseSince = writing, now
	}
	wasBlocked := c.blocked
	c.blocked = true
	over := charge > 0 && c.addCharge(charge)
	large := c.large()
	c.mu.Unlock()
	if over {
		c.bounds.shed(large)
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.blocked = wasBlocked
	if charge > 0 {
		c.addCharge(-charge)
	}
	c.mu.Unlock()
	return n, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	err := c.Conn.Close()
	if c.bounds != nil {
		c.bounds.remove(c)
	}
	return err
}

// SetReadDeadline implements net.Conn. It doesn't revive a connection that is being closed.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doomed {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn like SetReadDeadline.
func (c *connection) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doomed {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn like SetReadDeadline.
func (c *connection) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doomed {
		return nil
	}
	return c.Conn.SetDeadline(t)
}

// SyscallConn implements syscall.Conn if the underlying connection does.
func (c *connection) SyscallConn() (syscall.RawConn, error) {
	withSyscall, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return withSyscall.SyscallConn()
}
