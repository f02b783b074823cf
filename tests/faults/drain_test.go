//go:build faults

package faults

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/load"
	"wigeonbay/internal/wire"
)

// drainTicket drains or returns target 0.
func drainTicket(number uint64, operator string, drain bool) api.Ticket {
	searcher := api.Searcher{Name: targetName(0), Service: printService, Drain: drain}
	return api.Ticket{Number: number, Operator: operator, Searchers: []api.Searcher{searcher}}
}

func (s *system) apply(through int, ticket api.Ticket) api.TicketReply {
	s.t.Helper()
	var reply controlrpc.ApplyReply
	assert.NilError(s.t, s.call(through, controlrpc.MethodApply, &controlrpc.ApplyArgs{Ticket: ticket}, &reply))
	assert.Equal(s.t, reply.Result.Code, controlrpc.CodeOK)
	return reply.Reply
}

// work sends submits through an entry node, several at a time so that one
// target alone can't take them all, and returns how many ran on target 0.
func (s *system) work(entry int) int {
	s.t.Helper()
	const (
		waves  = 5
		atOnce = 8
	)
	before := len(s.runsOf(0))
	for range waves {
		var wait sync.WaitGroup
		for range atOnce {
			key := load.NewKey(time.Now(), s.keys.Add(1))
			wait.Go(func() {
				if reply := s.submit(entry, key); reply.Err != nil {
					s.t.Errorf("submit through entry-%d: %v", entry, reply.Err)
				}
			})
		}
		wait.Wait()
	}
	return len(s.runsOf(0)) - before
}

// awaitWork waits until an entry node sends work to target 0.
func (s *system) awaitWork(entry int) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if s.work(entry) == 0 {
			return poll.Continue("entry-%d sends no work to target 0", entry)
		}
		return poll.Success()
	}, poll.WithTimeout(settleTimeout), poll.WithDelay(50*time.Millisecond))
}

// TestDrainWhileOperatorsRace lets two operators race with one number, one to
// drain a target and one to keep it: every entry node follows the winner. The
// next number drains it for certain, and no entry node sends it work then.
//
// fault: operators-racing x drain
// fault: operators-racing x submit
func TestDrainWhileOperatorsRace(t *testing.T) {
	s := startSystem(t)
	s.awaitWork(0)
	s.awaitWork(1)
	replies := make(chan api.TicketReply, 2)
	for i, drain := range []bool{true, false} {
		go func() { replies <- s.apply(i, drainTicket(5, fmt.Sprint("operator-", i), drain)) }()
	}
	a, b := <-replies, <-replies
	if b.Outcome == api.TicketAccepted {
		a, b = b, a
	}
	assert.Equal(t, a.Outcome, api.TicketAccepted)
	assert.Equal(t, b.Outcome, api.TicketConflict)
	assert.Equal(t, b.WinnerNumber, uint64(5))
	for entry := range entries {
		s.inForce(entry, a.Version)
		if b.Winner == "operator-0" {
			assert.Equal(t, s.work(entry), 0, "entry-%d", entry)
			continue
		}
		s.awaitWork(entry)
	}
	last := s.apply(2, drainTicket(6, "operator-2", true))
	for entry := range entries {
		s.inForce(entry, last.Version)
		assert.Equal(t, s.work(entry), 0, "entry-%d", entry)
	}
}

// TestDrainReachesRestartedNode drains a target and makes hundreds of changes
// while an entry node is down: it sends the target no work once it is ready.
//
// fault: restart-after-changes x drain
// fault: restart-after-changes x submit
func TestDrainReachesRestartedNode(t *testing.T) {
	s := startSystem(t)
	h := newHistory()
	s.awaitWork(0)
	s.entries[0].kill()
	s.apply(0, drainTicket(2, "ana", true))
	next := uint64(3)
	s.change(h, 0, &next, 300)
	s.restartReady(0, 302)
	assert.Equal(t, s.work(0), 0)
}

// TestDrainReachesDataCentreAfterCut drains a target while both entry nodes of
// its data centre are cut off from the control group: they take it out once the
// cut ends. With one way cut alone they still learn of it from each other.
//
// fault: cut-data-centre x drain
// fault: cut-one-way x drain
// fault: control-alone x drain
func TestDrainReachesDataCentreAfterCut(t *testing.T) {
	s := startSystem(t)
	s.awaitWork(0)
	s.awaitWork(1)
	writeCuts(t, s.cutFiles[0], wire.CutSilent, s.addresses...)
	drained := s.apply(0, drainTicket(2, "ana", true))
	for entry := range entries {
		s.inForce(entry, drained.Version)
	}
	assert.Equal(t, s.work(1), 0)

	writeCuts(t, s.cutFiles[1], wire.CutSilent, s.addresses...)
	returned := s.apply(0, drainTicket(3, "ana", false))
	again := s.apply(0, drainTicket(4, "ana", true))
	assert.Equal(t, returned.Outcome, api.TicketAccepted)
	for entry := range entries {
		writeCuts(t, s.cutFiles[entry], wire.CutNone)
	}
	for entry := range entries {
		s.inForce(entry, again.Version)
		assert.Equal(t, s.work(entry), 0, "entry-%d", entry)
	}
}
