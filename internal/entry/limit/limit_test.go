package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1_000_000, 0)

func TestOpenBreakerAllowsOneTrialAtATime(t *testing.T) {
	var b Breaker
	assert.Assert(t, b.Allow())
	b.Done(CallCancelled)
	assert.Assert(t, b.Allow(), "a cancelled call leaves the breaker closed")
	b.Done(CallFailed)
	assert.Assert(t, b.Allow(), "the first trial")
	assert.Assert(t, !b.Allow(), "a call during the trial")
	b.Done(CallFailed)
	assert.Assert(t, b.Allow(), "the next trial")
	b.Done(CallSucceeded)
	assert.Assert(t, b.Allow())
	assert.Assert(t, b.Allow())
}

func TestConcurrencyGrowsAndShrinksWithinBounds(t *testing.T) {
	c := NewConcurrency(6, 3)
	assert.Equal(t, c.MaxInFlight(), 2)
	for range 50 {
		c.RecordSuccess(c.MaxInFlight())
	}
	assert.Equal(t, c.MaxInFlight(), 6, "never above the slots")
	c.RecordSuccess(1)
	c.RecordOverload(now)
	assert.Equal(t, c.MaxInFlight(), 4)
	c.RecordOverload(now.Add(decreaseInterval / 2))
	assert.Equal(t, c.MaxInFlight(), 4, "a burst of shed requests counts once")
	for i := range 20 {
		c.RecordOverload(now.Add(time.Duration(i+1) * decreaseInterval))
	}
	assert.Equal(t, c.MaxInFlight(), 1, "the minimum")
}

func TestExtraLoadIsBoundedByAFractionOfRequests(t *testing.T) {
	e := NewExtraLoad(2)
	sent := 0
	for range 10_000 {
		e.Deposit(1)
		if e.TryWithdraw() {
			sent++
		}
	}
	assert.Assert(t, sent >= 200 && sent <= 202, "%d extra requests", sent)
}

// fault: kill x announce
func TestShareShrinksAtOnceAndGrowsAfterDelay(t *testing.T) {
	var s Share
	assert.Equal(t, s.Update(now, 8), 8)
	assert.Equal(t, s.Update(now, 6), 6, "a decrease applies at once")
	assert.Equal(t, s.Update(now, 8), 6, "an increase is delayed")
	assert.Equal(t, s.Update(now.Add(growthDelay/2), 8), 6)
	assert.Equal(t, s.Update(now.Add(growthDelay/2), 12), 6, "another increase restarts the delay")
	assert.Equal(t, s.Update(now.Add(growthDelay), 12), 6)
	assert.Equal(t, s.Update(now.Add(2*growthDelay), 12), 12)
}

func TestSharesNeverExceedTargetConnections(t *testing.T) {
	for _, connections := range []int{5, 30, 50, 100} {
		for nodes := 1; nodes*2 <= connections; nodes++ {
			remote := min(6, connections/10)
			sum := nodes*ConnectionShare(connections, nodes) + remote*RemoteConnectionShare(connections, remote)
			assert.Assert(t, sum <= connections, "%d connections, %d nodes: %d", connections, nodes, sum)
		}
	}
}

func TestAdmissionRefusesSearchesThatCannotFinish(t *testing.T) {
	var a Admission
	for i := range 200 {
		a.RecordCompletion(now.Add(time.Duration(i)*10*time.Millisecond), 5)
	}
	const execution = 40 * time.Millisecond
	assert.Assert(t, a.Admit(5, 500*time.Millisecond, execution))
	assert.Assert(t, !a.Admit(50, 500*time.Millisecond, execution), "the estimated wait of half a second is too long")
	assert.Assert(t, !a.Admit(5, 30*time.Millisecond, execution), "the time left is shorter than the execution")
	assert.Assert(t, !a.Admit(maxWaiting, time.Hour, execution))
	first, second := a.RetryAfter(50, 1), a.RetryAfter(50, 123_456_789)
	assert.Assert(t, first >= 400*time.Millisecond && first <= time.Second)
	assert.Assert(t, first != second, "retries of refused callers are spread")
}

func TestWaitEstimateIgnoresIdleTime(t *testing.T) {
	var a Admission
	for i := range 10 {
		a.RecordCompletion(now.Add(time.Duration(i)*10*time.Millisecond), 5)
	}
	a.RecordCompletion(now.Add(time.Second), 0)
	a.RecordCompletion(now.Add(time.Hour), 5)
	assert.Equal(t, a.EstimateWait(10), 100*time.Millisecond)
}
