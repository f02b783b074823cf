package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wigeonbay/internal/api"
)

// endlessTarget answers each request with a prefix and then with the same bytes over
// and over until the caller closes the connection.
type endlessTarget struct {
	address string
	open    atomic.Int64
}

// serveEndless starts an endlessTarget that waits for pause after each repetition.
func serveEndless(t *testing.T, prefix, repeated string, pause time.Duration) *endlessTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	target := &endlessTarget{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			target.open.Add(1)
			go func() {
				defer target.open.Add(-1)
				sendEndless(conn, prefix, repeated, pause)
			}()
		}
	}()
	return target
}

func sendEndless(conn net.Conn, prefix, repeated string, pause time.Duration) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, err := io.WriteString(conn, prefix)
	for err == nil {
		_, err = io.WriteString(conn, repeated)
		time.Sleep(pause)
	}
}

// endlessReplies are replies that never end, in each place where HTTP allows more
// bytes.
var endlessReplies = []struct{ name, prefix, repeated string }{
	{"bytes that are no reply", "", strings.Repeat("x", 1<<10)},
	{"status line", "HTTP/1.1 200 ", strings.Repeat("x", 1<<10)},
	{"header line", "HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 1<<10)},
	{"header lines", "HTTP/1.1 200 OK\r\n", "A: " + strings.Repeat("x", 1<<10) + "\r\n"},
	{"informational replies", "", "HTTP/1.1 103 Early Hints\r\nA: x\r\n\r\n"},
	{"body without a length", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1<<10)},
	{"body with a huge length", "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n", strings.Repeat("x", 1<<10)},
	{"body with an absurd length", "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", strings.Repeat("x", 1<<10)},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
	{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 1<<10)},
	{"empty chunk extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;a=" + strings.Repeat("x", 100) + "\r\nx\r\n"},
	{"trailer line", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", strings.Repeat("x", 1<<10)},
	{"trailer lines", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + strings.Repeat("x", 1<<10) + "\r\n"},
}

// TestEndlessReplyIsBounded reads replies without end, sent as fast as possible. Each
// must fail long before its deadline, with its connection closed.
//
// fault: endless-reply x forward
func TestEndlessReplyIsBounded(t *testing.T) {
	for _, tc := range endlessReplies {
		t.Run(tc.name, func(t *testing.T) {
			target := serveEndless(t, tc.prefix, tc.repeated, 0)
			p := New(nil, WithoutIdleChecks())
			t.Cleanup(p.Close)
			p.Configure("a", target.address, 1, 0)
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			_, err := p.Send(ctx, "a", Request{Method: http.MethodGet, Bytes: []byte(request)})
			var poolErr *Error
			assert.Assert(t, errors.As(err, &poolErr), "%v", err)
			assert.Assert(t, !poolErr.NotSent, "the target may have run the request")
			assert.NilError(t, ctx.Err(), "the reply must fail by its size, not by its deadline: %v", err)
			awaitClosed(t, target)
		})
	}
}

// TestSlowEndlessReplyEndsAtItsDeadline drips the same replies so slowly that no limit
// on their size is reached.
//
// fault: endless-reply x forward
func TestSlowEndlessReplyEndsAtItsDeadline(t *testing.T) {
	for _, tc := range endlessReplies {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			target := serveEndless(t, tc.prefix, tc.repeated[:1], 5*time.Millisecond)
			p := New(nil, WithoutIdleChecks())
			t.Cleanup(p.Close)
			p.Configure("a", target.address, 1, 0)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			_, err := p.Send(ctx, "a", Request{Method: http.MethodGet, Bytes: []byte(request)})
			assert.Assert(t, err != nil)
			awaitClosed(t, target)
		})
	}
}

func awaitClosed(t *testing.T, target *endlessTarget) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if open := target.open.Load(); open > 0 {
			return poll.Continue("%d connections are open", open)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// TestManyEndlessRepliesLeaveGoodOnesAlone reads 200 endless replies of each kind of body
// at once. Memory must stay bounded, and good targets must be answered meanwhile.
//
// fault: endless-reply x forward
func TestManyEndlessRepliesLeaveGoodOnesAlone(t *testing.T) {
	const (
		endless = 200
		// A node's VM has 184 MB; the stand-ins run in this process too.
		maxHeapGrowth = 92 << 20
	)
	for _, tc := range endlessReplies {
		if !strings.Contains(tc.name, "body") && tc.name != "chunks" && tc.name != "header lines" {
			continue
		}
		t.Run(tc.name, func(t *testing.T) {
			bad := serveEndless(t, tc.prefix, tc.repeated, 0)
			good := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, strings.Repeat("y", 8<<10))
			})
			p := New(nil, WithoutIdleChecks())
			t.Cleanup(p.Close)
			p.Configure("bad", bad.address, endless, 0)
			p.Configure("good", good, 4, 0)
			before := heapInUse()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			var requests sync.WaitGroup
			for range endless {
				requests.Go(func() {
					_, err := p.Send(ctx, "bad", Request{Method: http.MethodGet, Bytes: []byte(request)})
					assert.Check(t, err != nil)
				})
			}
			highest := uint64(0)
			for i := range 50 {
				reply, err := p.Send(ctx, "good", Request{Method: http.MethodGet, Bytes: []byte(request)})
				assert.NilError(t, err, fmt.Sprint("good request ", i))
				assert.Equal(t, len(reply.Body), 8<<10)
				highest = max(highest, heapInUse())
			}
			requests.Wait()
			assert.Assert(t, highest < before+maxHeapGrowth, "the heap grew by %d MB", (highest-before)>>20)
		})
	}
}

func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse
}

// TestEndlessRepliesLeaveMemoryForLargeReplies guards against good replies that fail because endless ones of faulty targets hold the memory for replies.
//
// fault: endless-reply x forward
func TestEndlessRepliesLeaveMemoryForLargeReplies(t *testing.T) {
	const (
		faulty, perTarget = 4, 5
		goodBytes         = 256 << 10
	)
	bad := serveEndless(t, "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 16<<10), 2*time.Millisecond)
	good := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("y", goodBytes))
	})
	p := New(nil, WithoutIdleChecks())
	t.Cleanup(p.Close)
	p.Configure("good", good, 4, 0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var requests sync.WaitGroup
	for i := range faulty {
		id := api.TargetID(fmt.Sprint("bad-", i))
		p.Configure(id, bad.address, perTarget, 0)
		for range perTarget {
			requests.Go(func() {
				for ctx.Err() == nil {
					_, err := p.Send(ctx, id, Request{Method: http.MethodGet, Bytes: []byte(request)})
					assert.Check(t, err != nil)
				}
			})
		}
	}
	failed := 0
	for range 300 {
		reply, err := p.Send(ctx, "good", Request{Method: http.MethodGet, Bytes: []byte(request)})
		if err != nil || len(reply.Body) != goodBytes {
			failed++
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, failed, 0, "good requests failed")
	cancel()
	requests.Wait()
	assert.Equal(t, p.replyMemory.Left(), int64(maxReplyMemory))
	awaitClosed(t, bad)
}
