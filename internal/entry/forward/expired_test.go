package forward

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestQueuedRequestIsNotSentAfterItsDeadline ends an attempt, as the first event after the
// process was paused, when the deadline of a queued request has passed. Its caller has
// left or asked again by then.
//
// fault: stop-continue x forward
func TestQueuedRequestIsNotSentAfterItsDeadline(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		h := newHarness(t, newTable(1, plainRoute("h", "a", idempotent)))
		h.addTarget("t1", "a", home)
		var first Send
		for sends := h.sends(h.arrive("h")); len(sends) > 0; sends = h.sends(h.arrive("h")) {
			first = sends[0]
		}
		queued := h.lastRequest
		h.advance(10 * time.Second)
		effects := h.endAttempt(first.Attempt, OutcomeSuccess, 200)
		assert.Equal(t, len(h.sends(queued)), 0)
		refused := map[RequestID]Refuse{}
		for _, r := range find[Refuse](effects) {
			refused[r.Request] = r
		}
		assert.Equal(t, refused[queued].Status, http.StatusServiceUnavailable, "it has not run and never will")
	}
}

// TestRetryIsNotSentAfterItsDeadline fails an attempt after the deadline.
//
// fault: stop-continue x forward
func TestRetryIsNotSentAfterItsDeadline(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", false)))
	h.addTarget("t1", "a", home)
	h.addTarget("t2", "a", home)
	request := h.arrive("h")
	first := h.onlySend(request)
	h.advance(10 * time.Second)
	h.endAttempt(first.Attempt, OutcomeNotRun, 503)
	assert.Equal(t, len(h.sends(request)), 0)
}
