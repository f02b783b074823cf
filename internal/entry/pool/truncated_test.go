package pool

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// truncatedReplies are whole replies that end at a known byte.
var truncatedReplies = map[string]string{
	"length":     "HTTP/1.1 200 OK\r\nX-Signed: s\r\nContent-Length: 12\r\nA: b\r\n\r\nhello, world",
	"chunks":     "HTTP/1.1 200 OK\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
	"trailer":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n3\r\nabc\r\n0\r\nT: u\r\n\r\n",
	"no content": "HTTP/1.1 204 No Content\r\nX-Signed: s\r\n\r\n",
	"after 1xx":  "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"old":        "HTTP/1.0 200 OK\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nok",
	"keep-alive": "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n",
}

// TestTruncatedReplyIsNoReply ends a reply after each of its bytes, in its head and in its
// body, and closes the connection. Guards against a success with an empty or short body that
// is framed as whole.
//
// fault: failing-target x forward
func TestTruncatedReplyIsNoReply(t *testing.T) {
	for name, whole := range truncatedReplies {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for length := 0; length <= len(whole); length++ {
				_, err := sendTo(t, serveOnce(t, whole[:length], nil))
				assert.Equal(t, err == nil, length == len(whole), "%q: %v", whole[:length], err)
			}
		})
	}
}

// TestTruncatedReplyWithoutALengthIsWholeOnlyAfterItsHead does the same with a reply that ends
// with its connection. It can be told from a truncated one by its head alone, and by a reset.
func TestTruncatedReplyWithoutALengthIsWholeOnlyAfterItsHead(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nX-Signed: s\r\n\r\nhello"
	head := strings.Index(whole, "\r\n\r\n") + 4
	for length := range len(whole) + 1 {
		_, err := sendTo(t, serveOnce(t, whole[:length], nil))
		assert.Equal(t, err == nil, length >= head, "%q: %v", whole[:length], err)
		if length < head {
			continue
		}
		_, err = sendTo(t, serveOnce(t, whole[:length], func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }))
		assert.Assert(t, err != nil, "%q and a reset", whole[:length])
	}
}

// serveOnce starts a target that answers one request with some bytes and closes the
// connection. It returns the target's address.
func serveOnce(t *testing.T, reply string, beforeClose func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		defer listener.Close()
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = fmt.Fprint(conn, reply)
		if beforeClose != nil {
			beforeClose(conn)
		}
	}()
	return listener.Addr().String()
}

func sendTo(t *testing.T, address string) (Reply, error) {
	p := New(nil, WithoutIdleChecks())
	defer p.Close()
	p.Configure("a", address, 1, 0)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return p.Send(ctx, "a", Request{Method: http.MethodGet, Bytes: []byte(request)})
}
