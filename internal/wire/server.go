package wire

import (
	"fmt"
	"net"
	"net/rpc"
	"sync"
)

// Server serves net/rpc methods on one listener.
type Server struct {
	rpc *rpc.Server

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	closed   bool
	running  sync.WaitGroup
}

// NewServer returns a server without methods.
func NewServer() *Server {
	return &Server{rpc: rpc.NewServer(), conns: map[net.Conn]struct{}{}}
}

// Register offers the exported methods of receiver under name.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("register %s: %w", name, err)
	}
	return nil
}

// Serve accepts connections from listener until Close. It returns at once.
func (s *Server) Serve(listener net.Listener) {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	s.running.Add(1)
	go s.accept(listener)
}

// Close stops accepting, closes the connections and waits for their readers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

func (s *Server) accept(listener net.Listener) {
	defer s.running.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
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
	s.rpc.ServeConn(conn)
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}
