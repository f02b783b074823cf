package wire

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"wigeonbay/internal/socket"
)

// Timeouts limits how long a server waits on a connection.
type Timeouts struct {
	// Idle is how long to wait for the first byte of a call. The ping interval of clients is
	// well below it.
	Idle time.Duration
	// Read is how long it may take to receive one call after its first byte, and
	// to complete a TLS handshake.
	Read time.Duration
}

// DefaultTimeouts returns the timeouts of a server without WithTimeouts.
func DefaultTimeouts() Timeouts {
	return Timeouts{Idle: 30 * time.Second, Read: 5 * time.Second}
}

// acceptRetryDelay is the delay after a failed accept, for example for lack of file
// descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// Server serves net/rpc methods on one listener.
type Server struct {
	rpc      *rpc.Server
	timeouts Timeouts
	limit    int

	mu       sync.Mutex
	listener net.Listener
	// conns holds the open connections and when they were accepted.
	conns   map[net.Conn]time.Time
	closed  bool
	running sync.WaitGroup
	// accepted is closed when no further connection will be accepted.
	accepted chan struct{}
	// calls counts the calls of which the first byte has arrived and that are not replied to.
	calls atomic.Int64
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithTimeouts sets how long the server waits on a connection.
func WithTimeouts(timeouts Timeouts) ServerOption {
	return func(s *Server) { s.timeouts = timeouts }
}

// NewServer returns a server whose only method is MethodPing.
func NewServer(options ...ServerOption) *Server {
	s := &Server{
		rpc:      rpc.NewServer(),
		timeouts: DefaultTimeouts(),
		limit:    MaxMessageBytes,
		conns:    map[net.Conn]time.Time{},
		accepted: make(chan struct{}),
	}
	for _, option := range options {
		option(s)
	}
	if err := s.Register("Wire", pinger{}); err != nil {
		panic(fmt.Sprintf("wire: %v", err))
	}
	return s
}

// Listen listens on address, with mutual TLS unless config is nil.
func Listen(address string, config *tls.Config) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil || config == nil {
		return listener, err
	}
	return newTLSListener(listener, config), nil
}

// Register registers the exported methods of receiver under name.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("register %s: %w", name, err)
	}
	return nil
}

// Serve starts to accept connections from listener and returns. Close ends it.
func (s *Server) Serve(listener net.Listener) {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	s.running.Add(1)
	go s.accept(listener)
}

// Shutdown stops accepting connections, goes on serving calls on the open ones until none is
// in progress or ctx ends, and then closes the server. Its methods should refuse new calls,
// as callers that don't stop calling delay it. An error means that connections waiting to be
// accepted may have been reset.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	// A call that has arrived is replied to even if its connection is not accepted yet.
	err := socket.AwaitAccepted(ctx, listener)
	if listener != nil {
		_ = listener.Close()
		// A connection may have been accepted just before, and not be counted yet.
		select {
		case <-s.accepted:
		case <-ctx.Done():
		}
	}
	ticker := time.NewTicker(shutdownCheckInterval)
	defer ticker.Stop()
	for quietChecks := 0; quietChecks < requiredQuietChecks && ctx.Err() == nil; {
		quietChecks++
		if s.inUse() {
			quietChecks = 0
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	s.Close()
	return err
}

const (
	// shutdownCheckInterval is the time between two checks for calls in progress.
	shutdownCheckInterval = 10 * time.Millisecond
	// requiredQuietChecks is how many checks in a row must find no call. One alone may fall
	// between the read of a call's first byte and its counting.
	requiredQuietChecks = 2
	// firstCallTime is how long after it was accepted a connection may wait for its handshake
	// and its first call, for which its client has made it.
	firstCallTime = time.Second
)

// inUse reports whether calls are in progress, wait to be read, or are about to come on new
// connections.
func (s *Server) inUse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, accepted := range s.conns {
		if time.Since(accepted) < firstCallTime {
			return true
		}
		if secure, ok := conn.(*tls.Conn); ok {
			conn = secure.NetConn()
		}
		if socket.HasInput(conn) {
			return true
		}
	}
	return s.calls.Load() > 0
}

func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// Close stops accepting, closes all connections and waits until the calls in progress
// have returned.
func (s *Server) Close() {
	s.stopAccepting()
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

func (s *Server) accept(listener net.Listener) {
	defer s.running.Done()
	defer close(s.accepted)
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.track(conn) {
			_ = conn.Close()
			return
		}
		s.running.Add(1)
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.running.Done()
	defer s.untrack(conn)
	if err := s.handshake(conn); err != nil {
		_ = conn.Close()
		return
	}
	s.rpc.ServeCodec(newServerCodec(conn, s.timeouts, s.limit, &s.calls))
}

// handshake completes a TLS handshake within the Read timeout. Otherwise the first
// read would do it, under the longer Idle timeout.
func (s *Server) handshake(conn net.Conn) error {
	secure, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.timeouts.Read)
	defer cancel()
	return secure.HandshakeContext(ctx)
}

// track registers an open connection. It returns false if the server is closed.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = time.Now()
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}
