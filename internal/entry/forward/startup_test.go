package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

// arriveWith applies the arrival of a request whose caller has the given time left.
func (h *harness) arriveWith(left time.Duration) RequestID {
	h.lastRequest++
	h.apply(RequestArrived{Request: h.lastRequest, Host: "h", Path: "/a/x", Deadline: h.now.Add(left)})
	return h.lastRequest
}

// TestReturningCallersWaitForTargetsAfterAStart plays the load after a stop of everything:
// a node has its table, targets are announced one after the other within a second, and
// callers that were cut off or refused come back with half of their time left.
//
// fault: kill x forward
func TestReturningCallersWaitForTargetsAfterAStart(t *testing.T) {
	const pools = 10
	var names []string
	for i := range pools {
		names = append(names, fmt.Sprint("p", i))
	}
	for _, route := range []api.Route{plainRoute("h", "p0", true), gatherRoute("h", names...)} {
		h := newHarness(t, newTable(1, route))
		first := h.arriveWith(route.Timeout)
		refused := find[Refuse](h.allEffects)
		assert.Equal(t, len(refused), 1, "a first attempt is refused at once")
		assert.Equal(t, refused[0].Request, first)
		assert.Assert(t, refused[0].RetryAfter > 0)

		returning := h.arriveWith(route.Timeout / 2)
		for i := range pools {
			h.advance(100 * time.Millisecond)
			h.addTarget(fmt.Sprint("t", i), names[i], home)
			for _, send := range h.sends(returning) {
				h.advance(time.Millisecond)
				h.endAttempt(send.Attempt, OutcomeSuccess, 200)
			}
		}
		answers := len(find[Merge](h.allEffects)) + len(find[Relay](h.allEffects))
		assert.Equal(t, answers, 1, "the returning caller is answered")
		assert.Equal(t, len(find[Refuse](h.allEffects)), 1)
	}
}

// TestReturningCallersAreRefusedAtOnceWhenNoTargetIsToCome checks the same later on.
func TestReturningCallersAreRefusedAtOnceWhenNoTargetIsToCome(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", true)))
	h.advance(announceTime)
	h.arriveWith(time.Second)
	refused := find[Refuse](h.allEffects)
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].Status, http.StatusServiceUnavailable)
}

// TestReturningCallerIsToldBeforeItsDeadline checks that one for which no target came gets
// a final answer that says that its request has not run.
func TestReturningCallerIsToldBeforeItsDeadline(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", true)))
	deadline := h.now.Add(time.Second)
	request := h.arriveWith(time.Second)
	assert.Equal(t, len(find[Refuse](h.allEffects)), 0)
	var refused []Refuse
	for len(refused) == 0 && h.now.Before(deadline) {
		refused = find[Refuse](h.fireTimer(request))
	}
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].Status, http.StatusServiceUnavailable)
	assert.Assert(t, h.now.Before(deadline))
}

// TestEarlyRequestsWaitForTheFirstTable plays a start in which requests come before the
// routing table and targets after it. A caller that comes back is answered; one with all
// of its time left is refused as soon as the node knows that it can't serve it.
//
// fault: kill x forward
func TestEarlyRequestsWaitForTheFirstTable(t *testing.T) {
	route := plainRoute("h", "a", true)
	h := newHarness(t, nil)
	h.apply(Tick{})
	h.advance(100 * time.Millisecond)
	returning, first := h.arriveWith(route.Timeout/2), h.arriveWith(route.Timeout)
	gone := h.arriveWith(route.Timeout / 2)
	assert.Equal(t, len(find[Refuse](h.allEffects)), 0)
	assert.Equal(t, h.state.InProgress(), 3)
	assert.Equal(t, len(find[Abandon](h.apply(CallerGone{Request: gone}))), 1)

	h.advance(300 * time.Millisecond)
	refused := find[Refuse](h.apply(TableInstalled{Table: newTable(1, route)}))
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].Request, first)
	assert.Equal(t, refused[0].Reason, ReasonNoTarget)
	h.advance(200 * time.Millisecond)
	h.addTarget("t1", "a", home)
	send := h.onlySend(returning)
	assert.Assert(t, !send.Deadline.After(h.now.Add(route.Timeout/2-500*time.Millisecond)), "the time that it has waited is taken off")
	assert.Equal(t, len(find[Relay](h.endAttempt(send.Attempt, OutcomeSuccess, 200))), 1)
	assert.Equal(t, h.state.InProgress(), 0)
}

// TestEarlyRequestsAreToldInTime checks that requests for which no table comes are refused
// with half of their time left, at once later on, and at a shutdown.
func TestEarlyRequestsAreToldInTime(t *testing.T) {
	h := newHarness(t, nil)
	h.apply(Tick{})
	request := h.arriveWith(time.Second)
	start := h.now
	refused := find[Refuse](h.fireTimer(request))
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].Status, http.StatusServiceUnavailable)
	assert.Assert(t, refused[0].RetryAfter > 0)
	assert.Assert(t, h.now.Sub(start) <= 500*time.Millisecond)
	assert.Equal(t, len(find[Refuse](h.apply(TimerFired{Request: request}))), 0, "once only")

	h.arriveWith(time.Second)
	assert.Equal(t, len(find[Refuse](h.apply(ShuttingDown{}))), 1)
	h.advance(announceTime)
	before := len(find[Refuse](h.allEffects))
	h.arriveWith(time.Second)
	assert.Equal(t, len(find[Refuse](h.allEffects)), before+1)
}

func TestEarlyRequestsAreBounded(t *testing.T) {
	h := newHarness(t, nil)
	for range maxEarlyRequests + 5 {
		h.arriveWith(time.Second)
	}
	assert.Equal(t, h.state.InProgress(), maxEarlyRequests)
	assert.Equal(t, len(find[Refuse](h.allEffects)), 5)
}
