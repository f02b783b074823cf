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
	args := &controlrpc.ClaimArgs{
		Key: key, KeyTimeUnixMS: time.Now().UnixMilli(), Claim: claim, Claimant: "e1", Service: "fatura", Fingerprint: 7,
	}
	var reply controlrpc.ClaimReply
	assert.NilError(g.t, g.call(g.peer(id).Address, controlrpc.MethodClaim, args, &reply))
	return reply
}

// untilCurrent waits until a replica has applied a version and a quorum has
// confirmed it.
func (g *group) untilCurrent(id string, version uint64) {
	g.t.Helper()
	g.until(id+" is current", func() error {
		reply, err := g.fetch(id, controlrpc.FetchArgs{Confirmed: true})
		if err != nil || reply.Result.Code != controlrpc.CodeOK || reply.Applied < version {
			return fmt.Errorf("%v, %+v", err, reply)
		}
		return nil
	})
}

// TestIsolatedReplicaDoesNotAnswerAsCurrent leaves a replica alone while the
// others go on.
//
// fault: control-alone x ticket
// fault: control-alone x submit
func TestIsolatedReplicaDoesNotAnswerAsCurrent(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.startAll()
	g.mustApply("a", 1)
	leader := g.leader()
	alone := g.other(leader)
	g.untilCurrent(alone, 1)
	g.network.isolate(g.peer(alone).Address)
	g.mustApply(leader, 2)

	const stale = 1000 // milliseconds, over the time in which a leader may be elected
	g.until("age shows", func() error {
		reply, err := g.fetch(alone, controlrpc.FetchArgs{})
		assert.NilError(t, err)
		assert.Equal(t, reply.Applied, uint64(1))
		if reply.QuorumAgeMS < 4*stale/3 {
			return fmt.Errorf("age %d", reply.QuorumAgeMS)
		}
		return nil
	})
	confirmed, err := g.fetch(alone, controlrpc.FetchArgs{Confirmed: true})
	assert.NilError(t, err)
	assert.Equal(t, confirmed.Result.Code, controlrpc.CodeNoQuorum)
	assert.Equal(t, len(confirmed.Delta.Tickets), 0)
	refused := []controlrpc.Result{
		g.apply(alone, 3).Result,
		g.claim(alone, "k1", 1).Result,
	}
	for _, result := range refused {
		assert.Equal(t, result.Code, controlrpc.CodeNoQuorum)
		assert.Assert(t, result.NotApplied, "a call that reached no leader is certain: %+v", result)
	}
	var history controlrpc.HistoryReply
	assert.NilError(t, g.call(g.peer(alone).Address, controlrpc.MethodHistory, &controlrpc.HistoryArgs{}, &history))
	assert.Equal(t, history.Result.Code, controlrpc.CodeNoQuorum)

	g.network.heal(g.peer(alone).Address)
	g.untilCurrent(alone, 2)
}

// TestIsolatedLeaderStatesDoubtHonestly cuts the leader off while tickets are
// under way: one that it calls not applied must never turn up.
//
// fault: cut-both x ticket
func TestIsolatedLeaderStatesDoubtHonestly(t *testing.T) {
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
	g.until("history", func() error {
		history = controlrpc.HistoryReply{}
		err := g.call(g.peer(leader).Address, controlrpc.MethodHistory, &controlrpc.HistoryArgs{}, &history)
		if err != nil || history.Result.Code != controlrpc.CodeOK {
			return fmt.Errorf("%v %+v", err, history.Result)
		}
		return nil
	})
	stands := map[uint64]bool{}
	for _, entry := range history.Entries {
		stands[entry.Ticket.Number] = true
	}
	for i, reply := range replies {
		number := uint64(10 + i)
		if reply.Result.NotApplied {
			assert.Assert(t, !stands[number], "ticket %d was called not applied and stands", number)
		}
		if reply.Result.Code == controlrpc.CodeOK && reply.Reply.Outcome == api.TicketAccepted {
			assert.Assert(t, stands[number], "ticket %d was accepted and is gone", number)
		}
	}
}

// TestRacingOperatorsGetOneWinner sends different tickets under one number
// through all replicas at once.
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
			assert.Equal(t, winner, "", "two operators won number 5")
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

// failingFS fails every sync of a file once told to.
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

// TestFailedSyncStopsTheReplica fails the disk of the leader.
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
	assert.Assert(t, !reply.Result.NotApplied, "the others may have committed it: %+v", reply.Result)
	second := g.other(leader)
	g.mustApply(second, 2)
	g.kill(leader)
	g.start(g.peer(leader), Options{}, false)
	g.untilCurrent(leader, 2)
}

// TestShutdownCutsOffNoCall stops replicas, the leader among them, while calls
// are under way through them.
func TestShutdownCutsOffNoCall(t *testing.T) {
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
				// A call that begins after the end may find nobody there, but
				// one that was taken in gets its answer.
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
		g.untilCurrent(id, 1)
	}
}

// TestSilentConnectionsAreReplaced has every connection between the replicas go
// silent for good at once, while new ones work.
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
		g.untilCurrent(peer.ID, 4)
	}
}
