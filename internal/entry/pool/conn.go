// Package pool keeps an entry node's connections to targets: no more than the
// budget of each target, opened ahead of need, and checked while idle. A
// connection that stays silent is closed and replaced; that says nothing
// about its target.
package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// maxReplyBytes bounds the body of a target's reply.
	maxReplyBytes = 64 << 20
	// readBufferBytes holds a usual reply's header and body.
	readBufferBytes = 2 << 10
	// maxInformational is the number of 1xx replies taken before the real one.
	maxInformational = 4
	// keepAliveMargin is how long before the target's own timeout an idle
	// connection is no longer used: a request sent at that moment would cross
	// the target's close.
	keepAliveMargin = 700 * time.Millisecond
)

var (
	errTooLarge = fmt.Errorf("reply is larger than %d bytes", maxReplyBytes)
)

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	raw    net.Conn
	reader *bufio.Reader
	// proven tells that the target has answered on this connection.
	proven   bool
	lastUsed time.Time
	// keepAlive is how long the target keeps an idle connection, 0 when it has
	// not said.
	keepAlive time.Duration
	// dialed is how long it took to open.
	dialed time.Duration
	// last tells that the target closes the connection after its reply, or that
	// what comes next can't be told from a reply.
	last bool
}

func newConn(raw net.Conn, dialed time.Duration) *conn {
	return &conn{
		raw:      raw,
		reader:   bufio.NewReaderSize(raw, readBufferBytes),
		lastUsed: time.Now(),
		dialed:   dialed,
	}
}

// exchange sends a whole request and reads the whole reply. sent tells whether
// any byte of the request may have left. After an error the connection is no
// longer good.
func (c *conn) exchange(ctx context.Context, method string, request []byte) (reply Reply, sent bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	written, err := c.raw.Write(request)
	if err != nil {
		return Reply{}, written > 0, causeOf(ctx, err)
	}
	reply, err = c.read(method)
	if err != nil {
		return Reply{}, true, causeOf(ctx, err)
	}
	c.proven = true
	c.lastUsed = time.Now()
	return reply, true, nil
}

func causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func (c *conn) read(method string) (Reply, error) {
	res, err := c.readHeader(method)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := readBody(res)
	if err != nil {
		return Reply{}, err
	}
	c.noteKeepAlive(res)
	if c.reader.Buffered() > 0 {
		c.last = true
	}
	return Reply{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}

// readHeader returns the first reply that isn't informational.
func (c *conn) readHeader(method string) (*http.Response, error) {
	for range maxInformational {
		res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if res.StatusCode >= http.StatusOK || res.StatusCode == http.StatusSwitchingProtocols {
			return res, nil
		}
	}
	return nil, errors.New("too many informational replies")
}

func readBody(res *http.Response) ([]byte, error) {
	if n := res.ContentLength; n >= 0 && n <= maxReplyBytes {
		body := make([]byte, n)
		_, err := io.ReadFull(res.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes+1))
	if err == nil && len(body) > maxReplyBytes {
		err = errTooLarge
	}
	return body, err
}

func (c *conn) noteKeepAlive(res *http.Response) {
	// A reply without a length ends with its connection.
	c.last = c.last || res.Close || res.ContentLength < 0 && len(res.TransferEncoding) == 0
	if timeout, ok := keepAliveOf(res.Header); ok {
		c.keepAlive = timeout
	}
}

// keepAliveOf returns the idle time that a reply's Keep-Alive header states in
// whole seconds.
func keepAliveOf(header http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// usable reports whether an idle connection may carry another request: the
// target must not be about to close it, and nothing may wait to be read on it.
func (c *conn) usable() bool {
	if c.last || c.keepAlive > 0 && time.Since(c.lastUsed) > c.keepAlive-keepAliveMargin {
		return false
	}
	return c.quiet()
}

// quiet reports whether the connection is open with nothing to read: an end, or
// bytes that belong to no request, would be taken for the next reply.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	holder, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// close closes the connection.
func (c *conn) close() { _ = c.raw.Close() }
