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

// change accepts the next count tickets through replica through, each of them
// for certain.
func (g *group) change(h *history, through int, next *uint64, count int) {
	g.t.Helper()
	for range count {
		in := ticketInput{number: *next, object: int(*next) % objects, value: int64(*next)}
		*next++
		for deadline := time.Now().Add(settleTimeout); !sendTicket(g, h, 0, through, in); {
			assert.Assert(g.t, time.Now().Before(deadline), "ticket %d was not accepted", in.number)
		}
	}
}

// loseDisk kills a replica and empties its data folder.
func (g *group) loseDisk(i int) {
	g.t.Helper()
	g.processes[i].kill()
	assert.NilError(g.t, os.RemoveAll(filepath.Join(g.processes[i].folder, "data")))
}

// replace asks for the replacement of a replica by itself, through replica
// through, until the group says "repaired".
func (g *group) replace(i, through int) {
	g.t.Helper()
	args := &controlrpc.ReplaceArgs{Old: g.name(i), New: g.name(i), Address: g.addresses[i], DataCentre: dataCentres[i]}
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		var reply controlrpc.ReplaceReply
		err := g.call(through, controlrpc.MethodReplace, args, &reply)
		if err != nil || !reply.Repaired {
			return poll.Continue("replace %s: %v %+v", g.name(i), err, reply)
		}
		return poll.Success()
	}, poll.WithTimeout(settleTimeout), poll.WithDelay(50*time.Millisecond))
}

// read waits until a quorum confirms the configuration through a replica.
func (g *group) read(h *history, through int) {
	g.t.Helper()
	before := len(h.operations)
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		readConfig(g, h, 9, through)
		if len(h.operations) == before {
			return poll.Continue("%s confirms nothing", g.name(through))
		}
		return poll.Success()
	}, poll.WithTimeout(settleTimeout), poll.WithDelay(50*time.Millisecond))
}

// TestSecondLossRightAfterRepair loses the disk of one replica after the other
// is down, repairs it under changes, and then loses another disk for good right
// after "repaired": everything accepted must still stand.
//
// fault: lost-disk x repair
// fault: lost-disk x ticket
// fault: two-at-once x repair
// fault: kill x repair
func TestSecondLossRightAfterRepair(t *testing.T) {
	for first := range replicas {
		t.Run(dataCentres[first], func(t *testing.T) {
			g := startGroup(t)
			h := newHistory()
			second, third := (first+1)%replicas, (first+2)%replicas
			next := uint64(1)
			// These are on the disks of first and second alone.
			g.processes[third].kill()
			g.change(h, second, &next, 50)
			g.processes[third].start()
			g.loseDisk(first)
			g.processes[first].start()
			g.replace(first, second)
			g.loseDisk(second)
			g.change(h, third, &next, 20)
			g.read(h, third)
			g.read(h, first)
			h.check(t, ticketModel())
		})
	}
}

// TestEmptyDiskDecidesNothing empties a replica's disk and stops one of the
// others: the emptied one must not make up a quorum under its old identity.
//
// fault: lost-disk x restart
func TestEmptyDiskDecidesNothing(t *testing.T) {
	g := startGroup(t)
	h := newHistory()
	next := uint64(1)
	g.processes[1].kill()
	g.change(h, 0, &next, 20)
	g.loseDisk(0)
	g.processes[1].start()
	g.processes[0].start()
	g.change(h, 2, &next, 20) // 1 and 2 are a quorum
	g.processes[2].kill()
	// What replica 1 holds is a third of the group; the emptied one adds none.
	refusedUntil := time.Now().Add(3 * time.Second)
	for time.Now().Before(refusedUntil) {
		for i := range 2 {
			var reply controlrpc.FetchReply
			err := g.call(i, controlrpc.MethodFetch, &controlrpc.FetchArgs{Confirmed: true}, &reply)
			assert.Assert(t, err != nil || reply.Result.Code != controlrpc.CodeOK, "%s confirmed %+v", g.name(i), reply)
		}
	}
	g.processes[2].start()
	g.read(h, 2)
	h.check(t, ticketModel())
}

// Times of a repair under a fault.
const (
	repairWork = 4 * time.Second
	// struckFor is longer than an election takes.
	struckFor = time.Second
)

// checkRepair repairs the lost disk of replica 1 while operators race. strike
// causes a fault before the repair begins and returns how to end it, which
// happens while the repair is asked for. Another disk is lost for good after
// that.
func checkRepair(t *testing.T, strike func(g *group) (end func())) {
	t.Helper()
	g := startGroup(t)
	h := newHistory()
	work, cancel := context.WithTimeout(context.Background(), repairWork)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		operate(work, g, h)
	}()
	pause(struckFor)
	g.loseDisk(1)
	end := strike(g)
	g.processes[1].start()
	time.AfterFunc(struckFor, end)
	g.replace(1, 0)
	<-done
	g.loseDisk(2)
	g.read(h, 0)
	g.read(h, 1)
	h.check(t, ticketModel())
}

// TestRepairWhileReplicasFreeze stops one of the replicas whose votes the
// repair needs, and continues it.
//
// fault: stop-continue x repair
// fault: operators-racing x repair
func TestRepairWhileReplicasFreeze(t *testing.T) {
	for _, victim := range []int{0, 2} {
		t.Run(dataCentres[victim], func(t *testing.T) {
			checkRepair(t, func(g *group) func() {
				g.processes[victim].freeze()
				return g.processes[victim].thaw
			})
		})
	}
}

// TestRepairUnderCuts cuts the emptied replica off both ways or one way, or has
// the connections between the others go silent for good.
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

// TestRepairAfterHundredsOfChanges repairs a replica that must take a snapshot,
// after it was isolated for all of the changes.
//
// fault: restart-after-changes x repair
// fault: control-alone x repair
// fault: cut-data-centre x repair
func TestRepairAfterHundredsOfChanges(t *testing.T) {
	g := startGroup(t)
	h := newHistory()
	next := uint64(1)
	g.isolate(2)
	g.change(h, 0, &next, 500)
	g.loseDisk(2)
	g.heal()
	g.processes[2].start()
	g.replace(2, 1)
	g.loseDisk(0)
	g.read(h, 1)
	g.read(h, 2)
	h.check(t, ticketModel())
}
