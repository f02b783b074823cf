package wire

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Cut is a network failure that a CutDialer injects for an address.
type Cut string

// Values of Cut.
const (
	// CutNone injects no failure.
	CutNone Cut = ""
	// CutRefuse fails dials and closes existing connections.
	CutRefuse Cut = "refuse"
	// CutSilent lets dials time out and makes existing connections permanently
	// silent: data in both directions is discarded without an error.
	CutSilent Cut = "silent"
	// CutSilentOld makes existing connections silent as CutSilent does, but
	// doesn't affect new ones.
	CutSilentOld Cut = "silent-old"
	// CutRefuseNew fails dials and doesn't affect existing connections.
	CutRefuseNew Cut = "refuse-new"
)

// CutFunc returns the Cut that currently applies to an address. It must be safe for
// concurrent use.
type CutFunc func(address string) Cut

// cutPollInterval is the interval at which existing connections check for a cut.
const cutPollInterval = 20 * time.Millisecond

var errCut = fmt.Errorf("injected failure: %w", syscall.ECONNREFUSED)

// CutDialer wraps dial and injects the failures that cut returns. It is meant for
// failure tests; the processes use it only if their settings name a file of cuts. It
// affects only connections that the process itself dials, so to cut a link in both
// directions it has to be used in two processes.
func CutDialer(dial DialFunc, cut CutFunc) DialFunc {
	if dial == nil {
		dial = DialTCP
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		switch cut(address) {
		case CutRefuse, CutRefuseNew:
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
		// CutSilentOld affects only connections that were opened before it began.
		if cut(address) == CutSilentOld {
			c.cut = ignoreCurrentSilentOld(cut)
		}
		go c.watch()
		return c, nil
	}
}

// DialWithCuts returns dial, with the failures that a file lists unless its name is empty.
func DialWithCuts(dial DialFunc, file string) DialFunc {
	if file == "" {
		return dial
	}
	return CutDialer(dial, CutFile(file))
}

// ignoreCurrentSilentOld wraps cut and returns CutNone for a CutSilentOld that applies
// already, until it has ended.
func ignoreCurrentSilentOld(cut CutFunc) CutFunc {
	var ended atomic.Bool
	return func(address string) Cut {
		now := cut(address)
		if now != CutSilentOld {
			ended.Store(true)
		}
		if now == CutSilentOld && !ended.Load() {
			return CutNone
		}
		return now
	}
}

// CutFile returns a CutFunc that reads a file on each call. Each line consists of an
// address and a Cut, such as "127.0.0.1:7001 silent". If the file can't be read, there
// is no cut.
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

// cutConn is a connection to which cuts are applied. Once silent, it stays silent.
type cutConn struct {
	net.Conn
	address string
	cut     CutFunc
	silent  atomic.Bool
	closed  atomic.Bool
	done    chan struct{}
}

// watch applies cuts at an interval, so that they take effect without a write.
func (c *cutConn) watch() {
	ticker := time.NewTicker(cutPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
			c.applyCut()
		}
	}
}

// applyCut applies the current cut to the connection.
func (c *cutConn) applyCut() {
	switch c.cut(c.address) {
	case CutRefuse:
		_ = c.Close()
	case CutSilent, CutSilentOld:
		c.silent.Store(true)
	}
}

// Read implements net.Conn. It discards data received on a silent connection.
func (c *cutConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() {
			return n, err
		}
		// On a silent connection the reader must not notice that the other end has
		// closed it.
		if errors.Is(err, io.EOF) {
			<-c.done
			return 0, net.ErrClosed
		}
		if err != nil {
			return 0, err
		}
	}
}

// Write implements net.Conn. It discards data written to a silent connection.
func (c *cutConn) Write(p []byte) (int, error) {
	c.applyCut()
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
