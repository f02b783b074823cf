package wire

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// pausedListener and its connections give the server nothing until they are resumed, like a
// process that is paused or gets no processor.
type pausedListener struct {
	*net.TCPListener
	// acceptPaused delays Accept as well; otherwise only reads are delayed.
	acceptPaused    bool
	resumed, closed chan struct{}
	once            sync.Once
}

func newPausedListener(t *testing.T, acceptPaused bool) *pausedListener {
	plain, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	return &pausedListener{TCPListener: plain, acceptPaused: acceptPaused, resumed: make(chan struct{}), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *pausedListener) Accept() (net.Conn, error) {
	if l.acceptPaused {
		select {
		case <-l.resumed:
		case <-l.closed:
		}
	}
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return pausedConn{conn, l.resumed}, nil
}

// Close implements net.Listener.
func (l *pausedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}

type pausedConn struct {
	*net.TCPConn
	resumed chan struct{}
}

// Read implements net.Conn.
func (c pausedConn) Read(p []byte) (int, error) {
	<-c.resumed
	return c.TCPConn.Read(p)
}

// TestShutdownRepliesToCallsThatHaveArrived begins a shutdown when the kernel holds a call
// that the server hasn't read, on a connection that it has accepted or not. Guards against
// closing the listener or the connections before, which loses the call.
//
// fault: kill x drain
func TestShutdownRepliesToCallsThatHaveArrived(t *testing.T) {
	issue := newAuthority(t)
	server, other := issue("127.0.0.1"), issue("127.0.0.1")
	secure, err := LoadSecurity(server.certificate, server.key, server.authority)
	assert.NilError(t, err)
	clientConfig, err := LoadClientTLS(other.certificate, other.key, other.authority)
	assert.NilError(t, err)
	for _, tc := range []struct {
		name         string
		acceptPaused bool
		security     Security
		dial         DialFunc
	}{
		{"not accepted", true, Security{}, DialTCP},
		{"not read", false, Security{}, DialTCP},
		{"not accepted, TLS", true, secure, DialTLS(clientConfig)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			listener := newPausedListener(t, tc.acceptPaused)
			s := NewServer()
			assert.NilError(t, s.Register("Echo", &echo{}))
			s.Serve(tc.security.Wrap(listener))
			defer s.Close()
			client := NewClient(tc.dial)
			defer client.Close()
			called := make(chan error, 1)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			go func() {
				called <- client.Call(ctx, listener.Addr().String(), "Echo.Say", &Args{}, &Reply{})
			}()
			s.awaitConnection(t, listener)
			stopped := make(chan error, 1)
			go func() { stopped <- s.Shutdown(ctx) }()
			time.Sleep(5 * shutdownCheckInterval)
			close(listener.resumed)
			assert.NilError(t, <-called)
			assert.NilError(t, <-stopped)
		})
	}
}

// awaitConnection waits until a connection has been made and, if it is accepted, used.
func (s *Server) awaitConnection(t *testing.T, listener *pausedListener) {
	t.Helper()
	if listener.acceptPaused {
		time.Sleep(50 * time.Millisecond)
		return
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.conns) == 0 {
			return poll.Continue("no connection")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	time.Sleep(50 * time.Millisecond)
}
