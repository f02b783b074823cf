package forward

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

// endWith applies the end of an attempt with what the target demands.
func (h *harness) endWith(a AttemptID, outcome Outcome, status int, d Demand) []Effect {
	h.t.Helper()
	delete(h.inFlight, a)
	return h.apply(AttemptEnded{Attempt: a, Outcome: outcome, Status: status, Demand: d})
}

// announceReady announces a newer record of a target, as ready.
func (h *harness) announceReady(id api.TargetID, incarnation uint64, address string) {
	a := h.state.targets[id].announcement
	a.State, a.Sequence, a.Incarnation, a.Address = api.TargetReady, a.Sequence+1, incarnation, address
	h.apply(TargetChanged{Announcement: a})
}

// TestTargetThatSaysItLeavesGetsNothing lets a target say in each kind of reply that it
// leaves, and then announce that it is ready.
//
// fault: delayed-replies x drain
func TestTargetThatSaysItLeavesGetsNothing(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeSuccess, OutcomeFailure, OutcomeNotRun} {
		t.Run(outcome.String(), func(t *testing.T) {
			h := newHarness(t, newTable(1, plainRoute("h", "a", true)))
			h.addTarget("t1", "a", home)
			first, second := h.arrive("h"), h.arrive("h")
			inFlight := h.onlySend(second)
			reported := find[ReportLeaving](h.endWith(h.onlySend(first).Attempt, outcome, 200, Demand{Leaving: true}))
			assert.Equal(t, len(reported), 1)
			assert.Equal(t, reported[0].Announcement.Target, api.TargetID("t1"))

			address := h.state.targets["t1"].announcement.Address
			h.announceReady("t1", 1, address)
			assert.Equal(t, len(h.sends(h.arrive("h"))), 0, "an announcement must not bring it back")
			h.announceReady("t1", 1, "10.0.0.9:1")
			assert.Equal(t, len(h.sends(h.arrive("h"))), 0, "nor must one with another address")
			assert.Equal(t, len(find[Relay](h.endAttempt(inFlight.Attempt, OutcomeSuccess, 200))), 1, "what it runs is awaited")

			h.announceReady("t1", 2, address)
			assert.Equal(t, len(h.sends(h.arrive("h"))), 1, "a new incarnation serves")
		})
	}
}

// TestLateReplyOfAnEarlierIncarnationIsNoDemand ends an attempt after its target has been
// replaced by a new incarnation.
func TestLateReplyOfAnEarlierIncarnationIsNoDemand(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", true)))
	h.addTarget("t1", "a", home)
	old := h.onlySend(h.arrive("h"))
	h.announceReady("t1", 2, "10.0.0.9:1")
	effects := h.endWith(old.Attempt, OutcomeSuccess, 200, Demand{Leaving: true, RetryAfter: time.Minute})
	assert.Equal(t, len(find[HoldBack](effects))+len(find[ReportLeaving](effects)), 0)
	assert.Equal(t, len(h.sends(h.arrive("h"))), 1)
}

// TestLeavingTargetIsNeitherHedgedNorProbed checks the other ways to reach a target.
func TestLeavingTargetIsNeitherHedgedNorProbed(t *testing.T) {
	h := newHarness(t, newTable(1, gatherRoute("h", "a")))
	h.addTarget("t1", "a", home)
	h.addTarget("t2", "a", away)
	h.endWith(h.onlySend(h.arrive("h")).Attempt, OutcomeSuccess, 200, Demand{})
	h.state.applyDemand(h.state.targets["t2"], Demand{Leaving: true})
	request := h.arrive("h")
	h.fireTimer(request)
	assert.Equal(t, len(h.sends(request)), 1, "a hedge must not go to a leaving target")

	h.state.recordFailure(h.state.targets["t2"])
	h.state.recordFailure(h.state.targets["t2"])
	h.advance(time.Minute)
	assert.Equal(t, len(find[Probe](h.apply(Tick{}))), 0)
}

// TestRetryTimeOfATargetIsKept refuses a request with a retry time and sends requests
// until it has passed.
//
// fault: overload x forward
func TestRetryTimeOfATargetIsKept(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", true)))
	h.addTarget("t1", "a", home)
	h.addTarget("t2", "a", away)
	request := h.arrive("h")
	first := h.onlySend(request)
	assert.Equal(t, first.Target, api.TargetID("t1"))
	held := find[HoldBack](h.endWith(first.Attempt, OutcomeNotRun, 503, Demand{RetryAfter: 2 * time.Second}))
	assert.Equal(t, held[0].Until, h.now.Add(2*time.Second))
	assert.Equal(t, h.onlySend(request).Target, api.TargetID("t2"), "the request goes to another target")
	h.endAttempt(h.onlySend(request).Attempt, OutcomeSuccess, 200)
	assert.Equal(t, h.state.targets["t1"].errorRate(h.now), 0.0, "it is no failure of the target")

	for end := held[0].Until; h.now.Before(end); h.advance(50 * time.Millisecond) {
		request = h.arrive("h")
		assert.Equal(t, h.onlySend(request).Target, api.TargetID("t2"))
		h.endAttempt(h.onlySend(request).Attempt, OutcomeSuccess, 200)
	}
	sent := map[api.TargetID]int{}
	for range 4 {
		for _, send := range h.sends(h.arrive("h")) {
			sent[send.Target]++
		}
	}
	assert.Equal(t, sent["t1"], 1, "after the time one request at a time asks it")
	for _, send := range h.inFlight {
		h.endAttempt(send.Attempt, OutcomeSuccess, 200)
	}
	assert.Assert(t, h.state.targets["t1"].hasRoom(h.now), "a reply ends that")
}

// TestShorterRetryTimeDoesNotReplaceALongerOne checks two refusals of one target.
func TestShorterRetryTimeDoesNotReplaceALongerOne(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", true)))
	h.addTarget("t1", "a", home)
	one, two := h.onlySend(h.arrive("h")), h.onlySend(h.arrive("h"))
	h.endWith(one.Attempt, OutcomeNotRun, 503, Demand{RetryAfter: 5 * time.Second})
	h.endWith(two.Attempt, OutcomeNotRun, 503, Demand{RetryAfter: time.Second})
	h.advance(4 * time.Second)
	assert.Equal(t, len(h.sends(h.arrive("h"))), 0)
}

// TestCallersAreRefusedAtOnceWhileAllTargetsWantNothing holds all targets back. The retry
// time of the refusals follows from theirs, and one that ends in time is waited for.
//
// fault: overload x forward
func TestCallersAreRefusedAtOnceWhileAllTargetsWantNothing(t *testing.T) {
	for _, route := range []api.Route{plainRoute("h", "a", true), gatherRoute("h", "a", "b")} {
		h := newHarness(t, newTable(1, route))
		h.addTarget("t1", "a", home)
		h.addTarget("t2", "b", home)
		h.state.applyDemand(h.state.targets["t1"], Demand{RetryAfter: 2 * time.Second})
		h.state.applyDemand(h.state.targets["t2"], Demand{RetryAfter: time.Second})
		before := len(h.allEffects)
		h.arrive("h")
		refused := find[Refuse](h.allEffects[before:])
		assert.Equal(t, len(refused), 1, "the request must not wait until its deadline")
		assert.Equal(t, refused[0].Status, http.StatusServiceUnavailable)
		assert.Assert(t, refused[0].RetryAfter >= 2*time.Second && refused[0].RetryAfter <= 3*time.Second, "%v", refused[0].RetryAfter)

		h.advance(1995 * time.Millisecond)
		request := h.arrive("h")
		h.fireTimer(request)
		assert.Equal(t, len(h.sends(request)), len(h.state.requests[request].parts), "a time that ends soon is waited for")
		assert.Assert(t, !h.now.Before(h.state.targets["t1"].retryAt))
	}
}

// TestWaitingPartsAreDroppedWhenTheirTargetWantsNothing queues requests at a full target
// that then refuses one with a retry time.
//
// fault: overload x forward
func TestWaitingPartsAreDroppedWhenTheirTargetWantsNothing(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", true)))
	h.addTarget("t1", "a", home)
	var waiting []RequestID
	for len(h.sends(h.arrive("h"))) > 0 {
	}
	waiting = append(waiting, h.lastRequest, h.arrive("h"))
	var first Send
	for _, send := range h.inFlight {
		first = send
	}
	refused := find[Refuse](h.endWith(first.Attempt, OutcomeNotRun, 503, Demand{RetryAfter: 5 * time.Second}))
	refusedIDs := map[RequestID]bool{}
	for _, r := range refused {
		refusedIDs[r.Request] = true
		assert.Equal(t, r.Status, http.StatusServiceUnavailable)
		assert.Assert(t, r.RetryAfter >= 5*time.Second, "%v", r.RetryAfter)
	}
	for _, id := range waiting {
		assert.Assert(t, refusedIDs[id], "request %d waits for a target that wants nothing", id)
	}
}

// TestAttemptThatWasHeldBackIsRepeatedWithoutBudget ends an attempt that waited for its
// connection when the target asked for a pause.
func TestAttemptThatWasHeldBackIsRepeatedWithoutBudget(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", false)))
	h.addTarget("t1", "a", home)
	h.addTarget("t2", "a", away)
	request := h.arrive("h")
	h.state.applyDemand(h.state.targets["t1"], Demand{RetryAfter: time.Second})
	before := h.state.pools["a"].budget
	h.endAttempt(h.onlySend(request).Attempt, OutcomeHeldBack, 0)
	assert.Equal(t, h.onlySend(request).Target, api.TargetID("t2"))
	assert.Equal(t, h.state.pools["a"].budget, before, "nothing was sent, so nothing is counted")
	assert.Equal(t, h.state.targets["t1"].failures, 0)
}
