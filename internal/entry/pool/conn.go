// Package pool manages an entry node's connections to targets. It keeps to the
// connection budget of each target, opens connections ahead of need and checks
// idle ones. A connection that doesn't answer is closed and replaced; this is
// not taken as a failure of its target.
package pool

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"wigeonbay/internal/entry/bodyread"
)

const (
	// readBufferBytes is large enough for the header and body of a typical reply.
	readBufferBytes = 2 << 10
	// maxReplyHeaders bounds the replies read for one request: informational (1xx)
	// ones and the final one.
	maxReplyHeaders = 4
	// maxForeignReplies bounds the replies to earlier requests that are skipped.
	maxForeignReplies = 2
	// keepAliveMargin is how long before the target's keep-alive timeout an idle
	// connection is no longer used. A request sent closer to the timeout could
	// arrive after the target has closed the connection.
	keepAliveMargin = 700 * time.Millisecond
	// maxKeepAlive is the longest keep-alive timeout taken from a reply. Longer ones
	// would overflow time.Duration.
	maxKeepAlive = time.Hour
)

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	netConn net.Conn
	reader  *bufio.Reader
	// headLimit is what reader reads from. It bounds the head of a reply.
	headLimit   *headLimiter
	replyMemory bodyread.Memory
	// hasReplied reports whether the target has answered on this connection.
	hasReplied bool
	lastUsed   time.Time
	// keepAlive is the target's idle timeout, 0 if it has stated none or 0.
	keepAlive time.Duration
	// dialTime is how long it took to open the connection.
	dialTime time.Duration
	// mustClose reports whether the connection can't carry another request: the
	// target closes it after its reply, or unexpected bytes follow the reply.
	mustClose bool
}

func newConn(netConn net.Conn, dialTime time.Duration, replyMemory bodyread.Memory) *conn {
	limiter := &headLimiter{source: netConn}
	return &conn{
		netConn:     netConn,
		reader:      bufio.NewReaderSize(limiter, readBufferBytes),
		headLimit:   limiter,
		replyMemory: replyMemory,
		lastUsed:    time.Now(),
		dialTime:    dialTime,
	}
}

// roundTrip sends a complete request and reads the complete reply. sent reports
// whether any byte of the request may have been sent. After an error the
// connection must not be used again.
func (c *conn) roundTrip(ctx context.Context, request Request) (reply Reply, sent bool, err error) {
	if deadline, ok := ctx.Deadline(); ctx.Err() != nil || ok && !time.Now().Before(deadline) {
		// The context's timer may be late after a pause of the process.
		return Reply{}, false, ErrExpired
	}
	stop := context.AfterFunc(ctx, func() { _ = c.netConn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	written, err := c.netConn.Write(request.Bytes)
	if err != nil {
		return Reply{}, written > 0, preferContextError(ctx, err)
	}
	reply, err = c.readOwnReply(request)
	if err != nil {
		return Reply{}, true, preferContextError(ctx, err)
	}
	c.hasReplied = true
	c.lastUsed = time.Now()
	return reply, true, nil
}

// preferContextError returns the error of ctx if it has ended, and err
// otherwise.
func preferContextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// readOwnReply reads the reply to a request and skips up to maxForeignReplies before it.
func (c *conn) readOwnReply(request Request) (Reply, error) {
	for skipped := 0; ; skipped++ {
		reply, err := c.readReply(request.Method)
		if err != nil || request.IsReply == nil || request.IsReply(reply.Header) {
			return reply, err
		}
		if c.mustClose = true; !c.hasReplied || skipped == maxForeignReplies {
			return reply, nil
		}
	}
}

func (c *conn) readReply(method string) (Reply, error) {
	res, err := c.readHeader(method)
	if err != nil {
		return Reply{}, err
	}
	// Body.Close is not called: it would read all that is left of the body.
	body, err := readBody(res, c.replyMemory)
	if err != nil {
		return Reply{}, err
	}
	c.updateReuse(res)
	if c.reader.Buffered() > 0 {
		c.mustClose = true
	}
	return Reply{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}

// readHeader reads the header of the first reply that isn't informational. All of them
// together take at most maxHeadBytes.
func (c *conn) readHeader(method string) (*http.Response, error) {
	c.headLimit.start()
	defer c.headLimit.stop()
	for range maxReplyHeaders {
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

// updateReuse takes from a reply whether and for how long the connection can be
// reused.
func (c *conn) updateReuse(res *http.Response) {
	// The end of a reply without a length is marked by the end of its connection.
	c.mustClose = c.mustClose || res.Close || res.ContentLength < 0 && len(res.TransferEncoding) == 0
	if timeout, ok := parseKeepAlive(res.Header); ok {
		c.keepAlive = timeout
	}
}

// parseKeepAlive returns the timeout parameter of a Keep-Alive header, which is
// in whole seconds.
func parseKeepAlive(header http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			return time.Duration(min(seconds, int(maxKeepAlive/time.Second))) * time.Second, true
		}
	}
	return 0, false
}

// usable reports whether an idle connection can carry another request: the
// target isn't about to close it, and there is nothing to read on it.
func (c *conn) usable() bool {
	if c.mustClose || c.keepAlive > 0 && time.Since(c.lastUsed) > c.keepAlive-keepAliveMargin {
		return false
	}
	return c.openAndEmpty()
}

// openAndEmpty reports whether the connection is open with nothing to read. An
// end of file, or bytes that belong to no request, would be taken for the next
// reply.
func (c *conn) openAndEmpty() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	withSyscall, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := withSyscall.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = rawConn.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

func (c *conn) close() { _ = c.netConn.Close() }
