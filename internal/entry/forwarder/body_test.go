package forwarder

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// sendBody sends the head of a request and a part of its body, and returns the connection.
func sendBody(t *testing.T, n *Node, stated, sent int) net.Conn {
	conn, err := net.Dial("tcp", n.cfg.Settings.Listen.Forward)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nId: r\r\nContent-Length: %d\r\n\r\n", stated)
	assert.NilError(t, err)
	// A write that fails because the node has answered and closed is seen by the reader.
	_, _ = conn.Write(make([]byte, sent))
	return conn
}

// TestLargeBodiesDoNotExhaustTheMemory guards against callers that fill a node's memory with
// bodies that the routing table allows. The requests that have no memory are refused at once
// with a retry time, usual ones are served, and large ones again once there is memory.
func TestLargeBodiesDoNotExhaustTheMemory(t *testing.T) {
	// An odd size isn't the sum of other buffers, which are of powers of two: the memory taken
	// tells when all held bodies have their last buffer, and no earlier one besides.
	const body, held = 8<<20 - 1, 3
	n := startServingNode(t)
	t.Cleanup(func() { _ = n.Stop(t.Context()) })
	for limit, name := range map[int64]string{0: "no limit", 1 << 62: "a great limit"} {
		t.Run(name, func(t *testing.T) {
			n.mu.Lock()
			n.maxBodyBytes = limit
			n.mu.Unlock()
			var holding []net.Conn
			for range held {
				holding = append(holding, sendBody(t, n, body, body-1))
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if left := n.bodyMemory.Left(); left != maxBodyMemory-held*body {
					return poll.Continue("%d bytes left", left)
				}
				return poll.Success()
			}, poll.WithTimeout(10*time.Second))
			refused := sendBody(t, n, 2*body, 2*body)
			assert.NilError(t, refused.SetReadDeadline(time.Now().Add(5*time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(refused), nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, response.Header.Get("Retry-After") != "")

			usual, err := http.ReadResponse(bufio.NewReader(sendBody(t, n, 100, 100)), nil)
			assert.NilError(t, err)
			assert.Equal(t, usual.StatusCode, http.StatusOK)
			for _, conn := range holding {
				_, err := conn.Write([]byte{0})
				assert.NilError(t, err)
				served, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err)
				assert.Equal(t, served.StatusCode, http.StatusOK)
			}
			assert.Equal(t, n.bodyMemory.Left(), int64(maxBodyMemory))
		})
	}
}

// TestBodyAboveTheLimitOfTheTable checks that the limit of a routing table holds for bodies
// with and without a stated length.
func TestBodyAboveTheLimitOfTheTable(t *testing.T) {
	n := startNode(t)
	n.mu.Lock()
	n.maxBodyBytes = 1000
	n.mu.Unlock()
	for _, request := range []string{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n" + string(make([]byte, 1001)),
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + string(make([]byte, 1001)) + "\r\n0\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", n.cfg.Settings.Listen.Forward)
		assert.NilError(t, err)
		_, err = conn.Write([]byte(request))
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
		assert.NilError(t, conn.Close())
	}
}

// TestLargeHeadIsServed guards against requests that a routing table allows and that are
// refused for the size of their heads.
func TestLargeHeadIsServed(t *testing.T) {
	n := startServingNode(t)
	t.Cleanup(func() { _ = n.Stop(t.Context()) })
	request, err := http.NewRequest(http.MethodGet, "http://"+n.cfg.Settings.Listen.Forward+"/x", nil)
	assert.NilError(t, err)
	request.Host = "h"
	request.Header.Set("Id", "r1")
	request.Header.Set("Large", strings.Repeat("x", 98_304))
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
}
