package driver

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wigeonbay/internal/api"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/wire"
)

// node runs one entry node's membership service on a loopback port and records the
// changes reported to it.
type node struct {
	id       string
	service  *Service
	server   *wire.Server
	client   *wire.Client
	mu       sync.Mutex
	inCall   bool
	overlaps int
	members  []api.EntryMember
	targets  map[api.TargetID]api.TargetState
}

// onChange records a change and counts calls that overlap.
func (n *node) onChange(c Change) {
	n.mu.Lock()
	if n.inCall {
		n.overlaps++
	}
	n.inCall = true
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.inCall = false
		n.mu.Unlock()
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.Members != nil {
		n.members = c.Members
	}
	for _, a := range c.Targets {
		n.targets[a.Target] = a.State
	}
}

// view returns the number of members and the state of the target lots-1 as last
// reported.
func (n *node) view() (members int, target api.TargetState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.members), n.targets["lots-1"]
}

// silentDialer opens connections that silenceAll makes silent permanently: writes
// are discarded and reads block until Close. Connections opened later work.
type silentDialer struct {
	mu    sync.Mutex
	conns []*silentConn
}

type silentConn struct {
	net.Conn
	silent atomic.Bool
	closed chan struct{}
	once   sync.Once
}

func (s *silentDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := wire.DialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: conn, closed: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
	return c, nil
}

func (s *silentDialer) silenceAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.silent.Store(true)
	}
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *silentConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestSilentConnectionsAreReplaced silences every open connection between the
// nodes. A later change must still reach all nodes over new connections, and each
// must then list all three members.
//
// fault: silent connection x drain
// fault: silent connection x announce
func TestSilentConnectionsAreReplaced(t *testing.T) {
	var s silentDialer
	nodes := startNodesWithDialer(t, 3, s.dial)
	a := api.Announcement{
		Target: "lots-1", Incarnation: 1, Sequence: 1, Service: "lots", Address: "127.0.0.1:9000",
		DataCentre: "oeste", State: api.TargetReady, Slots: 3, Connections: 30, LeaseMS: 60_000,
	}
	_, err := nodes[0].service.Announce(context.Background(), a)
	assert.NilError(t, err)
	for _, n := range nodes {
		waitForView(t, n, 3, api.TargetReady)
	}
	s.silenceAll()
	a.Sequence, a.State = 2, api.TargetDraining
	_, err = nodes[1].service.Announce(context.Background(), a)
	assert.NilError(t, err)
	for _, n := range nodes {
		waitForView(t, n, 3, api.TargetDraining)
	}
}

func startNodes(t *testing.T, count int) []*node {
	t.Helper()
	return startNodesWithDialer(t, count, nil)
}

func startNodesWithDialer(t *testing.T, count int, dial wire.DialFunc) []*node {
	t.Helper()
	listeners := make([]net.Listener, count)
	seeds := make([]settings.Peer, count)
	for i := range listeners {
		var err error
		listeners[i], err = net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		seeds[i] = settings.Peer{ID: fmt.Sprint("node-", i), Address: listeners[i].Addr().String(), DataCentre: "oeste"}
	}
	nodes := make([]*node, count)
	for i := range nodes {
		n := &node{id: seeds[i].ID, server: wire.NewServer(), client: wire.NewClient(dial, wire.WithKeepAlive(KeepAlive())), targets: map[api.TargetID]api.TargetState{}}
		n.service = New(Config{
			ID:          n.id,
			Address:     seeds[i].Address,
			DataCentre:  "oeste",
			Incarnation: 1,
			Seeds:       seeds,
			Client:      n.client,
			OnChange:    n.onChange,
			RandomSeed:  uint64(i),
		})
		assert.NilError(t, n.service.Register(n.server))
		n.server.Serve(listeners[i])
		n.service.Start()
		nodes[i] = n
		t.Cleanup(n.stop)
	}
	return nodes
}

func (n *node) stop() {
	n.service.Stop()
	n.client.Close()
	n.server.Close()
}

func waitForView(t *testing.T, n *node, members int, state api.TargetState) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		m, s := n.view()
		if m == members && s == state {
			return poll.Success()
		}
		return poll.Continue("%s sees %d members and target state %q", n.id, m, s)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func TestChangesReachAllNodes(t *testing.T) {
	nodes := startNodes(t, 3)
	a := api.Announcement{
		Target: "lots-1", Incarnation: 1, Sequence: 1, Service: "lots", Address: "127.0.0.1:9000",
		DataCentre: "oeste", State: api.TargetReady, Slots: 3, Connections: 30, LeaseMS: 60_000,
	}
	ctx := context.Background()
	reply, err := nodes[0].service.Announce(ctx, a)
	assert.NilError(t, err)
	assert.DeepEqual(t, reply, api.AnnounceReply{Sequence: 1, RenewMS: 20_000})
	for _, n := range nodes {
		waitForView(t, n, 3, api.TargetReady)
	}
	nodes[1].service.ReportTarget("lots-1", 1, api.TargetDraining)
	for _, n := range nodes {
		waitForView(t, n, 3, api.TargetDraining)
	}
	assert.NilError(t, nodes[2].service.Leave(ctx))
	nodes[2].service.Stop()
	for _, n := range nodes[:2] {
		waitForView(t, n, 2, api.TargetDraining)
		assert.Equal(t, n.overlaps, 0)
		assert.Assert(t, n.service.Counters().Sent["push"].Bytes > 0)
	}
}

func TestAnnounceRejectsInvalidAnnouncement(t *testing.T) {
	s := New(Config{ID: "a", DataCentre: "oeste", Incarnation: 1, Client: wire.NewClient(nil)})
	_, err := s.Announce(context.Background(), api.Announcement{Target: "lots-1"})
	assert.ErrorContains(t, err, "names no service")
	assert.ErrorIs(t, s.Leave(context.Background()), ErrNotRunning)
}
