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

// rawTarget answers every request with the same bytes and counts connections.
type rawTarget struct {
	address string
	opened  atomic.Int64
	closed  atomic.Int64
}

// serveRaw runs a target that writes reply to each request; with end it closes
// the connection after it.
func serveRaw(t *testing.T, reply string, end bool) *rawTarget {
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
			target.opened.Add(1)
			go func() {
				answerRaw(conn, reply, end)
				target.closed.Add(1)
			}()
		}
	}()
	return target
}

func answerRaw(conn net.Conn, reply string, end bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := io.WriteString(conn, reply); err != nil || end {
			return
		}
	}
}

const request = "GET /x HTTP/1.1\r\nHost: t\r\n\r\n"

// sendTo sends requests one after the other. With end it waits after each until
// the target has closed its connection.
func sendTo(t *testing.T, target *rawTarget, times int, end bool) (replies []Reply, errs []error) {
	p := New(nil, WithoutIdleChecks())
	t.Cleanup(p.Close)
	p.Configure("a", target.address, 4, 0)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for range times {
		reply, err := p.Send(ctx, "a", http.MethodGet, []byte(request), ProofNone)
		replies, errs = append(replies, reply), append(errs, err)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if end && target.closed.Load() < target.opened.Load() {
				return poll.Continue("not closed yet")
			}
			return poll.Success()
		})
	}
	return replies, errs
}

func TestReplies(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	cases := []struct {
		name   string
		reply  string
		end    bool
		good   bool
		opened int64
	}{
		{"whole reply keeps its connection", whole, false, true, 1},
		{"bytes after a reply belong to no request", whole + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", false, true, 3},
		{"a target that closes", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", true, true, 3},
		{"a target that closes without a word", whole, true, true, 3},
		{"a reply without a length ends with its connection", "HTTP/1.1 200 OK\r\n\r\nok", true, true, 3},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, true, 1},
		{"an informational reply comes first", "HTTP/1.1 103 Early Hints\r\n\r\n" + whole, false, true, 1},
		{"a reply that breaks off", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true, false, 3},
		{"chunks that break off", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true, false, 3},
		{"bytes that are no reply", "nonsense\r\n\r\n", true, false, 3},
		{"a keep-alive that is over at once", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", false, true, 1},
		{"a keep-alive too short to use", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", false, true, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			target := serveRaw(t, tc.reply, tc.end)
			replies, errs := sendTo(t, target, 3, tc.end)
			for i, err := range errs {
				assert.Equal(t, err == nil, tc.good, "%v", err)
				if tc.good {
					assert.Equal(t, string(replies[i].Body), "ok")
					continue
				}
				var lost *Error
				assert.Assert(t, errors.As(err, &lost))
				assert.Assert(t, !lost.NotSent, "it may have run")
			}
			assert.Equal(t, target.opened.Load(), tc.opened)
		})
	}
}

func TestIdleConnectionIsNotUsedPastTheTargetsKeepAlive(t *testing.T) {
	target := serveRaw(t, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", false)
	p := New(nil, WithoutIdleChecks())
	t.Cleanup(p.Close)
	p.Configure("a", target.address, 4, 0)
	for range 2 {
		_, err := p.Send(context.Background(), "a", http.MethodGet, []byte(request), ProofNone)
		assert.NilError(t, err)
		time.Sleep(time.Second - keepAliveMargin + 50*time.Millisecond)
	}
	assert.Equal(t, target.opened.Load(), int64(2))
}

// TestTargetAtItsLimitIsTold proves that a request that must not run twice isn't
// sent on a connection that the target has reset.
func TestTargetAtItsLimitIsTold(t *testing.T) {
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
	_, err = p.Send(context.Background(), "a", http.MethodGet, []byte(request), ProofOpen)
	var lost *Error
	assert.Assert(t, errors.As(err, &lost))
	assert.Assert(t, lost.NotSent)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.Equal(t, written.Load(), int64(0))
}

// writeCounter counts what is written.
type writeCounter struct {
	*net.TCPConn
	written *atomic.Int64
}

// Write implements net.Conn.
func (c *writeCounter) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.TCPConn.Write(p)
}
