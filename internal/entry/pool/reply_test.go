package pool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// rawTarget is a target that answers every request with the same bytes. It
// counts connections.
type rawTarget struct {
	address  string
	accepted atomic.Int64
	closed   atomic.Int64
}

// serveRaw starts a target that writes reply to each request. With
// closeAfterReply it then closes the connection.
func serveRaw(t *testing.T, reply string, closeAfterReply bool) *rawTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	target := &rawTarget{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			target.accepted.Add(1)
			go func() {
				replyRaw(conn, reply, closeAfterReply)
				target.closed.Add(1)
			}()
		}
	}()
	return target
}

func replyRaw(conn net.Conn, reply string, closeAfterReply bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := io.WriteString(conn, reply); err != nil || closeAfterReply {
			return
		}
	}
}

const request = "GET /x HTTP/1.1\r\nHost: t\r\n\r\n"

// sendSequentially sends count requests one after the other. With awaitClose it
// waits after each until the target has closed all connections.
func sendSequentially(t *testing.T, target *rawTarget, count int, awaitClose bool) (replies []Reply, errs []error) {
	p := New(nil, WithoutIdleChecks())
	t.Cleanup(p.Close)
	p.Configure("a", target.address, 4, 0)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for range count {
		reply, err := p.Send(ctx, "a", Request{Method: http.MethodGet, Bytes: []byte(request)})
		replies, errs = append(replies, reply), append(errs, err)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if awaitClose && target.closed.Load() < target.accepted.Load() {
				return poll.Continue("not closed yet")
			}
			return poll.Success()
		})
	}
	return replies, errs
}

func TestReplyDecidesConnectionReuse(t *testing.T) {
	const completeReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	cases := []struct {
		name            string
		reply           string
		closeAfterReply bool
		ok              bool
		accepted        int64
	}{
		{"a complete reply allows reuse", completeReply, false, true, 1},
		{"unexpected bytes after a reply", completeReply + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", false, true, 3},
		{"Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", true, true, 3},
		{"a target that closes without Connection: close", completeReply, true, true, 3},
		{"a reply without a length", "HTTP/1.1 200 OK\r\n\r\nok", true, true, 3},
		{"a chunked reply", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, true, 1},
		{"an informational reply before the final one", "HTTP/1.1 103 Early Hints\r\n\r\n" + completeReply, false, true, 1},
		{"a truncated reply", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true, false, 3},
		{"a truncated chunked reply", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true, false, 3},
		{"invalid HTTP", "nonsense\r\n\r\n", true, false, 3},
		{"a keep-alive timeout of 0 is ignored", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", false, true, 1},
		{"reuse before the keep-alive timeout", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", false, true, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			target := serveRaw(t, tc.reply, tc.closeAfterReply)
			replies, errs := sendSequentially(t, target, 3, tc.closeAfterReply)
			for i, err := range errs {
				assert.Equal(t, err == nil, tc.ok, "%v", err)
				if tc.ok {
					assert.Equal(t, string(replies[i].Body), "ok")
					continue
				}
				var poolErr *Error
				assert.Assert(t, errors.As(err, &poolErr))
				assert.Assert(t, !poolErr.NotSent, "the request was sent")
			}
			assert.Equal(t, target.accepted.Load(), tc.accepted)
		})
	}
}

func TestIdleConnectionIsNotReusedAfterKeepAliveTimeout(t *testing.T) {
	target := serveRaw(t, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", false)
	p := New(nil, WithoutIdleChecks())
	t.Cleanup(p.Close)
	p.Configure("a", target.address, 4, 0)
	for range 2 {
		_, err := p.Send(context.Background(), "a", Request{Method: http.MethodGet, Bytes: []byte(request)})
		assert.NilError(t, err)
		time.Sleep(time.Second - keepAliveMargin + 50*time.Millisecond)
	}
	assert.Equal(t, target.accepted.Load(), int64(2))
}

// TestRequestIsNotSentOnResetConnection checks that a request sent with
// VerifyOpen isn't written to a new connection that a target at its connection
// limit has reset, and that the error reports it as not sent.
func TestRequestIsNotSentOnResetConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	reset := make(chan struct{})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			reset <- struct{}{}
		}
	}()
	var written atomic.Int64
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		<-reset
		return &writeCounter{conn.(*net.TCPConn), &written}, nil
	}
	p := New(dial, WithoutIdleChecks())
	t.Cleanup(p.Close)
	p.Configure("a", listener.Addr().String(), 4, 0)
	_, err = p.Send(context.Background(), "a", Request{Method: http.MethodGet, Bytes: []byte(request), Verification: VerifyOpen})
	var poolErr *Error
	assert.Assert(t, errors.As(err, &poolErr))
	assert.Assert(t, poolErr.NotSent)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.Equal(t, written.Load(), int64(0))
}

// writeCounter counts the bytes written.
type writeCounter struct {
	*net.TCPConn
	written *atomic.Int64
}

// Write implements net.Conn.
func (c *writeCounter) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.TCPConn.Write(p)
}

// TestNothingIsSentAfterTheDeadline sends a request whose deadline has passed, as it may
// have while the process was paused.
//
// fault: stop-continue x forward
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	var served atomic.Int64
	address := newServer(t, func(http.ResponseWriter, *http.Request) { served.Add(1) })
	p := New(nil, WithoutIdleChecks())
	t.Cleanup(p.Close)
	p.Configure("a", address, 1, 0)
	_, err := p.Send(context.Background(), "a", Request{Method: http.MethodGet, Bytes: []byte(request)})
	assert.NilError(t, err)
	for range 50 {
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Millisecond))
		_, err = p.Send(ctx, "a", Request{Method: http.MethodGet, Bytes: []byte(request)})
		cancel()
		var poolErr *Error
		assert.Assert(t, errors.As(err, &poolErr))
		assert.Assert(t, poolErr.NotSent)
	}
	assert.Equal(t, served.Load(), int64(1))
}
