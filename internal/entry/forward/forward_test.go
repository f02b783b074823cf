package forward

import (
	"fmt"
	"math"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

func TestLongestPrefixWins(t *testing.T) {
	long := plainRoute("h", "b", true)
	long.Prefix = "/a/x/"
	h := newHarness(t, newTable(1, plainRoute("h", "a", true), long))
	h.addTarget("ta", "a", home)
	h.addTarget("tb", "b", home)
	for path, want := range map[string]api.TargetID{"/a/y": "ta", "/a/x/y": "tb", "/a/x": "ta"} {
		h.lastRequest++
		h.apply(RequestArrived{Request: h.lastRequest, Host: "h", Path: path})
		assert.Equal(t, h.onlySend(h.lastRequest).Target, want, path)
	}
	h.lastRequest++
	refused := find[Refuse](h.apply(RequestArrived{Request: h.lastRequest, Host: "h", Path: "/b/"}))
	assert.Equal(t, refused[0].Status, http.StatusNotFound)
}

func TestNodeWithoutTableRefusesWithRetryAfter(t *testing.T) {
	h := newHarness(t, nil)
	h.lastRequest++
	refused := find[Refuse](h.apply(RequestArrived{Request: h.lastRequest, Host: "h", Path: "/a/"}))
	assert.Equal(t, refused[0].Status, http.StatusServiceUnavailable, "status 404 would tell the caller not to retry")
	assert.Assert(t, refused[0].RetryAfter > 0)
}

func TestOlderTableIsIgnored(t *testing.T) {
	h := newHarness(t, newTable(5, plainRoute("new", "a", true)))
	h.addTarget("ta", "a", home)
	h.apply(TableInstalled{Table: newTable(4, plainRoute("old", "a", true))})
	h.apply(TableInstalled{Table: newTable(5, plainRoute("old", "a", true))})
	assert.Equal(t, h.state.TableVersion(), uint64(5))
	assert.Equal(t, len(h.sends(h.arrive("new"))), 1)
	assert.Equal(t, len(h.sends(h.arrive("old"))), 0)
}

func TestSplitFollowsWeightsOverFewRequests(t *testing.T) {
	route := plainRoute("h", "a", true)
	route.Split = []api.WeightedPool{{Pool: "a", Weight: 7}, {Pool: "b", Weight: 2}, {Pool: "c", Weight: 1}, {Pool: "never", Weight: 0}}
	h := newHarness(t, newTable(1, route))
	for _, pool := range []string{"a", "b", "c", "never"} {
		h.addTarget("t"+pool, pool, home)
	}
	count := map[api.TargetID]int{}
	for range 50 {
		request := h.arrive("h")
		send := h.onlySend(request)
		count[send.Target]++
		h.endAttempt(send.Attempt, OutcomeSuccess, 200)
	}
	assert.DeepEqual(t, count, map[api.TargetID]int{"ta": 35, "tb": 10, "tc": 5})
}

// TestSplitFollowsGreatWeights guards against weights whose sum is infinite, after which all
// requests went to one pool.
func TestSplitFollowsGreatWeights(t *testing.T) {
	route := plainRoute("h", "a", true)
	route.Split = []api.WeightedPool{{Pool: "a", Weight: 1.5e308}, {Pool: "b", Weight: 0.5e308}, {Pool: "c", Weight: 5e-324}}
	h := newHarness(t, newTable(1, route))
	for _, pool := range []string{"a", "b", "c"} {
		h.addTarget("t"+pool, pool, home)
	}
	count := map[api.TargetID]int{}
	for range 40 {
		send := h.onlySend(h.arrive("h"))
		count[send.Target]++
		h.endAttempt(send.Attempt, OutcomeSuccess, 200)
	}
	assert.DeepEqual(t, count, map[api.TargetID]int{"ta": 30, "tb": 10})
}

// TestGreatNumberOfAttemptsAllowsRetries guards against a route whose attempts are so many that
// the limit of sends computed from them overflows, so that nothing is retried.
func TestGreatNumberOfAttemptsAllowsRetries(t *testing.T) {
	route := plainRoute("h", "a", true)
	route.Attempts = math.MaxInt
	h := newHarness(t, newTable(1, route))
	h.addTarget("t1", "a", home)
	h.addTarget("t2", "a", home)
	request := h.arrive("h")
	first := h.onlySend(request)
	h.endAttempt(first.Attempt, OutcomeNotRun, http.StatusServiceUnavailable)
	assert.Assert(t, h.onlySend(request).Target != first.Target)
}

// TestGreatCapacityOfATargetIsUsed guards against an announced number of slots from which
// the room that is computed overflows, so that the target gets no requests.
func TestGreatCapacityOfATargetIsUsed(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", true)))
	h.apply(TargetChanged{Announcement: api.Announcement{
		Target: "t", Service: "a", DataCentre: home, Incarnation: 1, Sequence: 1,
		Address: "10.0.0.1:80", State: api.TargetReady, Slots: math.MaxInt,
	}})
	for range 5 {
		assert.Equal(t, len(h.sends(h.arrive("h"))), 1)
	}
}

// TestNonIdempotentRequestIsRetriedOnlyIfNotRun ends the attempt of a request that isn't
// idempotent with each outcome. A retry after one that may have run could run the
// request twice.
//
// fault: kill x forward
func TestNonIdempotentRequestIsRetriedOnlyIfNotRun(t *testing.T) {
	cases := []struct {
		outcome Outcome
		retried bool
	}{
		{OutcomeNotRun, true}, {OutcomeWrongTarget, true}, {OutcomeNotSent, true}, {OutcomeNoRoom, true},
		{OutcomeBroken, false}, {OutcomeTimeout, false}, {OutcomeFailure, false}, {OutcomeSuccess, false},
	}
	for _, tc := range cases {
		t.Run(tc.outcome.String(), func(t *testing.T) {
			h := newHarness(t, newTable(1, plainRoute("h", "a", false)))
			h.addTarget("t1", "a", home)
			h.addTarget("t2", "a", home)
			request := h.arrive("h")
			first := h.onlySend(request)
			assert.Assert(t, first.VerifyConnection)
			effects := h.endAttempt(first.Attempt, tc.outcome, 500)
			assert.Equal(t, len(h.sends(request)) == 1, tc.retried)
			for _, refusal := range find[Refuse](effects) {
				assert.Equal(t, refusal.Status, http.StatusBadGateway, "503 would state that the request did not run")
				assert.Equal(t, refusal.RetryAfter, time.Duration(0))
			}
		})
	}
}

func TestNonIdempotentRequestIsNotHedged(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", false)))
	h.addTarget("t1", "a", home)
	h.addTarget("t2", "a", home)
	request := h.arrive("h")
	var refused []Refuse
	for len(refused) == 0 {
		assert.Equal(t, len(h.sends(request)), 1)
		refused = find[Refuse](h.fireTimer(request))
	}
	assert.Equal(t, refused[0].Status, http.StatusGatewayTimeout, "the request must end at its deadline")
}

// fault: failing-target x forward
func TestUnavailableStatusOnlyIfNoTargetMayHaveRun(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", false)))
	h.addTarget("t1", "a", home)
	h.addTarget("t2", "a", home)
	request := h.arrive("h")
	h.endAttempt(h.onlySend(request).Attempt, OutcomeNotRun, 503)
	refused := find[Refuse](h.endAttempt(h.onlySend(request).Attempt, OutcomeNotRun, 503))
	assert.Equal(t, refused[0].Status, http.StatusServiceUnavailable)
	assert.Assert(t, refused[0].RetryAfter > 0)

	request = h.arrive("h")
	h.endAttempt(h.onlySend(request).Attempt, OutcomeNotRun, 503)
	refused = find[Refuse](h.endAttempt(h.onlySend(request).Attempt, OutcomeBroken, 0))
	assert.Equal(t, refused[0].Status, http.StatusBadGateway)
}

func TestRouteAttemptsLimitTargetsThatMayRunAPart(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", true)))
	for i := range 6 {
		h.addTarget(fmt.Sprintf("t%d", i), "a", home)
	}
	request := h.arrive("h")
	tried := map[api.TargetID]bool{}
	for len(h.sends(request)) > 0 {
		send := h.onlySend(request)
		assert.Assert(t, !tried[send.Target], "the part was sent to the same target twice")
		tried[send.Target] = true
		h.endAttempt(send.Attempt, OutcomeBroken, 0)
	}
	assert.Equal(t, len(tried), 2)
}

func TestTargetFailureReplyIsRelayed(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", true)))
	h.addTarget("t1", "a", home)
	h.addTarget("t2", "a", home)
	request := h.arrive("h")
	notFound := h.onlySend(request)
	relayed := find[Relay](h.endAttempt(notFound.Attempt, OutcomeFailure, 404))
	assert.Equal(t, relayed[0].Attempt, notFound.Attempt, "status 404 must not be retried")

	request = h.arrive("h")
	h.endAttempt(h.onlySend(request).Attempt, OutcomeFailure, 500)
	second := h.onlySend(request)
	relayed = find[Relay](h.endAttempt(second.Attempt, OutcomeFailure, 500))
	assert.Equal(t, relayed[0].Attempt, second.Attempt)
}

func TestGatherIsMergedWhenAllPartsAreAnswered(t *testing.T) {
	h := newHarness(t, newTable(1, gatherRoute("h", "a", "b", "c")))
	for _, pool := range []string{"a", "b", "c"} {
		h.addTarget("t"+pool, pool, home)
	}
	request := h.arrive("h")
	sends := h.sends(request)
	assert.Equal(t, len(sends), 3)
	for _, send := range sends[:2] {
		assert.Equal(t, len(find[Merge](h.endAttempt(send.Attempt, OutcomeSuccess, 200))), 0)
	}
	merged := find[Merge](h.endAttempt(sends[2].Attempt, OutcomeSuccess, 200))
	assert.Equal(t, len(merged[0].Attempts), 3)
	assert.Equal(t, merged[0].Missing, 0)
	assert.Equal(t, merged[0].TopK, 5)
}

// fault: delayed-replies x forward
func TestGatherIsAnsweredPartiallyAtItsGoal(t *testing.T) {
	h := newHarness(t, newTable(1, gatherRoute("h", "a", "b", "c")))
	for _, pool := range []string{"a", "b", "c"} {
		h.addTarget("t"+pool, pool, home)
	}
	request := h.arrive("h")
	sends := h.sends(request)
	h.endAttempt(sends[0].Attempt, OutcomeSuccess, 200)
	h.endAttempt(sends[1].Attempt, OutcomeSuccess, 200)
	start := h.now
	var merged []Merge
	for len(merged) == 0 {
		merged = find[Merge](h.fireTimer(request))
	}
	assert.Equal(t, merged[0].Missing, 1)
	took := h.now.Sub(start)
	assert.Assert(t, took < 200*time.Millisecond && took > 150*time.Millisecond, "the answer took %v", took)
}

// TestPartialAnswerReachesTheCallerWithinTheGoal plays a gather with a late part for
// callers at several distances. The goal counts from when the caller began to connect, so
// the answer must leave early enough for the network to take its part of the goal, and
// for merging many parts.
func TestPartialAnswerReachesTheCallerWithinTheGoal(t *testing.T) {
	const goal = 100 * time.Millisecond
	for _, pools := range []int{3, 135} {
		for _, delay := range []time.Duration{0, 2 * time.Millisecond, 12 * time.Millisecond, 30 * time.Millisecond} {
			var names []string
			for i := range pools {
				names = append(names, fmt.Sprint("p", i))
			}
			route := gatherRoute("h", names...)
			route.Goal = goal
			h := newHarness(t, newTable(1, route))
			for _, pool := range names {
				h.addTarget("t"+pool, pool, home)
			}
			h.lastRequest++
			request := h.lastRequest
			h.apply(RequestArrived{Request: request, Host: "h", Path: "/a/x", Deadline: h.now.Add(time.Second), Delay: delay})
			for _, send := range h.sends(request)[1:] {
				h.endAttempt(send.Attempt, OutcomeSuccess, 200)
			}
			start := h.now
			for len(find[Merge](h.fireTimer(request))) == 0 {
			}
			left := goal - h.now.Sub(start) - delay
			needed := answerTime + time.Duration(pools)*partTime
			assert.Assert(t, left >= needed, "%v are left for merging %d parts and writing at a delay of %v", left, pools, delay)
		}
	}
}

func TestGatherBelowCoverageWaitsPastTheGoal(t *testing.T) {
	h := newHarness(t, newTable(1, gatherRoute("h", "a", "b", "c")))
	for _, pool := range []string{"a", "b", "c"} {
		h.addTarget("t"+pool, pool, home)
	}
	request := h.arrive("h")
	sends := h.sends(request)
	h.endAttempt(sends[0].Attempt, OutcomeSuccess, 200)
	h.advance(300 * time.Millisecond)
	assert.Equal(t, len(find[Merge](h.apply(TimerFired{Request: request}))), 0)
	merged := find[Merge](h.endAttempt(sends[1].Attempt, OutcomeSuccess, 200))
	assert.Equal(t, merged[0].Missing, 1, "past the goal the gather is answered once it reaches the least coverage")
}

func TestGatherWithTooFewUsablePoolsIsRefused(t *testing.T) {
	h := newHarness(t, newTable(1, gatherRoute("h", "a", "b", "c")))
	h.addTarget("ta", "a", home)
	refused := find[Refuse](h.allEffects)
	assert.Equal(t, len(refused), 0)
	request := h.arrive("h")
	refused = find[Refuse](h.allEffects)
	assert.Equal(t, refused[0].Status, http.StatusServiceUnavailable)
	assert.Assert(t, refused[0].RetryAfter > 0)
	assert.Equal(t, len(h.sends(request)), 0, "a refused request must not be sent to any target")
}

// fault: stop-continue x forward
func TestLatePartIsHedged(t *testing.T) {
	h := newHarness(t, newTable(1, gatherRoute("h", "a")))
	h.addTarget("t1", "a", home)
	h.addTarget("t2", "a", away)
	request := h.arrive("h")
	first := h.onlySend(request)
	assert.Equal(t, first.Target, api.TargetID("t1"), "the target in the node's data centre comes first")
	h.fireTimer(request)
	sends := h.sends(request)
	assert.Equal(t, len(sends), 2)
	merged := find[Merge](h.endAttempt(sends[1].Attempt, OutcomeSuccess, 200))
	assert.Equal(t, merged[0].Attempts[0], sends[1].Attempt)
	assert.Equal(t, len(find[Cancel](h.fireTimer(request))), 1, "the slower attempt is cancelled when the timer fires")
	h.endAttempt(first.Attempt, OutcomeCancelled, 0)
	assert.Equal(t, len(h.state.requests), 0)
}

// TestExtraRequestsStayWithinBudget loses the reply to every first attempt, at several
// request rates, and checks the number of retries in each window of the rule.
func TestExtraRequestsStayWithinBudget(t *testing.T) {
	for _, perSecond := range []int{1, 20, 100} {
		h := newHarness(t, newTable(1, plainRoute("h", "a", true)))
		for i := range 4 {
			h.addTarget(fmt.Sprintf("t%d", i), "a", home)
		}
		var first, extra []time.Time
		for range 30 * perSecond {
			request := h.arrive("h")
			first = append(first, h.now)
			h.endAttempt(h.onlySend(request).Attempt, OutcomeBroken, 0)
			if retried := h.sends(request); len(retried) > 0 {
				extra = append(extra, h.now)
				h.endAttempt(retried[0].Attempt, OutcomeSuccess, 200)
			}
			h.advance(time.Second / time.Duration(perSecond))
		}
		assert.Assert(t, len(extra) > 0)
		for _, start := range extra {
			spent := countWithin(extra, start, testBudget.Window)
			allowed := testBudget.Ratio*float64(countWithin(first, start, testBudget.Window)) + testBudget.Slack
			assert.Assert(t, float64(spent) <= math.Ceil(allowed), "%d extra requests, %.1f allowed, at %d requests per second", spent, allowed, perSecond)
		}
	}
}

// countWithin returns the number of times in the window that begins at start.
func countWithin(times []time.Time, start time.Time, window time.Duration) int {
	count := 0
	for _, current := range times {
		if !current.Before(start) && current.Before(start.Add(window)) {
			count++
		}
	}
	return count
}

func TestWallClockChangeDoesNotResetBudget(t *testing.T) {
	var b budget
	now := time.Now()
	for b.spend(testBudget, now, 1) {
	}
	// Buckets of one second are numbered by the monotonic time since the first use. If
	// they were numbered by the time of day, setting the clock forward would clear them.
	assert.Assert(t, !b.spend(testBudget, now.Add(time.Second), 1))
	assert.Equal(t, b.current, int64(1))
}

func TestNodesShareTheBudgetSlack(t *testing.T) {
	var alone, shared budget
	now := time.Unix(1_000_000, 0)
	spentAlone, spentShared := 0, 0
	for alone.spend(testBudget, now, 1) {
		spentAlone++
	}
	for shared.spend(testBudget, now, 5) {
		spentShared++
	}
	assert.Assert(t, spentAlone <= 50 && spentAlone >= 25, "a single node spent %d", spentAlone)
	assert.Assert(t, 5*spentShared <= 50 && spentShared >= 5, "one of five nodes spent %d", spentShared)
}

func TestHedgesLeaveBudgetForRetries(t *testing.T) {
	var b budget
	now := time.Unix(1_000_000, 0)
	for b.spendOnHedge(testBudget, now, 1) {
	}
	assert.Assert(t, b.spend(testBudget, now, 1), "hedges must leave budget for a retry")
}

func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	for _, state := range []api.TargetState{api.TargetDraining, api.TargetGone} {
		h := newHarness(t, newTable(1, plainRoute("h", "a", true)))
		h.addTarget("t1", "a", home)
		pending := h.arrive("h")
		announcement := h.state.targets["t1"].announcement
		announcement.State = state
		h.apply(TargetChanged{Announcement: announcement})
		refused := h.arrive("h")
		assert.Equal(t, len(h.sends(refused)), 0)
		relayed := find[Relay](h.endAttempt(h.onlySend(pending).Attempt, OutcomeSuccess, 200))
		assert.Equal(t, len(relayed), 1, "the attempt in flight must still be answered")
	}
}

// fault: failing-target x forward
func TestUnreachableTargetRecoversThroughHealthCheck(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", true)))
	h.addTarget("t1", "a", home)
	for range 2 {
		h.endAttempt(h.onlySend(h.arrive("h")).Attempt, OutcomeNotSent, 0)
	}
	assert.Equal(t, len(h.sends(h.arrive("h"))), 0)
	assert.Equal(t, len(find[Probe](h.apply(Tick{}))), 0, "the first health check must not be sent at once")
	h.advance(minProbeInterval)
	assert.Equal(t, len(find[Probe](h.apply(Tick{}))), 1)
	assert.Equal(t, len(find[Probe](h.apply(Tick{}))), 0, "health checks of a target must not overlap")
	h.apply(ProbeEnded{Target: "t1", Incarnation: 1, Healthy: true})
	assert.Equal(t, len(h.sends(h.arrive("h"))), 1)
}

func TestTargetAtConnectionLimitStaysReachable(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", true)))
	h.addTarget("t1", "a", home)
	h.addTarget("t2", "a", home)
	for range 4 {
		h.endAttempt(h.onlySend(h.arrive("h")).Attempt, OutcomeNoRoom, 0)
		h.advance(2 * connectionLimitPause)
		for id := range h.inFlight {
			h.endAttempt(id, OutcomeSuccess, 200)
		}
	}
	for _, target := range h.state.targets {
		assert.Assert(t, !target.unreachable)
	}
}

// TestPartWaitsForTargetsAtConnectionLimit has every target of a shard reset new
// connections, as when they still count those of nodes that have lost power. The part
// must wait until they accept connections again.
//
// fault: failing-target x forward
func TestPartWaitsForTargetsAtConnectionLimit(t *testing.T) {
	h := newHarness(t, newTable(1, gatherRoute("h", "a", "b")))
	h.addTarget("a1", "a", home)
	h.addTarget("b1", "b", home)
	h.addTarget("b2", "b", away)
	request := h.arrive("h")
	began := h.now
	for range 2 {
		for _, send := range h.sends(request) {
			if send.Target != "a1" {
				assert.Equal(t, len(find[Refuse](h.endAttempt(send.Attempt, OutcomeNoRoom, 0))), 0)
			}
		}
	}
	assert.Equal(t, h.onlySend(request).Target, api.TargetID("a1"), "no target of b accepts a connection")
	h.endAttempt(h.onlySend(request).Attempt, OutcomeSuccess, 200)
	for len(h.sends(request)) == 0 {
		h.fireTimer(request)
	}
	assert.Equal(t, h.now.Sub(began), connectionLimitPause)
	merged := find[Merge](h.endAttempt(h.onlySend(request).Attempt, OutcomeSuccess, 200))
	assert.Equal(t, len(merged), 1)
	assert.Equal(t, merged[0].Missing, 0)
}

// TestGatherBlockedByConnectionLimitIsAnsweredAfterItsGoal has a shard accept no connection
// for longer than the goal. The gather must be answered late rather than refused.
//
// fault: failing-target x forward
func TestGatherBlockedByConnectionLimitIsAnsweredAfterItsGoal(t *testing.T) {
	h := newHarness(t, newTable(1, gatherRoute("h", "a", "b")))
	h.addTarget("a1", "a", home)
	h.addTarget("b1", "b", home)
	request := h.arrive("h")
	began := h.now
	for h.now.Sub(began) < 600*time.Millisecond {
		for _, send := range h.sends(request) {
			outcome := OutcomeSuccess
			if send.Target == "b1" {
				outcome = OutcomeNoRoom
			}
			assert.Equal(t, len(find[Refuse](h.endAttempt(send.Attempt, outcome, 200))), 0)
		}
		assert.Equal(t, len(find[Refuse](h.fireTimer(request))), 0)
	}
	assert.Equal(t, len(find[Merge](h.endAttempt(h.onlySend(request).Attempt, OutcomeSuccess, 200))), 1)
}

// fault: failing-target x forward
func TestSlowTargetLosesRequestsToFasterRemoteTarget(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", true)))
	h.addTarget("near", "a", home)
	h.addTarget("far", "a", away)
	count := map[api.TargetID]int{}
	for i := range 200 {
		request := h.arrive("h")
		send := h.onlySend(request)
		took := 20 * time.Millisecond
		switch {
		case send.Target == "far":
			took += defaultRoundTrip
		case i >= 50:
			took = 300 * time.Millisecond
		}
		if i >= 100 {
			count[send.Target]++
		}
		h.advance(took)
		h.endAttempt(send.Attempt, OutcomeSuccess, 200)
	}
	assert.Assert(t, count["far"] > 75, "most requests must go to the faster target: %v", count)
	assert.Assert(t, count["near"] > 0, "the slow target must be tried again now and then: %v", count)
}

// TestReportedSlowdownMovesRequests has a target report that its work takes eight times
// as long as usual, and later that it takes as long as usual. Requests must move away
// after one report, and back in the end.
//
// fault: failing-target x forward
func TestReportedSlowdownMovesRequests(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", true)))
	h.addTarget("near", "a", home)
	h.addTarget("far", "a", away)
	const usual = 20 * time.Millisecond
	sendOne := func(slowdown float64) api.TargetID {
		send := h.onlySend(h.arrive("h"))
		took := usual
		if send.Target == "far" {
			took += defaultRoundTrip
		} else if slowdown > 0 {
			took = time.Duration(slowdown * float64(usual))
		}
		h.advance(took)
		report := LoadReport{Known: true, Running: 1, Slots: 3}
		if send.Target == "near" {
			report.Slowdown = slowdown
		}
		h.apply(AttemptEnded{Attempt: send.Attempt, Outcome: OutcomeSuccess, Status: 200, Load: report})
		delete(h.inFlight, send.Attempt)
		return send.Target
	}
	for range 20 {
		assert.Equal(t, sendOne(1), api.TargetID("near"))
	}
	assert.Equal(t, sendOne(8), api.TargetID("near"))
	for range 10 {
		assert.Equal(t, sendOne(8), api.TargetID("far"), "one report must move requests to the other target")
	}
	h.advance(5 * time.Second)
	assert.Equal(t, sendOne(1), api.TargetID("near"), "the target must be tried again")
	for range 20 {
		assert.Equal(t, sendOne(1), api.TargetID("near"))
	}
}

// fault: stop-continue x forward
func TestRarePausesDoNotMoveRequests(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", true)))
	h.addTarget("near", "a", home)
	h.addTarget("far", "a", away)
	count := map[api.TargetID]int{}
	for i := range 600 {
		request := h.arrive("h")
		send := h.onlySend(request)
		took := 20 * time.Millisecond
		if send.Target == "far" {
			took += defaultRoundTrip
		}
		if i%200 == 0 {
			took = 250 * time.Millisecond
		}
		count[send.Target]++
		h.advance(took)
		h.endAttempt(send.Attempt, OutcomeSuccess, 200)
	}
	assert.Assert(t, count["near"] > 540, "nearly all requests must go to the local target: %v", count)
}

func TestCallerGoneCancelsAttempts(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", true)))
	h.addTarget("t1", "a", home)
	request := h.arrive("h")
	effects := h.apply(CallerGone{Request: request})
	assert.Equal(t, len(find[Abandon](effects)), 1)
	began := h.now
	assert.Equal(t, len(find[Cancel](h.fireTimer(request))), 1)
	assert.Assert(t, h.now.Sub(began) < 500*time.Millisecond)
}

func TestShutdownAnswersPendingRequests(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", true), gatherRoute("g", "a", "b")))
	h.addTarget("t1", "a", home)
	h.addTarget("t2", "b", home)
	h.arrive("h")
	h.arrive("g")
	effects := h.apply(ShuttingDown{})
	assert.Equal(t, len(find[Refuse](effects)), 2)
	assert.Equal(t, h.state.InProgress(), 0)
}

// fault: overload x forward
func TestQueueIsOrderedByDueTime(t *testing.T) {
	slow, urgent := plainRoute("slow", "a", true), plainRoute("urgent", "a", true)
	urgent.Goal = 300 * time.Millisecond
	h := newHarness(t, newTable(1, slow, urgent))
	h.addTarget("t1", "a", home)
	share := h.state.targets["t1"].share
	var running []RequestID
	for range share {
		running = append(running, h.arrive("slow"))
	}
	later, sooner := h.arrive("slow"), h.arrive("urgent")
	h.endAttempt(h.onlySend(running[0]).Attempt, OutcomeSuccess, 200)
	assert.Equal(t, len(h.sends(sooner)), 1)
	assert.Equal(t, len(h.sends(later)), 0)
}

func TestUnsentPlainRequestIsRefusedEarly(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("h", "a", true)))
	h.addTarget("t1", "a", home)
	for range h.state.targets["t1"].share {
		h.arrive("h")
	}
	began := h.now
	waiting := h.arrive("h")
	refused := find[Refuse](h.fireTimer(waiting))
	assert.Equal(t, refused[0].Status, http.StatusServiceUnavailable)
	assert.Assert(t, refused[0].RetryAfter > 0)
	assert.Assert(t, h.now.Sub(began) <= 100*time.Millisecond, "a quarter of the goal is allowed")
}

func TestConnectionSharesFavourUnservedDataCentres(t *testing.T) {
	h := newHarness(t, newTable(1, gatherRoute("h", "a", "b")))
	h.apply(NodesChanged{PerDataCentre: map[string]int{home: 3, away: 3, "third": 3}})
	h.addTarget("a-away", "a", away)
	h.addTarget("b-away", "b", away)
	h.addTarget("b-home", "b", home)
	alone := h.state.targets["a-away"].share
	oneOfTwo := h.state.targets["b-away"].share
	assert.Assert(t, alone > oneOfTwo, "shares are %d and %d: nodes in a data centre without a target of the pool need more", alone, oneOfTwo)
	for _, target := range h.state.targets {
		assert.Assert(t, target.share <= target.announcement.Slots+spareConnections)
	}
}

// TestStartedNodeVerifiesNewConnections checks that a node verifies new connections for a
// time after its start: targets may still count the connections of its previous process
// and reset new ones, and a request sent on one that is reset may have run.
func TestStartedNodeVerifiesNewConnections(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("plain", "p", true), plainRoute("once", "p", false)))
	h.addTarget("a", "p", home)
	verifies := func(host string) bool {
		send := h.onlySend(h.arrive(host))
		h.endAttempt(send.Attempt, OutcomeSuccess, 200)
		return send.VerifyConnection
	}
	assert.Assert(t, verifies("plain"))
	h.advance(startVerifyTime)
	assert.Assert(t, !verifies("plain"))
	assert.Assert(t, verifies("once"), "a request that isn't idempotent must not run twice")
}

// TestRemoteTargetIsChosenOnlyIfMuchFaster has a local target that is as fast as the
// remote one, somewhat slower, and far slower.
func TestRemoteTargetIsChosenOnlyIfMuchFaster(t *testing.T) {
	const work = 20 * time.Millisecond
	for _, c := range []struct {
		slowdown float64
		remote   bool
	}{{1, false}, {1.8, false}, {4, true}} {
		h := newHarness(t, newTable(1, plainRoute("plain", "p", true)))
		h.addTarget("near", "p", home)
		h.addTarget("far", "p", away)
		h.state.roundTrips[away] = 16 * time.Millisecond
		route := h.state.routes.find("plain", "/a/x")
		route.stats.work = work
		near := h.state.targets["near"]
		near.slowdown, near.slowdownAt = c.slowdown, h.now
		assert.Equal(t, h.onlySend(h.arrive("plain")).Target == "far", c.remote, "the local target is %g times as slow as the remote one", c.slowdown)
	}
}

// TestNothingIsAdmittedAfterTheShutdown guards against requests that are admitted once all
// others were answered: nothing answers them before the process exits.
func TestNothingIsAdmittedAfterTheShutdown(t *testing.T) {
	for _, table := range []*api.RoutingTable{nil, newTable(1, plainRoute("h", "a", false))} {
		h := newHarness(t, table)
		h.addTarget("t1", "a", home)
		h.apply(ShuttingDown{})
		for _, fromPeer := range []*FromPeer{nil, {TableVersion: 1, Attempts: 2}} {
			h.lastRequest++
			refused := find[Refuse](h.apply(RequestArrived{Request: h.lastRequest, Host: "h", Path: "/a/x", FromPeer: fromPeer}))
			assert.Equal(t, len(refused), 1)
			assert.Equal(t, refused[0].Status, http.StatusServiceUnavailable)
			assert.Assert(t, refused[0].RetryAfter > 0)
			assert.Equal(t, len(h.sends(h.lastRequest)), 0)
		}
		assert.Equal(t, h.state.InProgress(), 0)
	}
}
