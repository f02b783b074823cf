package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

// cautionHarness has a gather over five pools with three targets each.
func cautionHarness(t *testing.T) (h *harness, pools []string) {
	for i := range 5 {
		pools = append(pools, fmt.Sprint("p", i))
	}
	route := gatherRoute("h", pools...)
	route.Attempts = 2
	h = newHarness(t, newTable(1, route))
	for _, pool := range pools {
		for i := range 3 {
			h.addTarget(fmt.Sprint(pool, "-", i), pool, home)
		}
	}
	return h, pools
}

// crashAll ends each send in flight of a request as targets that crash do, until there is
// none, and returns the number of targets that have crashed.
func (h *harness) crashAll(request RequestID) int {
	crashed := map[api.TargetID]bool{}
	for {
		inFlight := h.sends(request)
		if len(inFlight) == 0 {
			return len(crashed)
		}
		for _, send := range inFlight {
			crashed[send.Target] = true
			h.advance(time.Millisecond)
			h.loseConnection(send.Attempt)
		}
	}
}

// refusalOf returns how a request was refused.
func (h *harness) refusalOf(request RequestID) Refuse {
	h.t.Helper()
	for _, e := range find[Refuse](h.allEffects) {
		if e.Request == request {
			return e
		}
	}
	h.t.Fatalf("request %d was not refused", request)
	return Refuse{}
}

// TestGatherThatCrashesItsTargets plays a gather that crashes every target that runs it, and
// its caller that sends it again at once. It must leave other callers two targets of most
// pools, and its caller must be told to wait until the crashes are known.
func TestGatherThatCrashesItsTargets(t *testing.T) {
	h, pools := cautionHarness(t)
	first := h.arriveWithContent("deadly")
	assert.Equal(t, h.crashAll(first), len(pools)+maxUnansweredLosses)
	refusal := h.refusalOf(first)
	assert.Equal(t, refusal.Status, http.StatusBadGateway)
	assert.Assert(t, refusal.RetryAfter >= crashRetryTime)

	second := h.arriveWithContent("deadly")
	assert.Equal(t, h.crashAll(second), 1, "a request sent again is tried with one target")
	assert.Equal(t, h.refusalOf(second).Status, http.StatusBadGateway)

	other := h.arriveWithContent("other")
	assert.Equal(t, len(h.sends(other)), len(pools))
}

// TestHeldPartsAreSentOnceATargetHasAnswered ends targets for another reason: they get no
// second request of the same gather until a first one is answered, and then all do.
func TestHeldPartsAreSentOnceATargetHasAnswered(t *testing.T) {
	h, pools := cautionHarness(t)
	request := h.arriveWithContent("a")
	for _, send := range h.sends(request) {
		h.loseConnection(send.Attempt)
	}
	sends := h.sends(request)
	assert.Equal(t, len(sends), maxUnansweredLosses)
	h.endAttempt(sends[0].Attempt, OutcomeSuccess, http.StatusOK)
	sends = h.sends(request)
	assert.Equal(t, len(sends), len(pools)-1)
	for _, send := range sends {
		h.endAttempt(send.Attempt, OutcomeSuccess, http.StatusOK)
	}
	merged := find[Merge](h.allEffects)
	assert.Equal(t, len(merged), 1)
	assert.Equal(t, merged[0].Missing, 0)

	again := h.arriveWithContent("a")
	assert.Equal(t, len(h.sends(again)), len(pools), "an answered request is not held")
}

// TestCautionEnds has the caller of a gather that has lost its targets come back when they
// may have been lost for another reason.
func TestCautionEnds(t *testing.T) {
	h, pools := cautionHarness(t)
	h.crashAll(h.arriveWithContent("a"))
	again := h.arriveWithContent("a")
	sends := h.sends(again)
	assert.Equal(t, len(sends), 1)
	h.endAttempt(sends[0].Attempt, OutcomeSuccess, http.StatusOK)
	assert.Equal(t, len(h.sends(again)), len(pools)-1, "the other parts follow the first answer")

	h.crashAll(h.arriveWithContent("b"))
	h.tickFor(suspicionLifetime + time.Second)
	assert.Equal(t, len(h.sends(h.arriveWithContent("b"))), len(pools))
	assert.Equal(t, len(h.state.losses), 0)
}
