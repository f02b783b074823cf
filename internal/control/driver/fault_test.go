package driver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/control/wal"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/wire"
)

func (g *group) claim(id, key string, claim uint64) controlrpc.ClaimReply {
	g.t.Helper()
	return g.claimAt(id, key, claim, time.Now().UnixMilli())
}

// claimAt claims a key with the given time, in Unix milliseconds.
func (g *group) claimAt(id, key string, claim uint64, keyTime int64) controlrpc.ClaimReply {
	args := &controlrpc.ClaimArgs{
		Key: key, KeyTimeUnixMS: keyTime, Claim: claim, Claimant: "e1", Service: "fatura", Fingerprint: 7,
	}
	var reply controlrpc.ClaimReply
	assert.NilError(g.t, g.call(g.peer(id).Address, controlrpc.MethodClaim, args, &reply))
	return reply
}

// waitUntilCurrent waits until a replica has applied a version and a quorum has
// confirmed a read there.
func (g *group) waitUntilCurrent(id string, version uint64) {
	g.t.Helper()
	g.waitFor(id+" is current", func() error {
		reply, err := g.fetch(id, controlrpc.FetchArgs{Confirmed: true})
		if err != nil || reply.Result.Code != controlrpc.CodeOK || reply.Applied < version {
			return fmt.Errorf("%v, %+v", err, reply)
		}
		return nil
	})
}

// TestIsolatedReplicaDoesNotAnswerAsCurrent guards against stale answers from a
// replica that is disconnected while the others commit. It must report the age
// of its state, and reject confirmed reads, tickets and claims.
//
// fault: control-alone x ticket
// fault: control-alone x submit
func TestIsolatedReplicaDoesNotAnswerAsCurrent(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.startAll()
	g.mustApply("a", 1)
	leader := g.leader()
	isolated := g.other(leader)
	g.waitUntilCurrent(isolated, 1)
	g.network.isolate(g.peer(isolated).Address)
	g.mustApply(leader, 2)

	const stale = 1000 // milliseconds; longer than an election takes
	g.waitFor("age of the state grows", func() error {
		reply, err := g.fetch(isolated, controlrpc.FetchArgs{})
		assert.NilError(t, err)
		assert.Equal(t, reply.Applied, uint64(1))
		if reply.QuorumAgeMS < 4*stale/3 {
			return fmt.Errorf("age %d", reply.QuorumAgeMS)
		}
		return nil
	})
	confirmed, err := g.fetch(isolated, controlrpc.FetchArgs{Confirmed: true})
	assert.NilError(t, err)
	assert.Equal(t, confirmed.Result.Code, controlrpc.CodeNoQuorum)
	assert.Equal(t, len(confirmed.Delta.Tickets), 0)
	refused := []controlrpc.Result{
		g.apply(isolated, 3).Result,
		g.claim(isolated, "k1", 1).Result,
	}
	for _, result := range refused {
		assert.Equal(t, result.Code, controlrpc.CodeNoQuorum)
		assert.Assert(t, result.NotApplied, "a call that reached no leader was certainly not applied: %+v", result)
	}
	var history controlrpc.HistoryReply
	assert.NilError(t, g.call(g.peer(isolated).Address, controlrpc.MethodHistory, &controlrpc.HistoryArgs{}, &history))
	assert.Equal(t, history.Result.Code, controlrpc.CodeNoQuorum)

	g.network.heal(g.peer(isolated).Address)
	g.waitUntilCurrent(isolated, 2)
}

// TestIsolatedLeaderReportsUnknownOutcomes disconnects the leader during calls.
// A ticket reported as not applied must never appear in the history, and an
// accepted one must not be missing from it.
//
// fault: cut-both x ticket
func TestIsolatedLeaderReportsUnknownOutcomes(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.startAll()
	g.mustApply("a", 1)
	leader := g.leader()
	const tickets = 8
	replies := make([]controlrpc.ApplyReply, tickets)
	var running sync.WaitGroup
	for i := range tickets {
		running.Go(func() { replies[i] = g.apply(leader, uint64(10+i)) })
	}
	g.network.isolate(g.peer(leader).Address)
	running.Wait()
	second := g.other(leader)
	g.mustApply(second, 100)
	g.network.heal(g.peer(leader).Address)
	var history controlrpc.HistoryReply
	g.waitFor("history", func() error {
		history = controlrpc.HistoryReply{}
		err := g.call(g.peer(leader).Address, controlrpc.MethodHistory, &controlrpc.HistoryArgs{}, &history)
		if err != nil || history.Result.Code != controlrpc.CodeOK {
			return fmt.Errorf("%v %+v", err, history.Result)
		}
		return nil
	})
	accepted := map[uint64]bool{}
	for _, entry := range history.Entries {
		accepted[entry.Ticket.Number] = true
	}
	for i, reply := range replies {
		number := uint64(10 + i)
		if reply.Result.NotApplied {
			assert.Assert(t, !accepted[number], "ticket %d was reported as not applied but is in the history", number)
		}
		if reply.Result.Code == controlrpc.CodeOK && reply.Reply.Outcome == api.TicketAccepted {
			assert.Assert(t, accepted[number], "ticket %d was accepted but is not in the history", number)
		}
	}
}

// TestRacingOperatorsGetOneWinner submits different tickets with the same
// number through all replicas at once. Exactly one may be accepted, and the
// others must name its operator.
//
// fault: operators-racing x ticket
func TestRacingOperatorsGetOneWinner(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.startAll()
	g.mustApply("a", 1)
	replies := make([]controlrpc.ApplyReply, 9)
	var running sync.WaitGroup
	for i := range replies {
		running.Go(func() {
			args := &controlrpc.ApplyArgs{Ticket: api.Ticket{
				Number: 5, Operator: fmt.Sprintf("operator-%d", i),
				Services: []api.Service{{Name: fmt.Sprintf("patio-%d", i), Prefer: api.PreferCoverage, LeastCoverage: 1, DeadlineMS: 50}},
			}}
			address := g.members[i%len(g.members)].Address
			if err := g.call(address, controlrpc.MethodApply, args, &replies[i]); err != nil {
				replies[i].Result.Code = controlrpc.CodeNoQuorum
			}
		})
	}
	running.Wait()
	var winner string
	for i, reply := range replies {
		assert.Equal(t, reply.Result.Code, controlrpc.CodeOK, reply.Result.Detail)
		if reply.Reply.Outcome == api.TicketAccepted {
			assert.Equal(t, winner, "", "two operators won ticket number 5")
			winner = fmt.Sprintf("operator-%d", i)
		}
	}
	for _, reply := range replies {
		if reply.Reply.Outcome != api.TicketAccepted {
			assert.Equal(t, reply.Reply.Outcome, api.TicketConflict)
			assert.Equal(t, reply.Reply.Winner, winner)
		}
	}
}

// failingFS is a file system that, while failing is set, fails all syncs of the
// files that were created through it.
type failingFS struct {
	wal.FS
	failing atomic.Bool
}

type failingFile struct {
	wal.File
	fs *failingFS
}

var errDisk = errors.New("disk is gone")

func (f *failingFS) Create(path string) (wal.File, error) {
	file, err := f.FS.Create(path)
	return &failingFile{file, f}, err
}

func (f *failingFile) Sync() error {
	if f.fs.failing.Load() {
		return errDisk
	}
	return f.File.Sync()
}

// TestFailedSyncStopsTheReplica fails the syncs of the leader. It must stop,
// since it no longer knows what is on its disk, and must not report the ticket
// as not applied.
//
// fault: failed-sync x ticket
func TestFailedSyncStopsTheReplica(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	disks := map[string]*failingFS{}
	fatal := make(chan error, 1)
	for _, peer := range g.members {
		disks[peer.ID] = &failingFS{FS: wal.OS()}
		g.start(peer, Options{FS: disks[peer.ID], Fatal: func(err error) { fatal <- err }}, false)
	}
	g.mustApply("a", 1)
	leader := g.leader()
	disks[leader].failing.Store(true)
	reply := g.apply(leader, 2)
	err := <-fatal
	assert.ErrorIs(t, err, wal.ErrFailed)
	assert.ErrorIs(t, err, errDisk)
	assert.Assert(t, !reply.Result.NotApplied, "the other replicas may have committed the ticket: %+v", reply.Result)
	second := g.other(leader)
	g.mustApply(second, 2)
	g.kill(leader)
	g.start(g.peer(leader), Options{}, false)
	g.waitUntilCurrent(leader, 2)
}

// TestShutdownWaitsForCalls stops each replica, the leader among them, during
// calls through it. A call that was received must not be cut off by the
// shutdown.
func TestShutdownWaitsForCalls(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.startAll()
	g.mustApply("a", 1)
	for round, id := range []string{"a", "b", "c"} {
		const callers = 8
		var running sync.WaitGroup
		begun := make(chan struct{}, callers)
		for i := range callers {
			running.Go(func() {
				number := uint64(100*(round+1) + i)
				var reply controlrpc.ApplyReply
				args := &controlrpc.ApplyArgs{Ticket: api.Ticket{Number: number, Operator: "ana", Services: []api.Service{
					{Name: fmt.Sprintf("s%d", i), Prefer: api.PreferDeadline, LeastCoverage: 0.5, DeadlineMS: 100}}}}
				begun <- struct{}{}
				err := g.call(g.peer(id).Address, controlrpc.MethodApply, args, &reply)
				// A call that begins after the shutdown may fail, but a call
				// that was received gets a reply.
				if err == nil && reply.Result.Code != controlrpc.CodeOK {
					assert.Check(t, reply.Result.NotApplied || reply.Result.Code == controlrpc.CodeNoQuorum, "%+v", reply.Result)
				}
			})
		}
		poll := make(chan controlrpc.FetchReply, 1)
		running.Go(func() {
			reply, err := g.fetch(id, controlrpc.FetchArgs{Since: 1 << 40, WaitMS: 60_000})
			if err == nil {
				poll <- reply
			}
			close(poll)
		})
		<-begun
		g.stop(id)
		running.Wait()
		<-poll
		g.start(g.peer(id), Options{}, false)
		g.waitUntilCurrent(id, 1)
	}
}

// TestSilentConnectionsAreReplaced makes all connections between the replicas
// silent at once, while new connections work. The group must not wait on the
// old ones forever.
//
// fault: silent-connection x ticket
func TestSilentConnectionsAreReplaced(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	var cut atomic.Value
	cut.Store(wire.CutNone)
	for _, peer := range g.members {
		dial := func(ctx context.Context, address string) (net.Conn, error) {
			cutNow := func(string) wire.Cut { return cut.Load().(wire.Cut) }
			return wire.CutDialer(g.network.dialer(peer.Address), cutNow)(ctx, address)
		}
		g.start(peer, Options{Dial: dial}, false)
	}
	g.mustApply("a", 1)
	cut.Store(wire.CutSilentOld)
	for i, id := range []string{"a", "b", "c"} {
		g.mustApply(id, uint64(2+i))
	}
	for _, peer := range g.members {
		g.waitUntilCurrent(peer.ID, 4)
	}
}
