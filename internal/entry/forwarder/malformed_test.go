package forwarder

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"testing/quick"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/entry/forward"
	"wigeonbay/internal/entry/pool"
	"wigeonbay/internal/freeport"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/telemetry"
)

func reserveAddress(t *testing.T) string {
	address, err := freeport.Address()
	assert.NilError(t, err)
	return address
}

// startNode starts a node whose only control process does not exist, and stops it at the
// end of the test.
func startNode(t *testing.T) *Node {
	n := startUnstoppedNode(t, time.Second)
	t.Cleanup(func() { _ = n.Stop(t.Context()) })
	return n
}

func startUnstoppedNode(t *testing.T, shutdownTime time.Duration) *Node {
	cfg := &settings.Entry{}
	cfg.Node.ID, cfg.Node.DataCentre = "e1", "dc"
	cfg.Listen.Forward, cfg.Listen.Ready = reserveAddress(t), reserveAddress(t)
	cfg.Discovery.Seeds = []string{reserveAddress(t)}
	cfg.Forward.ExtraRatio, cfg.Forward.ExtraSlack, cfg.Forward.ExtraWindow = 0.2, 50, 10*time.Second
	cfg.Forward.ShutdownTime = shutdownTime
	n := New(Config{
		Settings: cfg, Logger: zap.NewNop(), Headers: headers, ReadyPath: "/ready", Metrics: telemetry.NewMetrics(),
		DecodeTable: func([]byte) (*api.RoutingTable, error) { return nil, io.ErrUnexpectedEOF },
	})
	assert.NilError(t, n.Start())
	return n
}

// TestMalformedCallersDoNotStopTheNode sends bytes that are no requests, and requests with
// senseless values, to the callers' listener. Each must be answered or closed, and the
// next caller be answered.
//
// fault: failing-target x forward
func TestMalformedCallersDoNotStopTheNode(t *testing.T) {
	n := startNode(t)
	address := n.cfg.Settings.Listen.Forward
	for _, text := range []string{
		"\x00\x01\x02\r\n\r\n",
		"GET\r\n\r\n",
		"GET / HTTP/9.9\r\n\r\n",
		"GET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nLeft: -1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nLeft: 1e308\r\nId: \r\n\r\n",
		"GET //..//%00 HTTP/1.1\r\nHost: [::1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("x", maxHeaderBytes+8<<10) + "\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Second)))
		// The node may close the connection before it has read everything.
		_, _ = io.WriteString(conn, text)
		_, _ = http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, conn.Close())
	}
	response, err := http.Get("http://" + address + "/x")
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
}

// TestMalformedControlRepliesDoNotStopTheNode applies replies of control processes with
// random contents, and routes requests after each.
//
// fault: failing-target x announce
func TestMalformedControlRepliesDoNotStopTheNode(t *testing.T) {
	n := startNode(t)
	random := rand.New(rand.NewSource(1))
	n.step(forward.TableInstalled{Table: &api.RoutingTable{Version: 1, Routes: []api.Route{
		{Name: "g", Host: "g", Prefix: "/", Idempotent: true, Timeout: time.Millisecond, Gather: []string{"a", "b"}},
	}}})
	for i := range 200 {
		value, ok := quick.Value(reflect.TypeFor[controlrpc.WatchReply](), random)
		assert.Assert(t, ok)
		reply := value.Interface().(controlrpc.WatchReply)
		reply.EntryNodes = map[string]int{"dc": random.Intn(5) - 2, "": math.MaxInt}
		for j := range reply.Targets {
			a := &reply.Targets[j]
			a.Service = []string{"a", "b", ""}[random.Intn(3)]
			a.State = []api.TargetState{api.TargetReady, api.TargetWarming, api.TargetGone, "nonsense"}[random.Intn(4)]
			a.Slots = []int{-1, 0, 3, math.MaxInt}[random.Intn(4)]
			a.Address = "127.0.0.1:1"
		}
		n.handleWatchReply("control", &reply)
		n.step(forward.RequestArrived{Request: forward.RequestID(i + 1), Host: "g", Path: "/x"})
		n.step(forward.Tick{})
	}
}

// TestMalformedRepliesOfTargetsAreNoAnswers classifies replies with random headers: only
// one that names the request and is signed may be a success or a failure.
//
// fault: failing-target x forward
func TestMalformedRepliesOfTargetsAreNoAnswers(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	names := []string{"Id", "Signed", "Load", "Not-Run", "Leaving", "Retry-After", "Content-Encoding"}
	values := []string{"", "r1", "r0", "1", "-1", "NaN", "1,2", "\xff", strings.Repeat("9", 400)}
	n := testNode()
	n.logger = zap.NewNop()
	for range 5000 {
		header := http.Header{}
		for _, name := range names {
			for range random.Intn(3) {
				header.Add(name, values[random.Intn(len(values))])
			}
		}
		reply := pool.Reply{Status: random.Intn(700), Header: header, Body: bytes.Repeat([]byte("x"), random.Intn(40))}
		ended := n.classify(&pendingRequest{id: "r1"}, reply, nil)
		if ended.Outcome == forward.OutcomeSuccess || ended.Outcome == forward.OutcomeFailure {
			assert.Equal(t, header.Get("Id"), "r1", fmt.Sprint(header))
			assert.Assert(t, header.Get("Signed") != "", fmt.Sprint(header))
		}
		assert.Assert(t, ended.Demand.RetryAfter >= 0 && ended.Demand.RetryAfter <= maxRetryAfter)
	}
}
