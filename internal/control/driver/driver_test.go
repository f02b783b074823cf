package driver

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wigeonbay/internal/api"
	"wigeonbay/internal/control/wal"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/freeport"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/wire"
)

// group runs control replicas on loopback, each with its own data folder.
type group struct {
	t       testing.TB
	folder  string
	members []settings.Peer
	nodes   map[string]*Node
	client  *wire.Client
	network *network
	// snapshotEntries is small, so that tests take snapshots.
	snapshotEntries int
	// segmentBytes is the size at which the log rotates, 0 for the default.
	segmentBytes int64
	replication  settings.Replication
}

func newGroup(t testing.TB, ids ...string) *group {
	g := &group{t: t, folder: t.TempDir(), nodes: map[string]*Node{}, client: wire.NewClient(nil), network: newNetwork(), snapshotEntries: 50}
	g.replication = settings.DefaultControl().Replication
	g.replication.Heartbeat = 20 * time.Millisecond
	g.replication.ElectionTimeout = 300 * time.Millisecond
	for _, id := range ids {
		g.members = append(g.members, settings.Peer{ID: id, Address: reserveAddress(t), DataCentre: "dc-" + id})
	}
	t.Cleanup(func() {
		g.client.Close()
		for id := range g.nodes {
			g.kill(id)
		}
	})
	return g
}

// reserveAddress returns a free loopback address.
func reserveAddress(t testing.TB) string {
	address, err := freeport.Address()
	assert.NilError(t, err)
	return address
}

func (g *group) settings(peer settings.Peer) settings.Control {
	cfg := settings.DefaultControl()
	cfg.Node = settings.Node{ID: peer.ID, DataCentre: peer.DataCentre}
	cfg.Listen.Peers = peer.Address
	cfg.Storage.Folder = filepath.Join(g.folder, peer.ID)
	cfg.Storage.SnapshotEntries = g.snapshotEntries
	if g.segmentBytes > 0 {
		cfg.Storage.SegmentBytes = g.segmentBytes
	}
	cfg.Replication = g.replication
	cfg.Members = g.members
	return *cfg
}

func (g *group) startAll() {
	for _, peer := range g.members {
		g.start(peer, Options{}, false)
	}
}

func (g *group) start(peer settings.Peer, o Options, join bool) *Node {
	cfg := g.settings(peer)
	cfg.Join = join
	if o.Dial == nil {
		o.Dial = g.network.dialer(peer.Address)
	}
	if o.Listener == nil {
		// The address may be in use for a moment after a replica was stopped.
		poll.WaitOn(g.t, func(poll.LogT) poll.Result {
			listener, err := net.Listen("tcp", peer.Address)
			if err != nil {
				return poll.Continue("listen: %v", err)
			}
			o.Listener = listener
			return poll.Success()
		})
	}
	node, err := New(cfg, zap.NewNop(), o)
	assert.NilError(g.t, err)
	node.Start()
	g.nodes[peer.ID] = node
	return node
}

func (g *group) stop(id string) {
	node := g.nodes[id]
	delete(g.nodes, id)
	assert.NilError(g.t, node.Stop())
}

// kill stops a replica without waiting for calls in progress.
func (g *group) kill(id string) {
	node := g.nodes[id]
	delete(g.nodes, id)
	node.cancel()
	node.stopDiscovery()
	node.running.Wait()
	node.peers.wait()
	node.client.Close()
	node.server.Close()
	assert.NilError(g.t, node.log.Close())
}

// loseDisk kills a replica and deletes its data folder.
func (g *group) loseDisk(id string) {
	g.kill(id)
	assert.NilError(g.t, os.RemoveAll(filepath.Join(g.folder, id)))
}

func (g *group) peer(id string) settings.Peer {
	for _, peer := range g.members {
		if peer.ID == id {
			return peer
		}
	}
	panic("no such member")
}

func (g *group) call(address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return g.client.Call(ctx, address, method, args, reply)
}

func (g *group) apply(id string, number uint64) controlrpc.ApplyReply {
	args := &controlrpc.ApplyArgs{Ticket: api.Ticket{
		Number:   number,
		Operator: "ana",
		Services: []api.Service{{Name: fmt.Sprintf("salao-%d", number%7), Prefer: api.PreferDeadline, LeastCoverage: 0.5, DeadlineMS: 100}},
	}}
	var reply controlrpc.ApplyReply
	if err := g.call(g.peer(id).Address, controlrpc.MethodApply, args, &reply); err != nil {
		reply.Result = controlrpc.Result{Code: controlrpc.CodeNoQuorum, Detail: err.Error()}
	}
	return reply
}

// mustApply commits a ticket through a replica. It retries until the call
// succeeds.
func (g *group) mustApply(id string, number uint64) api.TicketReply {
	var reply controlrpc.ApplyReply
	g.waitFor("ticket accepted", func() error {
		reply = g.apply(id, number)
		if reply.Result.Code != controlrpc.CodeOK {
			return fmt.Errorf("%+v", reply.Result)
		}
		return nil
	})
	assert.Equal(g.t, reply.Reply.Outcome, api.TicketAccepted, reply.Reply.Detail)
	return reply.Reply
}

func (g *group) fetch(id string, args controlrpc.FetchArgs) (controlrpc.FetchReply, error) {
	var reply controlrpc.FetchReply
	err := g.call(g.peer(id).Address, controlrpc.MethodFetch, &args, &reply)
	return reply, err
}

func (g *group) status(id string) controlrpc.StatusReply {
	var reply controlrpc.StatusReply
	g.waitFor("status of "+id, func() error {
		reply = controlrpc.StatusReply{}
		return g.call(g.peer(id).Address, controlrpc.MethodStatus, &controlrpc.StatusArgs{}, &reply)
	})
	return reply
}

// waitFor waits for a condition. Its timeout is generous: tests don't check how
// soon the condition holds.
func (g *group) waitFor(what string, check func() error) {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		if err := check(); err != nil {
			return poll.Continue("%s: %v", what, err)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(10*time.Millisecond))
}

// leader waits until a running replica leads and has committed an entry.
func (g *group) leader() string {
	var leader string
	g.waitFor("leader", func() error {
		for id := range g.nodes {
			status := g.status(id)
			if status.State == "leader" && status.Commit > 0 {
				leader = id
				return nil
			}
		}
		return fmt.Errorf("none")
	})
	return leader
}

func (g *group) other(not ...string) string {
	for _, peer := range g.members {
		excluded := g.nodes[peer.ID] == nil
		for _, id := range not {
			excluded = excluded || peer.ID == id
		}
		if !excluded {
			return peer.ID
		}
	}
	panic("no other replica")
}

func TestGroupCommitsThroughAnyReplica(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.startAll()
	for i, id := range []string{"a", "b", "c"} {
		reply := g.mustApply(id, uint64(i+1))
		assert.Equal(t, reply.Version, uint64(i+1))
	}
	for _, id := range []string{"a", "b", "c"} {
		reply, err := g.fetch(id, controlrpc.FetchArgs{Confirmed: true})
		assert.NilError(t, err)
		assert.Equal(t, reply.Result.Code, controlrpc.CodeOK, reply.Result.Detail)
		assert.Equal(t, reply.Applied, uint64(3))
		assert.Equal(t, len(reply.Delta.Tickets), 3)
		assert.Assert(t, reply.QuorumAgeMS >= 0)
	}
}

// fault: kill x ticket
func TestGroupSurvivesLeaderCrash(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.startAll()
	g.mustApply("a", 1)
	leader := g.leader()
	g.kill(leader)
	second := g.other(leader)
	assert.Equal(t, g.mustApply(second, 2).Version, uint64(2))
	g.start(g.peer(leader), Options{}, false)
	g.waitFor("former leader catches up", func() error {
		reply, err := g.fetch(leader, controlrpc.FetchArgs{Confirmed: true})
		if err != nil || reply.Applied != 2 {
			return fmt.Errorf("%v, %+v", err, reply)
		}
		return nil
	})
}

// TestGroupRecoversFromDisk restarts all replicas after enough tickets for
// several snapshots. No committed ticket may be missing.
//
// fault: restart-after-changes x ticket
// fault: restart-after-changes x restart
func TestGroupRecoversFromDisk(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.startAll()
	const tickets = 180 // several snapshots
	for number := uint64(1); number <= tickets; number++ {
		g.mustApply("a", number)
	}
	for _, peer := range g.members {
		g.stop(peer.ID)
	}
	g.startAll()
	g.waitFor("state is restored", func() error {
		reply, err := g.fetch("b", controlrpc.FetchArgs{Confirmed: true})
		if err != nil || reply.Result.Code != controlrpc.CodeOK || reply.Applied != tickets {
			return fmt.Errorf("%v, %+v", err, reply.Result)
		}
		return nil
	})
	assert.Equal(t, g.mustApply("c", tickets+1).Version, uint64(tickets+1))
}

func TestFolderInUseIsRefused(t *testing.T) {
	g := newGroup(t, "a")
	g.startAll()
	_, err := New(g.settings(g.peer("a")), zap.NewNop(), Options{})
	assert.ErrorIs(t, err, wal.ErrLocked)
}
