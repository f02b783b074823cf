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

// drainTicket returns a ticket that drains target 0 or puts it back into service.
func drainTicket(number uint64, operator string, drain bool) api.Ticket {
	searcher := api.Searcher{Name: targetName(0), Service: printService, Drain: drain}
	return api.Ticket{Number: number, Operator: operator, Searchers: []api.Searcher{searcher}}
}

func (s *system) apply(replica int, ticket api.Ticket) api.TicketReply {
	s.t.Helper()
	var reply controlrpc.ApplyReply
	assert.NilError(s.t, s.call(replica, controlrpc.MethodApply, &controlrpc.ApplyArgs{Ticket: ticket}, &reply))
	assert.Equal(s.t, reply.Result.Code, controlrpc.CodeOK)
	return reply.Reply
}

// countRunsOnTarget0 sends submits through an entry node and returns how many of
// them ran on target 0. It sends more at a time than one target has slots.
func (s *system) countRunsOnTarget0(entry int) int {
	s.t.Helper()
	const (
		rounds      = 5
		concurrency = 8
	)
	before := len(s.runsOf(0))
	for range rounds {
		var wait sync.WaitGroup
		for range concurrency {
			key := load.NewKey(time.Now(), s.lastKey.Add(1))
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

// awaitRunsOnTarget0 waits until an entry node sends submits to target 0.
func (s *system) awaitRunsOnTarget0(entry int) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if s.countRunsOnTarget0(entry) == 0 {
			return poll.Continue("entry-%d sends no submits to target 0", entry)
		}
		return poll.Success()
	}, poll.WithTimeout(settleTimeout), poll.WithDelay(50*time.Millisecond))
}

// TestDrainWhileOperatorsRace sends two conflicting tickets with the same number,
// one that drains a target and one that keeps it in service. One must win, and
// every entry node must follow it. The next ticket drains the target, and no
// entry node may send it submits after that.
//
// fault: operators-racing x drain
// fault: operators-racing x submit
func TestDrainWhileOperatorsRace(t *testing.T) {
	s := startSystem(t)
	s.awaitRunsOnTarget0(0)
	s.awaitRunsOnTarget0(1)
	replies := make(chan api.TicketReply, 2)
	for i, drain := range []bool{true, false} {
		go func() { replies <- s.apply(i, drainTicket(5, fmt.Sprint("operator-", i), drain)) }()
	}
	winner, loser := <-replies, <-replies
	if loser.Outcome == api.TicketAccepted {
		winner, loser = loser, winner
	}
	assert.Equal(t, winner.Outcome, api.TicketAccepted)
	assert.Equal(t, loser.Outcome, api.TicketConflict)
	assert.Equal(t, loser.WinnerNumber, uint64(5))
	for entry := range entries {
		s.awaitVersion(entry, winner.Version)
		if loser.Winner == "operator-0" {
			assert.Equal(t, s.countRunsOnTarget0(entry), 0, "entry-%d", entry)
			continue
		}
		s.awaitRunsOnTarget0(entry)
	}
	last := s.apply(2, drainTicket(6, "operator-2", true))
	for entry := range entries {
		s.awaitVersion(entry, last.Version)
		assert.Equal(t, s.countRunsOnTarget0(entry), 0, "entry-%d", entry)
	}
}

// TestDrainReachesRestartedNode drains a target and makes hundreds of changes
// while an entry node is down. Once ready again, the node must not send submits to
// the target.
//
// fault: restart-after-changes x drain
// fault: restart-after-changes x submit
func TestDrainReachesRestartedNode(t *testing.T) {
	s := startSystem(t)
	h := newHistory()
	s.awaitRunsOnTarget0(0)
	s.entries[0].kill()
	s.apply(0, drainTicket(2, "ana", true))
	next := uint64(3)
	s.applyTickets(h, 0, &next, 300)
	s.startAndCheckVersion(0, 302)
	assert.Equal(t, s.countRunsOnTarget0(0), 0)
}

// TestDrainReachesDataCentreAfterCut drains a target while one entry node, and
// then while both, can't reach the control group. One node alone must learn of the
// drain from the other. Both must drain the target once the cut ends.
//
// fault: cut-data-centre x drain
// fault: cut-one-way x drain
// fault: control-alone x drain
func TestDrainReachesDataCentreAfterCut(t *testing.T) {
	s := startSystem(t)
	s.awaitRunsOnTarget0(0)
	s.awaitRunsOnTarget0(1)
	writeCuts(t, s.entryCutFiles[0], wire.CutSilent, s.addresses...)
	drained := s.apply(0, drainTicket(2, "ana", true))
	for entry := range entries {
		s.awaitVersion(entry, drained.Version)
	}
	assert.Equal(t, s.countRunsOnTarget0(1), 0)

	writeCuts(t, s.entryCutFiles[1], wire.CutSilent, s.addresses...)
	returned := s.apply(0, drainTicket(3, "ana", false))
	drainedAgain := s.apply(0, drainTicket(4, "ana", true))
	assert.Equal(t, returned.Outcome, api.TicketAccepted)
	for entry := range entries {
		writeCuts(t, s.entryCutFiles[entry], wire.CutNone)
	}
	for entry := range entries {
		s.awaitVersion(entry, drainedAgain.Version)
		assert.Equal(t, s.countRunsOnTarget0(entry), 0, "entry-%d", entry)
	}
}
