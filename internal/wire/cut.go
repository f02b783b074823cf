package wire

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// Cut says what a CutDialer does to an address.
type Cut string

// Values of Cut.
const (
	// CutNone lets everything through.
	CutNone Cut = ""
	// CutRefuse fails dials and breaks off existing connections.
	CutRefuse Cut = "refuse"
	// CutSilent lets dials time out, and has existing connections go silent
	// for good: what is written is lost and nothing arrives any more.
	CutSilent Cut = "silent"
	// CutSilentOld is CutSilent for existing connections alone; new ones work.
	CutSilentOld Cut = "silent-old"
)

// CutFunc tells how an address is cut off at the moment. It must be safe for
// concurrent use.
type CutFunc func(address string) Cut

// cutPoll is how often existing connections look for a cut.
const cutPoll = 20 * time.Millisecond

var errCut = errors.New("address is cut off")

// CutDialer wraps dial so that cut can take addresses off the network. It is
// for tests of failures, and the processes use it only when their settings
// name a file of cuts. Since a process cuts only what it dials itself, a cut
// both ways takes two processes.
func CutDialer(dial DialFunc, cut CutFunc) DialFunc {
	if dial == nil {
		dial = DialTCP
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		switch cut(address) {
		case CutRefuse:
			return nil, errCut
		case CutSilent:
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		c := &cutConn{Conn: conn, address: address, cut: cut, done: make(chan struct{})}
		// A connection is old only for a cut that began after it.
		if cut(address) == CutSilentOld {
			c.cut = ignoreFirst(cut)
		}
		go c.watch()
		return c, nil
	}
}

// ignoreFirst returns cut without the CutSilentOld that is in force now.
func ignoreFirst(cut CutFunc) CutFunc {
	var over atomic.Bool
	return func(address string) Cut {
		now := cut(address)
		if now != CutSilentOld {
			over.Store(true)
		}
		if now == CutSilentOld && !over.Load() {
			return CutNone
		}
		return now
	}
}

// CutFile returns a CutFunc that follows a file. Each line is an address and a
// Cut, such as "127.0.0.1:7001 silent"; no file means no cut.
func CutFile(path string) CutFunc {
	return func(address string) Cut {
		data, err := os.ReadFile(path)
		if err != nil {
			return CutNone
		}
		for line := range strings.Lines(string(bytes.TrimSpace(data))) {
			fields := strings.Fields(line)
			if len(fields) == 2 && fields[0] == address {
				return Cut(fields[1])
			}
		}
		return CutNone
	}
}

// cutConn is a connection that can be made silent for good.
type cutConn struct {
	net.Conn
	address string
	cut     CutFunc
	silent  atomic.Bool
	closed  atomic.Bool
	done    chan struct{}
}

// watch breaks off the connection also while nobody writes to it.
func (c *cutConn) watch() {
	ticker := time.NewTicker(cutPoll)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
			c.follow()
		}
	}
}

func (c *cutConn) follow() {
	switch c.cut(c.address) {
	case CutRefuse:
		_ = c.Close()
	case CutSilent, CutSilentOld:
		c.silent.Store(true)
	}
}

// Read implements net.Conn. What arrives on a silent connection is dropped.
func (c *cutConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() {
			return n, err
		}
		// The other end closing is not seen either.
		if errors.Is(err, io.EOF) {
			<-c.done
			return 0, net.ErrClosed
		}
		if err != nil {
			return 0, err
		}
	}
}

// Write implements net.Conn. What is written to a silent connection is lost.
func (c *cutConn) Write(p []byte) (int, error) {
	c.follow()
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		close(c.done)
	}
	return c.Conn.Close()
}
