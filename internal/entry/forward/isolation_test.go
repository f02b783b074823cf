package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/entry/isolation"
)

// TestIsolationNeedsSeveralSilentTargets sends requests to targets of which some answer,
// and checks whether the node counts as isolated afterwards.
func TestIsolationNeedsSeveralSilentTargets(t *testing.T) {
	cases := []struct {
		name     string
		targets  int
		requests int
		// answered is the number of the request that is answered 100 ms after its send, 0
		// for none.
		answered int
		after    time.Duration
		isolated bool
	}{
		{"three targets are silent", 4, 3, 0, 600 * time.Millisecond, true},
		{"all of two targets are silent", 2, 2, 0, 600 * time.Millisecond, true},
		{"the silence is short", 4, 3, 0, 400 * time.Millisecond, false},
		{"two of four targets are silent", 4, 2, 0, 600 * time.Millisecond, false},
		{"one target answers", 4, 3, 2, 600 * time.Millisecond, false},
		{"nothing was sent", 4, 0, 0, time.Minute, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, newTable(1, plainRoute("h", "a", false)))
			for i := range tc.targets {
				h.addTarget(string(rune('a'+i)), "a", home)
			}
			h.apply(Tick{})
			var requests []RequestID
			for range tc.requests {
				requests = append(requests, h.arrive("h"))
			}
			h.advance(100 * time.Millisecond)
			if tc.answered > 0 {
				h.endAttempt(h.onlySend(requests[tc.answered-1]).Attempt, OutcomeSuccess, 200)
			}
			h.tickFor(tc.after - 100*time.Millisecond)
			assert.Equal(t, h.state.Isolated(), tc.isolated)
		})
	}
}

// TestIsolationEndsWithAReply checks that one reply, to a request or a health check, ends
// the isolation, and that the silence before it doesn't count afterwards.
func TestIsolationEndsWithAReply(t *testing.T) {
	for _, probe := range []bool{false, true} {
		h := newHarness(t, newTable(1, plainRoute("h", "a", false)))
		for _, id := range []string{"a", "b", "c"} {
			h.addTarget(id, "a", home)
		}
		request := h.arrive("h")
		h.arrive("h")
		h.arrive("h")
		changed := find[IsolationChanged](h.tickFor(isolation.Silence))
		assert.DeepEqual(t, changed, []IsolationChanged{{Isolated: true, SinceReply: isolation.Silence}})
		send := h.onlySend(request)
		var effects []Effect
		if probe {
			effects = h.apply(ProbeEnded{Target: send.Target, Incarnation: 1, Answered: true})
		} else {
			effects = h.endAttempt(send.Attempt, OutcomeFailure, 500)
		}
		assert.DeepEqual(t, find[IsolationChanged](effects), []IsolationChanged{{SinceReply: isolation.Silence}})
		h.tickFor(isolation.Silence)
		assert.Assert(t, !h.state.Isolated())
	}
}

// TestSlowRequestsAreNoIsolation has requests that take seconds by their nature.
func TestSlowRequestsAreNoIsolation(t *testing.T) {
	route := plainRoute("h", "a", false)
	route.Goal = 16 * time.Second
	route.Timeout = time.Minute
	h := newHarness(t, newTable(1, route))
	for _, id := range []string{"a", "b", "c"} {
		h.addTarget(id, "a", home)
	}
	for range 3 {
		h.lastRequest++
		h.apply(RequestArrived{Request: h.lastRequest, Host: "h", Path: "/a/x"})
	}
	h.tickFor(4 * time.Second)
	assert.Assert(t, !h.state.Isolated())
	h.tickFor(3 * time.Second)
	assert.Assert(t, h.state.Isolated())
}

// TestPauseOfTheProcessIsNoIsolation pauses the process for longer than targets may be
// silent; their replies are read after the pause.
func TestPauseOfTheProcessIsNoIsolation(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", false)))
	for _, id := range []string{"a", "b", "c"} {
		h.addTarget(id, "a", home)
	}
	for range 3 {
		h.arrive("h")
	}
	h.advance(2 * time.Second)
	h.apply(Tick{})
	assert.Assert(t, !h.state.Isolated())
}
