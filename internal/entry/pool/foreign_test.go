package pool

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSecondCopyOfAReplyIsSkipped lets a target send copies of the reply to its first
// request where the reply to the second one is due. They must not be taken for it, the
// reply behind them must be found, and the connection must not be used any more. With
// more copies than are skipped the request has no reply.
//
// fault: duplicate-reply x forward
func TestSecondCopyOfAReplyIsSkipped(t *testing.T) {
	for copies := range maxForeignReplies + 2 {
		t.Run(fmt.Sprint(copies), func(t *testing.T) {
			address, accepted := serveCopies(t, copies)
			p := New(nil, WithoutIdleChecks())
			t.Cleanup(p.Close)
			p.Configure("a", address, 1, 0)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			mismatches := 0
			for i := range 4 {
				id := fmt.Sprint("r", i)
				reply, err := p.Send(ctx, "a", Request{
					Method: http.MethodGet, Bytes: []byte("GET / HTTP/1.1\r\nHost: t\r\nId: " + id + "\r\n\r\n"),
					IsReply: func(header http.Header) bool { return header.Get("Id") == id },
				})
				assert.NilError(t, err)
				if reply.Header.Get("Id") != id {
					mismatches++
				}
			}
			assert.Equal(t, mismatches, max(0, copies-maxForeignReplies))
			assert.Equal(t, accepted.Load(), int64(1+min(copies, 1)), "the connection with copies must be closed")
		})
	}
}

// TestForeignReplyOnANewConnectionIsNotSkipped checks that a target whose first reply
// names another request isn't waited for.
func TestForeignReplyOnANewConnectionIsNotSkipped(t *testing.T) {
	target := serveRaw(t, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nok", false)
	p := New(nil, WithoutIdleChecks())
	t.Cleanup(p.Close)
	p.Configure("a", target.address, 1, 0)
	reply, err := p.Send(context.Background(), "a", Request{
		Method: http.MethodGet, Bytes: []byte(request),
		IsReply: func(header http.Header) bool { return header.Get("Id") == "mine" },
	})
	assert.NilError(t, err)
	assert.Equal(t, reply.Header.Get("Id"), "other")
	assert.Equal(t, p.OpenConnections("a"), 0)
}

// serveCopies starts a target that sends copies of the reply to the first request of its
// first connection right after the second request, and then that request's own reply.
func serveCopies(t *testing.T, copies int) (address string, accepted *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	accepted = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			number := accepted.Add(1)
			go func() {
				defer conn.Close()
				if number == 1 {
					answerWithCopies(conn, copies)
				} else {
					answerWithCopies(conn, 0)
				}
			}()
		}
	}()
	return listener.Addr().String(), accepted
}

func answerWithCopies(conn net.Conn, copies int) {
	reader := bufio.NewReader(conn)
	const reply = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok"
	last := ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		for ; last != "" && copies > 0; copies-- {
			fmt.Fprintf(conn, reply, last)
			time.Sleep(5 * time.Millisecond)
		}
		last = req.Header.Get("Id")
		time.Sleep(10 * time.Millisecond)
		fmt.Fprintf(conn, reply, last)
	}
}
