//go:build faults

package faults

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/wire"
)

// applyTickets applies the next count tickets through a replica, and sends each
// one until its outcome is known.
func (g *group) applyTickets(h *history, replica int, next *uint64, count int) {
	g.t.Helper()
	for range count {
		in := ticketInput{number: *next, object: int(*next) % objects, value: int64(*next)}
		*next++
		for deadline := time.Now().Add(settleTimeout); !sendTicket(g, h, 0, replica, in); {
			assert.Assert(g.t, time.Now().Before(deadline), "ticket %d was not accepted", in.number)
		}
	}
}

// loseDisk kills a replica and removes its data folder.
func (g *group) loseDisk(i int) {
	g.t.Helper()
	g.processes[i].kill()
	assert.NilError(g.t, os.RemoveAll(filepath.Join(g.processes[i].folder, "data")))
}

// repair requests the replacement of a replica by itself through another replica
// until the reply says that the group is repaired.
func (g *group) repair(i, replica int) {
	g.t.Helper()
	args := &controlrpc.ReplaceArgs{Old: g.name(i), New: g.name(i), Address: g.addresses[i], DataCentre: dataCentres[i]}
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		var reply controlrpc.ReplaceReply
		err := g.call(replica, controlrpc.MethodReplace, args, &reply)
		if err != nil || !reply.Repaired {
			return poll.Continue("replace %s: %v %+v", g.name(i), err, reply)
		}
		return poll.Success()
	}, poll.WithTimeout(settleTimeout), poll.WithDelay(50*time.Millisecond))
}

// awaitConfirmedRead reads the configuration through a replica until a quorum
// confirms it.
func (g *group) awaitConfirmedRead(h *history, replica int) {
	g.t.Helper()
	before := len(h.operations)
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		readConfig(g, h, 9, replica)
		if len(h.operations) == before {
			return poll.Continue("%s confirms no read", g.name(replica))
		}
		return poll.Success()
	}, poll.WithTimeout(settleTimeout), poll.WithDelay(50*time.Millisecond))
}

// TestSecondDiskLossRightAfterRepair repairs a replica that lost its disk, and then
// the replica that the repair went through loses its disk for good. The third
// replica was down while tickets were accepted, so all of them must have been
// copied to the repaired replica or the third one before the group reports that it
// is repaired.
//
// fault: lost-disk x repair
// fault: lost-disk x ticket
// fault: two-at-once x repair
// fault: kill x repair
func TestSecondDiskLossRightAfterRepair(t *testing.T) {
	for first := range replicas {
		t.Run(dataCentres[first], func(t *testing.T) {
			g := startGroup(t)
			h := newHistory()
			second, third := (first+1)%replicas, (first+2)%replicas
			next := uint64(1)
			// These tickets are only on the disks of first and second.
			g.processes[third].kill()
			g.applyTickets(h, second, &next, 50)
			g.processes[third].start()
			g.loseDisk(first)
			g.processes[first].start()
			g.repair(first, second)
			g.loseDisk(second)
			g.applyTickets(h, third, &next, 20)
			g.awaitConfirmedRead(h, third)
			g.awaitConfirmedRead(h, first)
			h.check(t, ticketModel())
		})
	}
}

// TestReplicaWithEmptyDiskIsNotCountedInQuorum restarts a replica with an empty
// disk and kills one of the others. The remaining replica must not form a quorum
// with the empty one, which may not use its old identity.
//
// fault: lost-disk x restart
func TestReplicaWithEmptyDiskIsNotCountedInQuorum(t *testing.T) {
	g := startGroup(t)
	h := newHistory()
	next := uint64(1)
	g.processes[1].kill()
	g.applyTickets(h, 0, &next, 20)
	g.loseDisk(0)
	g.processes[1].start()
	g.processes[0].start()
	g.applyTickets(h, 2, &next, 20) // 1 and 2 are a quorum
	g.processes[2].kill()
	// Replica 1 is one of three, and the empty one doesn't count.
	refusedUntil := time.Now().Add(3 * time.Second)
	for time.Now().Before(refusedUntil) {
		for i := range 2 {
			var reply controlrpc.FetchReply
			err := g.call(i, controlrpc.MethodFetch, &controlrpc.FetchArgs{Confirmed: true}, &reply)
			assert.Assert(t, err != nil || reply.Result.Code != controlrpc.CodeOK, "%s confirmed %+v", g.name(i), reply)
		}
	}
	g.processes[2].start()
	g.awaitConfirmedRead(h, 2)
	h.check(t, ticketModel())
}

// Durations in checkRepair.
const (
	operateTime = 4 * time.Second
	// repairFaultTime is how long a fault lasts; it is longer than an election takes.
	repairFaultTime = time.Second
)

// checkRepair repairs replica 1 after the loss of its disk while operators send
// conflicting tickets. injectFault causes a fault before the repair begins and
// returns the function that ends it, which is called repairFaultTime after the
// emptied replica has started. After the repair, another disk is lost for good.
func checkRepair(t *testing.T, injectFault func(g *group) (endFault func())) {
	t.Helper()
	g := startGroup(t)
	h := newHistory()
	ctx, cancel := context.WithTimeout(context.Background(), operateTime)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		runOperators(ctx, g, h)
	}()
	pause(repairFaultTime)
	g.loseDisk(1)
	endFault := injectFault(g)
	g.processes[1].start()
	time.AfterFunc(repairFaultTime, endFault)
	g.repair(1, 0)
	<-done
	g.loseDisk(2)
	g.awaitConfirmedRead(h, 0)
	g.awaitConfirmedRead(h, 1)
	h.check(t, ticketModel())
}

// TestRepairWhileVoterIsSuspended suspends and resumes one of the replicas whose
// votes the repair needs.
//
// fault: stop-continue x repair
// fault: operators-racing x repair
func TestRepairWhileVoterIsSuspended(t *testing.T) {
	for _, victim := range []int{0, 2} {
		t.Run(dataCentres[victim], func(t *testing.T) {
			checkRepair(t, func(g *group) func() {
				g.processes[victim].suspend()
				return g.processes[victim].resume
			})
		})
	}
}

// TestRepairUnderCuts cuts the emptied replica off in both directions or in one, or
// lets the existing connections between the other replicas go silent.
//
// fault: cut-both x repair
// fault: cut-one-way x repair
// fault: silent-connection x repair
func TestRepairUnderCuts(t *testing.T) {
	for _, tc := range []struct {
		name string
		cut  func(*group)
	}{
		{name: "both ways", cut: func(g *group) { g.isolate(1) }},
		{name: "one way", cut: func(g *group) {
			g.cut(0, wire.CutSilent, 1)
			g.cut(2, wire.CutSilent, 1)
		}},
		{name: "silent connections", cut: func(g *group) {
			g.cut(0, wire.CutSilentOld, 2)
			g.cut(2, wire.CutSilentOld, 0)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			checkRepair(t, func(g *group) func() {
				tc.cut(g)
				return g.heal
			})
		})
	}
}

// TestRepairAfterHundredsOfChanges repairs a replica that was isolated during
// hundreds of changes, so that the repair needs a snapshot.
//
// fault: restart-after-changes x repair
// fault: control-alone x repair
// fault: cut-data-centre x repair
func TestRepairAfterHundredsOfChanges(t *testing.T) {
	g := startGroup(t)
	h := newHistory()
	next := uint64(1)
	g.isolate(2)
	g.applyTickets(h, 0, &next, 500)
	g.loseDisk(2)
	g.heal()
	g.processes[2].start()
	g.repair(2, 1)
	g.loseDisk(0)
	g.awaitConfirmedRead(h, 1)
	g.awaitConfirmedRead(h, 2)
	h.check(t, ticketModel())
}
