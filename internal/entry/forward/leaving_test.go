package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

const testDrainTime = 4 * time.Second

// newLeavingHarness returns a harness with a drain time and a pool "p".
func newLeavingHarness(t *testing.T, idempotent bool) *harness {
	h := newHarness(t, newTable(1, plainRoute("h", "p", idempotent), gatherRoute("g", "p")))
	h.state.options.DrainTime = testDrainTime
	return h
}

// servedBy returns the target that answers a new request for a host.
func (h *harness) servedBy(host string) string {
	h.t.Helper()
	send := h.onlySend(h.arrive(host))
	h.endAttempt(send.Attempt, OutcomeSuccess, 200)
	return string(send.Target)
}

// announce announces a target of pool "p" with a state.
func (h *harness) announce(id string, incarnation, sequence uint64, state api.TargetState) {
	h.apply(TargetChanged{Announcement: api.Announcement{
		Target: api.TargetID(id), Service: "p", DataCentre: home, Incarnation: incarnation, Sequence: sequence,
		Address: "10.0.0.2:" + id, State: state, Slots: 3,
	}})
}

// TestLastTargetsServeUntilTheEndOfTheirDrainTime guards against refusing requests at once when all targets of a service leave, and against sending to them after their time.
//
// fault: failing-target x drain
func TestLastTargetsServeUntilTheEndOfTheirDrainTime(t *testing.T) {
	leave := map[string]func(h *harness, id string){
		"announced": func(h *harness, id string) { h.announce(id, 1, 2, api.TargetDraining) },
		"said in a reply": func(h *harness, id string) {
			for attempt, send := range h.inFlight {
				if send.Target == api.TargetID(id) {
					delete(h.inFlight, attempt)
					h.apply(AttemptEnded{Attempt: attempt, Outcome: OutcomeSuccess, Status: 200, Demand: Demand{Leaving: true}})
					return
				}
			}
			h.t.Fatalf("no request is in flight to %s", id)
		},
	}
	for name, leave := range leave {
		for _, idempotent := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				h := newLeavingHarness(t, idempotent)
				h.announce("1", 1, 1, api.TargetReady)
				h.announce("2", 1, 1, api.TargetReady)
				for range 4 {
					h.arrive("h")
				}
				leave(h, "1")
				assert.Equal(t, h.servedBy("h"), "2", "another target is left")
				h.advance(500 * time.Millisecond)
				leave(h, "2")
				for range 5 {
					h.servedBy("h")
					h.servedBy("g")
				}
				h.advance(testDrainTime - drainMargin - 400*time.Millisecond) // the time of target 1 is over
				for range 5 {
					assert.Equal(t, h.servedBy("h"), "2")
				}
				h.advance(400 * time.Millisecond)
				for _, host := range []string{"h", "g"} {
					assert.Equal(t, len(h.sends(h.arrive(host))), 0)
				}
			})
		}
	}
}

// TestLeavingTargetGivesWayToAnother guards against requests to a target that leaves while one that stays may take them.
func TestLeavingTargetGivesWayToAnother(t *testing.T) {
	h := newLeavingHarness(t, true)
	h.announce("1", 1, 1, api.TargetReady)
	h.announce("1", 1, 2, api.TargetDraining)
	assert.Equal(t, h.servedBy("h"), "1")
	h.announce("2", 1, 1, api.TargetWarming)
	for range 20 {
		assert.Equal(t, h.servedBy("h"), "2")
	}
}

// TestTargetKnownOnlyAsLeavingGetsNothing guards against requests to a target that may have left long ago.
func TestTargetKnownOnlyAsLeavingGetsNothing(t *testing.T) {
	for name, announce := range map[string]func(h *harness){
		"first heard of as leaving": func(h *harness) { h.announce("1", 1, 2, api.TargetDraining) },
		"gone": func(h *harness) {
			h.announce("1", 1, 1, api.TargetReady)
			h.announce("1", 1, 2, api.TargetGone)
		},
		"gone after it was leaving": func(h *harness) {
			h.announce("1", 1, 1, api.TargetReady)
			h.announce("1", 1, 2, api.TargetDraining)
			h.announce("1", 1, 3, api.TargetGone)
		},
		"another start is leaving": func(h *harness) {
			h.announce("1", 1, 1, api.TargetReady)
			h.announce("1", 2, 2, api.TargetDraining)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLeavingHarness(t, true)
			h.advance(announceTime)
			announce(h)
			assert.Equal(t, len(h.sends(h.arrive("h"))), 0)
		})
	}
}

// TestNothingWaitsForAConnectionBeyondTheDrainTime guards against requests that were chosen for a target in time and reach it late, as its connections were in use.
//
// fault: failing-target x drain
func TestNothingWaitsForAConnectionBeyondTheDrainTime(t *testing.T) {
	h := newLeavingHarness(t, true)
	h.announce("1", 1, 1, api.TargetReady)
	h.announce("2", 1, 1, api.TargetReady)
	h.announce("1", 1, 2, api.TargetDraining)
	suspended := func(effects []Effect) bool {
		for _, c := range find[Connect](effects) {
			if c.Target == "1" && c.Suspended {
				return true
			}
		}
		return false
	}
	assert.Assert(t, !suspended(h.tickFor(testDrainTime-drainMargin-200*time.Millisecond)))
	assert.Assert(t, suspended(h.tickFor(400*time.Millisecond)))
	assert.Assert(t, !suspended(h.tickFor(time.Second)), "once is enough")
}
