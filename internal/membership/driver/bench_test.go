package driver

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/membership"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/wire"
)

// countingConn adds the bytes read and written on a connection to bytes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkFraming measures the bytes that net/rpc adds to each message, request
// and reply together and without TCP headers, and the time of one call.
//
//	go test -run '^$' -bench Framing ./internal/membership/driver
func BenchmarkFraming(b *testing.B) {
	nodes, listeners := listen(b, 1)
	s := New(Config{ID: nodes[0].ID, DataCentre: "oeste", Incarnation: 1, Client: wire.NewClient(nil)})
	server := wire.NewServer()
	assert.NilError(b, s.Register(server))
	server.Serve(listeners[0])
	defer server.Close()
	var bytes atomic.Int64
	client := wire.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := wire.DialTCP(ctx, address)
		return countingConn{conn, &bytes}, err
	})
	defer client.Close()
	body, err := membership.Message{Kind: membership.KindAck, From: "node-1", To: "node-0"}.Encode()
	assert.NilError(b, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	call := func() {
		var reply FrameReply
		assert.NilError(b, client.Call(ctx, nodes[0].Address, methodDeliver, &Frame{Body: body}, &reply))
	}
	call()
	bytes.Store(0)
	for b.Loop() {
		call()
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N)-float64(len(body)), "framing-B/msg")
}

// BenchmarkConnections measures the heap and stack memory of one connection
// between two nodes, both ends together.
//
//	go test -run '^$' -bench Connections -benchtime 1x ./internal/membership/driver
func BenchmarkConnections(b *testing.B) {
	const peers = 200
	nodes, listeners := listen(b, peers)
	client := wire.NewClient(nil)
	defer client.Close()
	for i, listener := range listeners {
		s := New(Config{ID: nodes[i].ID, DataCentre: "oeste", Incarnation: 1, Client: client})
		server := wire.NewServer()
		assert.NilError(b, s.Register(server))
		server.Serve(listener)
		defer server.Close()
	}
	body, err := membership.Message{Kind: membership.KindAck, From: "x", To: "y"}.Encode()
	assert.NilError(b, err)
	for b.Loop() {
		before := heapAndStackBytes()
		for _, n := range nodes {
			var reply FrameReply
			assert.NilError(b, client.Call(context.Background(), n.Address, methodDeliver, &Frame{Body: body}, &reply))
		}
		b.ReportMetric(float64(heapAndStackBytes()-before)/peers/1024, "KiB/connection")
	}
}

// heapAndStackBytes returns the memory in use after a garbage collection.
func heapAndStackBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// listen opens loopback listeners and returns them with their addresses as peers.
func listen(b *testing.B, count int) ([]settings.Peer, []net.Listener) {
	b.Helper()
	var peers []settings.Peer
	var listeners []net.Listener
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		peers = append(peers, settings.Peer{ID: listener.Addr().String(), Address: listener.Addr().String(), DataCentre: "oeste"})
		listeners = append(listeners, listener)
	}
	return peers, listeners
}

// BenchmarkMembers measures Service.Members with 8,400 members besides the node
// itself. The entry node calls it ten times a second.
//
//	go test -run '^$' -bench Members ./internal/membership/driver
func BenchmarkMembers(b *testing.B) {
	s := New(Config{ID: "self", DataCentre: "oeste", Incarnation: 1, Client: wire.NewClient(nil)})
	m := membership.Message{Kind: membership.KindRecords, From: "node-0", To: "self"}
	for i := range 8400 {
		m.Members = append(m.Members, membership.Member{
			ID: fmt.Sprint("node-", i), DataCentre: fmt.Sprint("dc-", i%14), Incarnation: 1,
		})
	}
	s.step(membership.Received{At: time.Now(), Message: m})
	b.ReportAllocs()
	for b.Loop() {
		assert.Equal(b, len(s.Members()), 8401)
	}
}
