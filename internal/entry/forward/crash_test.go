package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/quarantine"
)

// arriveWithContent applies the arrival of a request with the given content and returns its ID.
func (h *harness) arriveWithContent(content string) RequestID {
	h.lastRequest++
	h.apply(RequestArrived{
		Request: h.lastRequest, Host: "h", Path: "/a/x", Deadline: h.now.Add(5 * time.Second),
		Fingerprint: fingerprintOf(content),
	})
	return h.lastRequest
}

func fingerprintOf(content string) quarantine.Fingerprint {
	return quarantine.NewFingerprint("POST", "h", "/a/x", []byte(content))
}

// loseConnection ends an attempt as a target that ends does.
func (h *harness) loseConnection(a AttemptID) []Effect {
	delete(h.inFlight, a)
	return h.apply(AttemptEnded{Attempt: a, Outcome: OutcomeBroken, Lost: true, Cause: "EOF"})
}

// reportedCrashes returns the targets of the crash reports among all effects so far.
func (h *harness) reportedCrashes() []api.TargetID {
	var out []api.TargetID
	for _, e := range find[ReportCrash](h.allEffects) {
		if !e.Report.Survived {
			out = append(out, e.Report.Target)
		}
	}
	return out
}

// crashHarness has one target, a request in flight there, and another one that has lost
// its connection to it.
func crashHarness(t *testing.T) (h *harness, target *target, inFlight Send) {
	h = newHarness(t, newTable(1, plainRoute("h", "a", false)))
	h.addTarget("t1", "a", home)
	lost, other := h.arriveWithContent("lost"), h.arriveWithContent("other")
	inFlight = h.onlySend(other)
	h.advance(10 * time.Millisecond)
	h.loseConnection(h.onlySend(lost).Attempt)
	assert.Equal(t, len(h.reportedCrashes()), 0, "a lost connection alone is no crash")
	return h, h.state.targets["t1"], inFlight
}

// TestLostConnectionIsACrashOnlyWithEvidence follows a lost connection by what tells
// whether the target has crashed.
func TestLostConnectionIsACrashOnlyWithEvidence(t *testing.T) {
	probe := func(h *harness, ended ProbeEnded) {
		h.advance(crashProbeDelay)
		probes := find[Probe](h.apply(Tick{}))
		assert.Equal(h.t, len(probes), 1)
		ended.Target, ended.Incarnation = probes[0].Target, probes[0].Incarnation
		h.apply(ended)
	}
	refuse := func(h *harness) {
		send := h.onlySend(h.arriveWithContent("next"))
		delete(h.inFlight, send.Attempt)
		h.apply(AttemptEnded{Attempt: send.Attempt, Outcome: OutcomeNotSent, Refused: true})
	}
	cases := []struct {
		name string
		next func(h *harness, inFlight Send)
		want int
	}{
		{"nothing", func(*harness, Send) {}, 0},
		{"a health check is refused", func(h *harness, _ Send) { probe(h, ProbeEnded{Refused: true}) }, 1},
		{"a health check is answered", func(h *harness, _ Send) { probe(h, ProbeEnded{Answered: true}); refuse(h) }, 0},
		{"a health check has no answer", func(h *harness, _ Send) { probe(h, ProbeEnded{}); refuse(h) }, 1},
		{"a connection is refused", func(h *harness, _ Send) { refuse(h) }, 1},
		{"a connection is refused long after", func(h *harness, _ Send) { h.advance(2 * suspicionLifetime); refuse(h) }, 0},
		{"another start announces itself", func(h *harness, _ Send) { h.announceReady("t1", 2, "10.0.0.9:1") }, 1},
		{"another target answers at the address", func(h *harness, _ Send) {
			h.endAttempt(h.onlySend(h.arriveWithContent("next")).Attempt, OutcomeWrongTarget, http.StatusMisdirectedRequest)
		}, 1},
		{"a later request is answered", func(h *harness, _ Send) {
			h.endAttempt(h.onlySend(h.arriveWithContent("next")).Attempt, OutcomeSuccess, http.StatusOK)
			refuse(h)
		}, 0},
		{"an earlier request is answered", func(h *harness, inFlight Send) {
			h.endAttempt(inFlight.Attempt, OutcomeSuccess, http.StatusOK)
			refuse(h)
		}, 1},
		{"an earlier request is lost as well", func(h *harness, inFlight Send) { h.loseConnection(inFlight.Attempt); refuse(h) }, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h, _, inFlight := crashHarness(t)
			h.advance(time.Millisecond)
			tc.next(h, inFlight)
			assert.Equal(t, len(h.reportedCrashes()), tc.want)
		})
	}
}

func TestLeavingTargetDoesNotCrash(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", false)))
	h.addTarget("t1", "a", home)
	send := h.onlySend(h.arriveWithContent("x"))
	h.state.targets["t1"].leaving = true
	h.loseConnection(send.Attempt)
	h.announceReady("t1", 2, "10.0.0.9:1")
	assert.Equal(t, len(h.reportedCrashes()), 0)
}

// TestGatherWithAnAnswerIsNotBlamed ends half of the targets of a gather at once, as a
// power failure does.
func TestGatherWithAnAnswerIsNotBlamed(t *testing.T) {
	h := newHarness(t, newTable(1, gatherRoute("h", "a", "b")))
	h.addTarget("a1", "a", home)
	h.addTarget("b1", "b", home)
	sends := h.sends(h.arriveWithContent("x"))
	assert.Equal(t, len(sends), 2)
	h.loseConnection(sends[0].Attempt)
	h.endAttempt(sends[1].Attempt, OutcomeSuccess, http.StatusOK)
	h.announceReady(sends[0].Target, 2, "10.0.0.9:1")
	assert.Equal(t, len(h.reportedCrashes()), 0)
}

// crashThreeTimes has a request crash three targets, one after the other.
func (h *harness) crashThreeTimes(content string) {
	for i := range 3 {
		id := fmt.Sprintf("t%d", i)
		h.addTarget(id, "a", home)
		send := h.onlySend(h.arriveWithContent(content))
		assert.Equal(h.t, send.Target, api.TargetID(id))
		h.advance(time.Second)
		h.loseConnection(send.Attempt)
		h.apply(TargetChanged{Announcement: api.Announcement{Target: send.Target, Incarnation: 1, State: api.TargetGone}})
	}
	assert.Equal(h.t, len(h.reportedCrashes()), 3)
}

// fault: crashing-request x forward
func TestRequestWithThreeCrashesIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", false)))
	h.crashThreeTimes("x")
	h.addTarget("t9", "a", home)
	refused := h.arriveWithContent("x")
	assert.Equal(t, len(h.sends(refused)), 0)
	refusals := find[Refuse](h.allEffects)
	last := refusals[len(refusals)-1]
	assert.Equal(t, last.Status, http.StatusServiceUnavailable)
	assert.Equal(t, last.Reason, ReasonCrashes)
	assert.Assert(t, last.RetryAfter >= quarantine.Duration-time.Minute)
	assert.Equal(t, len(h.sends(h.arriveWithContent("y"))), 1, "other requests are served")

	h.advance(quarantine.Duration + time.Second)
	assert.Equal(t, len(h.sends(h.arriveWithContent("x"))), 1, "the quarantine ends")
}

// TestVerdictsOfOtherNodesHold passes verdicts from one node to others, one of which has
// answered the request since.
func TestVerdictsOfOtherNodesHold(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", false)))
	h.crashThreeTimes("x")
	verdicts, checksum := h.state.Verdicts()
	assert.Equal(t, len(verdicts), 1)

	other := newHarness(t, newTable(1, plainRoute("h", "a", false)))
	other.now = h.now
	other.addTarget("t9", "a", home)
	other.apply(VerdictsReceived{Verdicts: verdicts})
	assert.Equal(t, len(other.sends(other.arriveWithContent("x"))), 0)
	_, same := other.state.Verdicts()
	assert.Equal(t, same, checksum)

	served := newHarness(t, newTable(1, plainRoute("h", "a", false)))
	served.now = h.now.Add(time.Second)
	served.addTarget("t9", "a", home)
	served.endAttempt(served.onlySend(served.arriveWithContent("x")).Attempt, OutcomeSuccess, http.StatusOK)
	lifted := find[ReportCrash](served.apply(VerdictsReceived{Verdicts: verdicts}))
	assert.Equal(t, len(lifted), 1)
	assert.Assert(t, lifted[0].Report.Survived)
	assert.Equal(t, len(served.sends(served.arriveWithContent("x"))), 1)

	verdicts, _ = served.state.Verdicts()
	other.apply(VerdictsReceived{Verdicts: verdicts})
	assert.Equal(t, len(other.sends(other.arriveWithContent("x"))), 1, "a lifted verdict is lifted everywhere")
}
