package main

import (
	"io"
	"net"
	"sync"
)

// link is a proxy of our own between searchers and one address. While it is cut, it holds
// up what is sent; when the cut heals, it delivers that.
type link struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	healed chan struct{} // closed unless the link is cut
}

func newLink(ip, target string) (*link, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, healed: make(chan struct{})}
	close(l.healed)
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healed = make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.healed)
}

func (l *link) waitHealed() {
	l.mu.Lock()
	healed := l.healed
	l.mu.Unlock()
	<-healed
}

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.carry(near)
	}
}

func (l *link) carry(near net.Conn) {
	defer near.Close()
	l.waitHealed()
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer far.Close()
	go func() {
		_, _ = io.Copy(near, far)
		_ = near.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(far, near)
	_ = far.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, far)
}
