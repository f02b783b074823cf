package forward

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/isolation"
)

var (
	nearPeer = Peer{Node: "near", DataCentre: home, Address: "near:1"}
	farPeer  = Peer{Node: "far", DataCentre: away, Address: "far:1"}
)

// newIsolatedHarness returns a node that knows two peers and that no target answers.
func newIsolatedHarness(t *testing.T, routes ...api.Route) *harness {
	routes = append(routes, plainRoute("silent", "silent", false))
	h := newHarness(t, newTable(3, routes...))
	for _, id := range []string{"s1", "s2", "s3"} {
		h.addTarget(id, "silent", home)
		h.arrive("silent")
	}
	h.apply(PeersChanged{Peers: []Peer{farPeer, nearPeer}})
	h.tickFor(isolation.Silence)
	assert.Assert(t, h.state.Isolated())
	return h
}

// onlyDelegation returns the only Delegate among effects.
func onlyDelegation(t *testing.T, effects []Effect) Delegate {
	t.Helper()
	found := find[Delegate](effects)
	assert.Equal(t, len(found), 1)
	return found[0]
}

// arriveAt is like arrive and returns the effects.
func (h *harness) arriveAt(host string) (RequestID, []Effect) {
	before := len(h.allEffects)
	id := h.arrive(host)
	return id, h.allEffects[before:]
}

func TestIsolatedNodePassesRequestsOn(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		h := newIsolatedHarness(t, plainRoute("h", "a", idempotent))
		h.addTarget("ta", "a", home)
		id, effects := h.arriveAt("h")
		d := onlyDelegation(t, effects)
		assert.Equal(t, d.Peer, nearPeer)
		assert.Equal(t, d.Attempts, 2)
		assert.Equal(t, d.TableVersion, uint64(3))
		assert.Assert(t, !d.Repeated)
		assert.Assert(t, d.PeerDeadline.Before(d.Deadline) && d.Deadline.Before(h.now.Add(3*time.Second)), "the response must be back before the caller's deadline")
		assert.Equal(t, len(h.sends(id)), 0)
		answered := h.apply(DelegationEnded{Delegation: d.Delegation, Outcome: DelegationAnswered, Status: 200})
		assert.Equal(t, len(find[PassOn](answered)), 1)
		assert.Equal(t, h.state.InProgress(), 3, "only the requests to the silent targets are left")
	}
}

// TestRequestWithoutReachableTargetIsPassedOn has a node reach most targets, but none of
// one pool.
//
// fault: cut-from-targets x forward
func TestRequestWithoutReachableTargetIsPassedOn(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", true), gatherRoute("g", "a", "b", "c"), plainRoute("o", "b", true)))
	for _, id := range []string{"a1", "b1", "b2", "c1", "c2"} {
		h.addTarget(id, id[:1], home)
	}
	h.apply(PeersChanged{Peers: []Peer{nearPeer}})
	h.makeUnreachable("h")
	_, effects := h.arriveAt("h")
	d := onlyDelegation(t, effects)
	id := h.arrive("g")
	assert.Equal(t, len(h.sends(id)), 2, "the gather reaches its least coverage here")
	id = h.arrive("o")
	assert.Equal(t, len(h.sends(id)), 1)

	refused := h.apply(DelegationEnded{Delegation: d.Delegation, Outcome: DelegationRefused, Status: 503, Reason: ReasonNoTarget, RetryAfter: time.Second})
	assert.Equal(t, find[Refuse](refused)[0].RetryAfter, time.Second, "as the peer says")
	_, effects = h.arriveAt("h")
	assert.Equal(t, len(find[Delegate](effects)), 0, "the peer has no target either")
	h.advance(lackPause)
	_, effects = h.arriveAt("h")
	onlyDelegation(t, effects)
}

// makeUnreachable fails requests of a route until its pool's targets are unreachable.
func (h *harness) makeUnreachable(host string) {
	for range failuresToUnreachable {
		for id := h.arrive(host); len(h.sends(id)) > 0; {
			h.endAttempt(h.sends(id)[0].Attempt, OutcomeNotSent, 0)
		}
	}
}

// TestImpairedNodePassesOnWhatItDoesNotReach has a node fail to reach most targets, whose
// open connections still carry replies of the others.
func TestImpairedNodePassesOnWhatItDoesNotReach(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", true), gatherRoute("g", "a", "b", "c", "d"), plainRoute("o", "b", true)))
	for _, id := range []string{"a1", "a2", "a3", "b1", "c1"} {
		h.addTarget(id, id[:1], home)
	}
	h.apply(PeersChanged{Peers: []Peer{nearPeer}})
	for range failuresToUnreachable + 1 {
		h.makeUnreachable("h")
	}
	assert.Assert(t, h.state.Impaired() && !h.state.Isolated())
	_, effects := h.arriveAt("g")
	onlyDelegation(t, effects)
	id, effects := h.arriveAt("o")
	assert.Equal(t, len(find[Delegate](effects)), 0)
	assert.Equal(t, len(h.sends(id)), 1)
}

// TestPeerOutcomes ends the delegation of a request with each outcome.
//
// fault: kill x forward
// fault: stop-continue x forward
func TestPeerOutcomes(t *testing.T) {
	refused := func(status int, reason Reason) DelegationEnded {
		ended := DelegationEnded{Outcome: DelegationRefused, Status: status, Reason: reason}
		if status == http.StatusServiceUnavailable {
			ended.RetryAfter = 200 * time.Millisecond
		}
		return ended
	}
	cases := []struct {
		name  string
		ended DelegationEnded
		// next reports that another peer is asked, else status is that of the refusal.
		next   bool
		status int
	}{
		{"answered with an error", DelegationEnded{Outcome: DelegationAnswered, Status: 500}, false, 0},
		{"not sent", DelegationEnded{Outcome: DelegationNotSent}, true, 0},
		{"stops", refused(503, ReasonShutdown), true, 0},
		{"impaired too", refused(503, ReasonIsolated), true, 0},
		{"other table", refused(503, ReasonOtherTable), true, 0},
		{"full", refused(503, ReasonOverload), true, 0},
		{"request crashes targets", refused(503, ReasonCrashes), false, 503},
		{"may have run", refused(502, ReasonFailed), false, 502},
		{"late", refused(504, ReasonTimeout), false, 504},
		{"too late to be sent", refused(408, ReasonExpired), false, 408},
		{"lost", DelegationEnded{Outcome: DelegationLost}, false, 502},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newIsolatedHarness(t, plainRoute("h", "a", false))
			h.addTarget("ta", "a", home)
			_, effects := h.arriveAt("h")
			ended := tc.ended
			ended.Delegation = onlyDelegation(t, effects).Delegation
			effects = h.apply(ended)
			if tc.next {
				assert.Equal(t, onlyDelegation(t, effects).Peer, farPeer)
				return
			}
			assert.Equal(t, len(find[Delegate](effects)), 0)
			if tc.status == 0 {
				assert.Equal(t, find[PassOn](effects)[0].Status, ended.Status)
				return
			}
			refusal := find[Refuse](effects)[0]
			assert.Equal(t, refusal.Status, tc.status)
			assert.Equal(t, refusal.RetryAfter > 0, tc.status == http.StatusServiceUnavailable)
		})
	}
}

// TestUnablePeerIsAvoidedForAWhile has a peer refuse a request because it stops.
func TestUnablePeerIsAvoidedForAWhile(t *testing.T) {
	h := newIsolatedHarness(t, plainRoute("h", "a", true))
	_, effects := h.arriveAt("h")
	h.apply(DelegationEnded{Delegation: onlyDelegation(t, effects).Delegation, Outcome: DelegationRefused, Status: 503, Reason: ReasonShutdown})
	_, effects = h.arriveAt("h")
	assert.Equal(t, onlyDelegation(t, effects).Peer, farPeer)
	h.advance(peerPause)
	_, effects = h.arriveAt("h")
	assert.Equal(t, onlyDelegation(t, effects).Peer, nearPeer)
}

// TestPeerThatDoesNotAnswerIsChosenLast freezes the nearest peer with requests on it.
//
// fault: stop-continue x forward
func TestPeerThatDoesNotAnswerIsChosenLast(t *testing.T) {
	h := newIsolatedHarness(t, plainRoute("h", "a", true))
	h.arrive("h")
	h.advance(peerStall + time.Millisecond)
	_, effects := h.arriveAt("h")
	assert.Equal(t, onlyDelegation(t, effects).Peer, farPeer)
}

func TestIsolatedNodeWithoutPeerThatTakesRequestsRefusesAtOnce(t *testing.T) {
	h := newIsolatedHarness(t, plainRoute("h", "a", true))
	h.addTarget("ta", "a", home)
	_, effects := h.arriveAt("h")
	for range 2 {
		effects = h.apply(DelegationEnded{Delegation: onlyDelegation(t, effects).Delegation, Outcome: DelegationNotSent})
	}
	refusal := find[Refuse](effects)[0]
	assert.Equal(t, refusal.Status, http.StatusServiceUnavailable)
	assert.Assert(t, refusal.RetryAfter > 0)
	_, effects = h.arriveAt("h")
	assert.Equal(t, find[Refuse](effects)[0].Reason, ReasonIsolated)
}

// TestPassedOnRequestEndsWithItsCaller checks that the peer is told when the caller leaves
// or the time is over.
//
// fault: delayed-replies x forward
func TestPassedOnRequestEndsWithItsCaller(t *testing.T) {
	for _, gone := range []bool{true, false} {
		h := newIsolatedHarness(t, plainRoute("h", "a", false))
		id, effects := h.arriveAt("h")
		d := onlyDelegation(t, effects)
		if gone {
			effects = h.apply(CallerGone{Request: id})
		} else {
			effects = h.fireTimer(id)
			assert.Equal(t, find[Refuse](effects)[0].Status, http.StatusGatewayTimeout, "the peer may have run it")
		}
		assert.DeepEqual(t, find[CancelDelegation](effects), []CancelDelegation{{Delegation: d.Delegation}})
		assert.Equal(t, len(h.apply(DelegationEnded{Delegation: d.Delegation, Outcome: DelegationAnswered, Status: 200})), 0)
	}
}

// TestPeersRequestIsNotPassedOn checks when a node takes a request of a peer, and that it
// asks no further node.
func TestPeersRequestIsNotPassedOn(t *testing.T) {
	passed := func(h *harness, version uint64) []Effect {
		h.lastRequest++
		return h.apply(RequestArrived{
			Request: h.lastRequest, Host: "h", Path: "/a/x", Deadline: h.now.Add(2 * time.Second),
			FromPeer: &FromPeer{TableVersion: version, Attempts: 1},
		})
	}
	h := newIsolatedHarness(t, plainRoute("h", "a", true))
	assert.Equal(t, find[Refuse](passed(h, 3))[0].Reason, ReasonIsolated)

	h = newHarness(t, newTable(3, plainRoute("h", "a", true)))
	h.addTarget("ta", "a", home)
	h.addTarget("tb", "a", home)
	h.apply(PeersChanged{Peers: []Peer{nearPeer}})
	for _, version := range []uint64{2, 4} {
		assert.Equal(t, find[Refuse](passed(h, version))[0].Reason, ReasonOtherTable)
	}
	passed(h, 3)
	send := h.onlySend(h.lastRequest)
	effects := h.endAttempt(send.Attempt, OutcomeBroken, 0)
	assert.Equal(t, len(h.sends(h.lastRequest)), 0, "the peer allows one attempt only")
	assert.Equal(t, len(find[Delegate](effects)), 0)
	assert.Equal(t, find[Refuse](effects)[0].Status, http.StatusBadGateway)
}

// TestRequestsInFlightAreRescued has the node become isolated while requests wait for
// targets.
func TestRequestsInFlightAreRescued(t *testing.T) {
	cases := []struct {
		name     string
		route    api.Route
		attempts int
		rescued  bool
	}{
		{"idempotent", plainRoute("h", "a", true), 2, true},
		{"gather", gatherRoute("h", "a", "b", "c"), 2, true},
		{"not idempotent", plainRoute("h", "a", false), 2, false},
		{"no attempt left", plainRoute("h", "a", true), 1, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			route := tc.route
			route.Attempts = tc.attempts
			h := newHarness(t, newTable(1, route))
			for _, id := range []string{"a1", "b1", "c1"} {
				h.addTarget(id, id[:1], home)
			}
			if !route.IsGather() {
				h.addTarget("a2", "a", home)
				h.addTarget("a3", "a", home)
			}
			h.apply(PeersChanged{Peers: []Peer{nearPeer}})
			first := h.arrive("h")
			h.arrive("h")
			h.arrive("h")
			sends := h.sends(first)
			effects := h.tickFor(isolation.Silence + 100*time.Millisecond)
			rescued := find[Delegate](effects)
			if !tc.rescued {
				assert.Equal(t, len(rescued), 0)
				return
			}
			assert.Equal(t, len(rescued), 3)
			assert.Equal(t, rescued[0].Attempts, 1)
			assert.Assert(t, rescued[0].Repeated)
			assert.Assert(t, rescued[0].Age >= isolation.Silence)
			for i, send := range sends {
				assert.Equal(t, find[Cancel](effects)[i].Attempt, send.Attempt)
				assert.Equal(t, len(find[Refuse](h.endAttempt(send.Attempt, OutcomeCancelled, 0))), 0)
			}
			lost := h.apply(DelegationEnded{Delegation: rescued[0].Delegation, Outcome: DelegationRefused, Status: 503, Reason: ReasonOverload})
			assert.Equal(t, find[Refuse](lost)[0].Status, http.StatusBadGateway, "a target may have run it before it was passed on")
		})
	}
}

// TestRescueIsPaidFromTheBudget uses up a pool's budget for retries before the node becomes
// isolated, and checks that peers don't count rescued requests as first ones.
func TestRescueIsPaidFromTheBudget(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", true)))
	for _, id := range []string{"a1", "a2", "a3"} {
		h.addTarget(id, "a", home)
	}
	h.apply(PeersChanged{Peers: []Peer{nearPeer}})
	for range 3 {
		h.arrive("h")
	}
	for h.state.pools["a"].budget.spend(testBudget, h.now, 1) {
	}
	assert.Equal(t, len(find[Delegate](h.tickFor(isolation.Silence+100*time.Millisecond))), 0)

	h = newHarness(t, newTable(1, plainRoute("h", "a", true)))
	h.addTarget("a1", "a", home)
	for _, repeated := range []bool{true, false} {
		before := h.state.pools["a"].budget.remaining(testBudget, h.now, 1)
		h.lastRequest++
		h.apply(RequestArrived{Request: h.lastRequest, Host: "h", Path: "/a/x", FromPeer: &FromPeer{TableVersion: 1, Attempts: 1, Repeated: repeated}})
		after := h.state.pools["a"].budget.remaining(testBudget, h.now, 1)
		assert.Equal(t, after > before, !repeated)
	}
}

// TestRandomPeersAndTargets ends attempts and delegations at random, and checks that each
// request is answered once, that its targets and peers together get no more attempts than
// its route allows, and that 503 is said only of requests that have not run.
func TestRandomPeersAndTargets(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { walkWithPeers(t, rand.New(rand.NewPCG(seed, 0))) })
	}
}

func walkWithPeers(t *testing.T, random *rand.Rand) {
	routes := []api.Route{plainRoute("p", "a", true), plainRoute("u", "b", false), gatherRoute("g", "a", "b", "c")}
	h := newHarness(t, newTable(1, routes...))
	for _, id := range []string{"a1", "a2", "b1", "b2", "c1", "c2"} {
		h.addTarget(id, id[:1], home)
	}
	type record struct {
		attempts   int
		runs       map[string]int // by pool, those that ran or may have
		granted    int            // attempts of peers that may have used them
		mayHaveRun bool
		answers    int
		status     int
	}
	records := map[RequestID]*record{}
	pending := map[DelegationID]Delegate{}
	poolOf := func(id api.TargetID) string { return string(id[:1]) }
	handle := func(effects []Effect) {
		for _, e := range effects {
			switch e := e.(type) {
			case Send:
				records[e.Request].runs[poolOf(e.Target)]++
			case Delegate:
				pending[e.Delegation] = e
				records[e.Request].granted += e.Attempts
				for pool, runs := range records[e.Request].runs {
					assert.Assert(t, runs+records[e.Request].granted <= records[e.Request].attempts, "pool %s", pool)
				}
			case CancelDelegation:
				records[pending[e.Delegation].Request].mayHaveRun = true
			case PassOn:
				records[e.Request].answers++
			case Relay:
				records[e.Request].answers++
			case Merge:
				records[e.Request].answers++
			case Refuse:
				r := records[e.Request]
				r.answers++
				r.status = e.Status
				if e.Status == http.StatusServiceUnavailable {
					assert.Assert(t, !r.mayHaveRun && r.granted == 0, "503 for a request that may have run")
				}
			}
		}
	}
	for range 300 {
		h.advance(time.Duration(random.IntN(40)) * time.Millisecond)
		switch random.IntN(6) {
		case 0, 1:
			route := routes[random.IntN(len(routes))]
			h.lastRequest++
			records[h.lastRequest] = &record{attempts: route.Attempts, runs: map[string]int{}}
			handle(h.apply(RequestArrived{Request: h.lastRequest, Host: route.Host, Path: "/a/x", Deadline: h.now.Add(time.Second), Seed: 1}))
		case 2:
			peers := []Peer{farPeer, nearPeer}
			handle(h.apply(PeersChanged{Peers: peers[:random.IntN(3)]}))
		case 3:
			handle(h.apply(Tick{}))
		case 4:
			for id, send := range h.inFlight {
				outcome := Outcome(random.IntN(int(OutcomeCancelled) + 1))
				if random.IntN(3) > 0 {
					outcome = OutcomeNotSent
				}
				r := records[send.Request]
				if !outcome.MayHaveRun() {
					r.runs[poolOf(send.Target)]--
				}
				r.mayHaveRun = r.mayHaveRun || outcome.MayHaveRun()
				handle(h.endAttempt(id, outcome, 200))
				break
			}
		case 5:
			for id, d := range pending {
				delete(pending, id)
				ended := DelegationEnded{Delegation: id, Outcome: DelegationOutcome(random.IntN(4)), Status: 200}
				if ended.Outcome == DelegationRefused {
					ended.Status, ended.Reason = 503, ReasonOverload
				}
				if ended.Outcome == DelegationRefused || ended.Outcome == DelegationNotSent {
					records[d.Request].granted -= d.Attempts
				}
				handle(h.apply(ended))
				break
			}
		}
	}
	handle(h.apply(ShuttingDown{}))
	for id, r := range records {
		assert.Equal(t, r.answers, 1, "request %d", id)
	}
}

// TestStoppingPeerIsChosenLast has the nearest peer answer while it shuts down.
func TestStoppingPeerIsChosenLast(t *testing.T) {
	h := newIsolatedHarness(t, plainRoute("h", "a", true))
	_, effects := h.arriveAt("h")
	h.apply(DelegationEnded{Delegation: onlyDelegation(t, effects).Delegation, Outcome: DelegationAnswered, Status: 200, Stopping: true})
	_, effects = h.arriveAt("h")
	assert.Equal(t, onlyDelegation(t, effects).Peer, farPeer)
	h.apply(PeersChanged{Peers: []Peer{nearPeer}})
	_, effects = h.arriveAt("h")
	assert.Equal(t, onlyDelegation(t, effects).Peer, nearPeer, "the only one left")
}

// TestPoolCountsAsDownOnceOtherDataCentresLackIt has one peer after the other refuse a
// request for the lack of targets: those of the same data centre may be cut off like the
// node itself.
func TestPoolCountsAsDownOnceOtherDataCentresLackIt(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", true), plainRoute("o", "b", true)))
	for _, id := range []string{"a1", "b1", "b2"} {
		h.addTarget(id, id[:1], home)
	}
	neighbour, third := Peer{Node: "neighbour", DataCentre: home, Address: "n:1"}, Peer{Node: "third", DataCentre: away, Address: "t:1"}
	h.makeUnreachable("h")
	h.apply(PeersChanged{Peers: []Peer{nearPeer, neighbour, farPeer, third}})
	_, effects := h.arriveAt("h")
	for _, want := range []Peer{nearPeer, neighbour, farPeer} {
		d := onlyDelegation(t, effects)
		assert.Equal(t, d.Peer, want)
		effects = h.apply(DelegationEnded{Delegation: d.Delegation, Outcome: DelegationRefused, Status: 503, Reason: ReasonNoTarget, RetryAfter: time.Second})
	}
	assert.Equal(t, find[Refuse](effects)[0].Reason, ReasonNoTarget)
	_, effects = h.arriveAt("h")
	assert.Equal(t, find[Refuse](effects)[0].Reason, ReasonNoTarget)
	id := h.arrive("o")
	assert.Equal(t, len(h.sends(id)), 1, "another pool is not concerned")
}

// TestTargetThatLeavesByAPeersReplyGetsNothing has a peer pass on the reply of a target that
// leaves; once the node reaches its targets again, it must not send to that one.
//
// fault: cut-from-targets x drain
func TestTargetThatLeavesByAPeersReplyGetsNothing(t *testing.T) {
	h := newIsolatedHarness(t, plainRoute("h", "a", true))
	h.addTarget("a1", "a", home)
	h.addTarget("a2", "a", home)
	_, effects := h.arriveAt("h")
	leaving := h.state.targets["a1"].announcement
	effects = h.apply(DelegationEnded{Delegation: onlyDelegation(t, effects).Delegation, Outcome: DelegationAnswered, Status: 200, Leaving: &leaving})
	assert.Equal(t, len(find[ReportLeaving](effects)), 1)
	h.apply(ProbeEnded{Target: "a2", Incarnation: 1, Answered: true, Healthy: true})
	for range 4 {
		assert.Equal(t, h.onlySend(h.arrive("h")).Target, api.TargetID("a2"))
	}
}

// TestPeerServesOthersBesideOneFaultyService guards against a node that asks its only peer nothing for a second because targets of one service are full or silent there.
//
// fault: cut-from-targets x forward
func TestPeerServesOthersBesideOneFaultyService(t *testing.T) {
	for name, fail := range map[string]func(h *harness, faulty Delegate){
		"full": func(h *harness, faulty Delegate) {
			h.apply(DelegationEnded{Delegation: faulty.Delegation, Outcome: DelegationRefused, Status: 503, Reason: ReasonOverload, RetryAfter: 2 * time.Second})
		},
		"silent": func(h *harness, faulty Delegate) {
			_, effects := h.arriveAt("good")
			h.advance(10 * time.Millisecond)
			h.apply(DelegationEnded{Delegation: onlyDelegation(h.t, effects).Delegation, Outcome: DelegationAnswered, Status: 200})
			h.fireTimer(faulty.Request)
		},
		"silent, and the call has ended": func(h *harness, faulty Delegate) {
			_, effects := h.arriveAt("good")
			h.advance(10 * time.Millisecond)
			h.apply(DelegationEnded{Delegation: onlyDelegation(h.t, effects).Delegation, Outcome: DelegationAnswered, Status: 200})
			h.now = faulty.PeerDeadline
			h.apply(DelegationEnded{Delegation: faulty.Delegation, Outcome: DelegationLost})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newIsolatedHarness(t, plainRoute("good", "a", true), plainRoute("faulty", "b", true))
			h.apply(PeersChanged{Peers: []Peer{farPeer}})
			_, effects := h.arriveAt("faulty")
			fail(h, onlyDelegation(t, effects))
			_, effects = h.arriveAt("good")
			assert.Equal(t, onlyDelegation(t, effects).Peer, farPeer)
		})
	}
}

// TestPeerWithAnotherTableIsAskedAgainSoon guards against a node that has one peer left and refuses most requests while the routing table changes twice a second.
//
// fault: cut-from-targets x forward
func TestPeerWithAnotherTableIsAskedAgainSoon(t *testing.T) {
	const between = 600 * time.Millisecond
	h := newIsolatedHarness(t, plainRoute("h", "a", true))
	h.apply(PeersChanged{Peers: []Peer{farPeer}})
	passedOn, asked := 0, 0
	for range 10 {
		_, effects := h.arriveAt("h")
		for _, d := range find[Delegate](effects) {
			h.apply(DelegationEnded{Delegation: d.Delegation, Outcome: DelegationRefused, Status: 503, Reason: ReasonOtherTable})
		}
		for range 10 {
			h.advance(between / 10)
			_, effects := h.arriveAt("h")
			asked++
			for _, d := range find[Delegate](effects) {
				passedOn++
				h.apply(DelegationEnded{Delegation: d.Delegation, Outcome: DelegationAnswered, Status: 200})
			}
		}
	}
	// RECOVER: at least two thirds.
	assert.Assert(t, 3*passedOn >= 2*asked, "%d of %d passed on", passedOn, asked)
}
