package entry

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/isolation"
)

var (
	nearPeer = Peer{ID: "near", DataCentre: "oeste", Address: "near:1"}
	farPeer  = Peer{ID: "far", DataCentre: "serra", Address: "far:1"}
)

// newIsolatedHarness returns a node with two peers that no target answers.
func newIsolatedHarness(t *testing.T) *harness {
	h := newHarness(t, api.Service{DeadlineMS: 1000})
	for _, name := range []string{"a", "b", "c"} {
		h.announce(name, api.TargetReady, snapshotV1)
	}
	h.apply(MembersChanged{PerDataCentre: map[string]int{"oeste": 2, "serra": 1}, Peers: []Peer{farPeer, nearPeer}})
	for range 6 {
		h.lastQuery++
		h.apply(SearchArrived{Query: h.lastQuery, Service: "lots", Deadline: h.now.Add(5 * time.Second)})
	}
	for range isolation.Silence / (100 * time.Millisecond) {
		h.advance(100 * time.Millisecond)
		h.apply(Tick{})
	}
	assert.Assert(t, h.state.isolation.Isolated())
	return h
}

// arrive applies the arrival of a search or a submit and returns its ID and the effects.
func (h *harness) arrive(submit bool, passed *PassedOn) (QueryID, []Effect) {
	h.lastQuery++
	deadline := h.now.Add(time.Second)
	if submit {
		return h.lastQuery, h.apply(SubmitArrived{Query: h.lastQuery, Service: "lots", Key: "1-a", Deadline: deadline, PassedOn: passed})
	}
	return h.lastQuery, h.apply(SearchArrived{Query: h.lastQuery, Service: "lots", Deadline: deadline, PassedOn: passed})
}

// TestIsolatedNodePassesOn ends the passing on of searches and submits with each outcome.
//
// fault: cut-from-targets x submit
func TestIsolatedNodePassesOn(t *testing.T) {
	for _, submit := range []bool{false, true} {
		lostCode := api.CodeUnavailable
		if submit {
			lostCode = api.CodeOutcomeUnknown
		}
		h := newIsolatedHarness(t)
		id, effects := h.arrive(submit, nil)
		passed := effectsOf[PassOn](effects)
		assert.Equal(t, len(passed), 1)
		assert.Equal(t, passed[0].Peer, nearPeer)
		assert.Equal(t, passed[0].ConfigVersion, uint64(1))
		assert.Equal(t, len(effectsOf[ClaimKey](effects)), 0, "the peer claims the key")
		assert.Equal(t, len(effectsOf[AnswerFromPeer](h.apply(PassOnEnded{Query: id, Outcome: PassOnAnswered}))), 1)

		id, _ = h.arrive(submit, nil)
		next := effectsOf[PassOn](h.apply(PassOnEnded{Query: id, Outcome: PassOnRefused}))
		assert.Equal(t, next[0].Peer, farPeer)
		effects = h.apply(PassOnEnded{Query: id, Outcome: PassOnNotSent})
		assert.Equal(t, len(effectsOf[AnswerFromPeer](effects)), 1, "the refusal of the first peer")
		_, effects = h.arrive(submit, nil)
		problem := effectsOf[Refuse](effects)[0].Problem
		assert.Equal(t, problem.Status, http.StatusServiceUnavailable, "both peers are avoided")
		assert.Equal(t, problem.Ran, api.RanNo)
		assert.Assert(t, problem.RetryAfterMS > 0)

		h.advance(peerPause)
		id, _ = h.arrive(submit, nil)
		effects = h.apply(PassOnEnded{Query: id, Outcome: PassOnLost})
		assert.Equal(t, len(effectsOf[PassOn](effects)), 0, "the request may have run")
		problem = effectsOf[Refuse](effects)[0].Problem
		assert.Equal(t, problem.Status, http.StatusBadGateway)
		assert.Equal(t, problem.Ran, api.RanUnknown)
		assert.Equal(t, problem.Code, lostCode)
	}
}

// TestPassedOnRequestIsServedHereOrRefused checks when a node serves the request of a peer.
func TestPassedOnRequestIsServedHereOrRefused(t *testing.T) {
	for _, submit := range []bool{false, true} {
		h := newIsolatedHarness(t)
		_, effects := h.arrive(submit, &PassedOn{ConfigVersion: 1})
		assert.Equal(t, effectsOf[Refuse](effects)[0].Problem.Status, http.StatusServiceUnavailable)
		assert.Equal(t, len(effectsOf[PassOn](effects)), 0)

		h.apply(ProbeEnded{Target: "a", Answered: true})
		assert.Assert(t, !h.state.isolation.Isolated())
		_, effects = h.arrive(submit, &PassedOn{ConfigVersion: 2})
		assert.Equal(t, effectsOf[Refuse](effects)[0].Problem.Status, http.StatusServiceUnavailable)
		_, effects = h.arrive(submit, &PassedOn{ConfigVersion: 1})
		assert.Equal(t, len(effectsOf[Refuse](effects)), 0)
	}
}

func TestSearchWhoseCallerHasGoneEndsAtThePeer(t *testing.T) {
	h := newIsolatedHarness(t)
	id, _ := h.arrive(false, nil)
	assert.Equal(t, len(effectsOf[CancelPassOn](h.apply(SearchCancelled{Query: id}))), 1)
	assert.Equal(t, len(h.apply(PassOnEnded{Query: id, Outcome: PassOnAnswered})), 0)
}
