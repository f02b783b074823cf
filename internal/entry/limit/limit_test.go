package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1_000_000, 0)

func TestBreakerLetsOneTrialThrough(t *testing.T) {
	var b Breaker
	assert.Assert(t, b.Allow())
	b.Done(CallGivenUp)
	assert.Assert(t, b.Allow(), "a call that its caller ended says nothing")
	b.Done(CallFailed)
	assert.Assert(t, b.Allow(), "the trial")
	assert.Assert(t, !b.Allow(), "beside the trial")
	b.Done(CallFailed)
	assert.Assert(t, b.Allow(), "the next trial")
	b.Done(CallSucceeded)
	assert.Assert(t, b.Allow())
	assert.Assert(t, b.Allow())
}

func TestConcurrency(t *testing.T) {
	c := NewConcurrency(6, 3)
	assert.Equal(t, c.Requests(), 2)
	for range 50 {
		c.Completed(c.Requests())
	}
	assert.Equal(t, c.Requests(), 6, "never above the slots")
	c.Completed(1)
	c.Queued(now)
	assert.Equal(t, c.Requests(), 4)
	c.Queued(now.Add(decreaseInterval / 2))
	assert.Equal(t, c.Requests(), 4, "one burst of sheds counts once")
	for i := range 20 {
		c.Queued(now.Add(time.Duration(i+1) * decreaseInterval))
	}
	assert.Equal(t, c.Requests(), 1, "a trickle stays")
}

func TestExtraLoadIsAFractionOfTheServicesOwn(t *testing.T) {
	e := NewExtraLoad(2)
	spent := 0
	for range 10_000 {
		e.Earn(1)
		if e.Spend() {
			spent++
		}
	}
	assert.Assert(t, spent >= 200 && spent <= 202, "%d extra requests", spent)
}

// fault: kill x announce
func TestShareShrinksBeforeOthersGrow(t *testing.T) {
	var s Share
	assert.Equal(t, s.Update(now, 8), 8)
	assert.Equal(t, s.Update(now, 6), 6, "a node joined: at once")
	assert.Equal(t, s.Update(now, 8), 6, "a node left: not yet")
	assert.Equal(t, s.Update(now.Add(growDelay/2), 8), 6)
	assert.Equal(t, s.Update(now.Add(growDelay/2), 12), 6, "another left: the wait begins again")
	assert.Equal(t, s.Update(now.Add(growDelay), 12), 6)
	assert.Equal(t, s.Update(now.Add(2*growDelay), 12), 12)
}

func TestSharesNeverExceedTheConnections(t *testing.T) {
	for _, connections := range []int{5, 30, 50, 100} {
		for nodes := 1; nodes*2 <= connections; nodes++ {
			remote := min(6, connections/10)
			sum := nodes*ConnectionShare(connections, nodes) + remote*RemoteConnectionShare(connections, remote)
			assert.Assert(t, sum <= connections, "%d connections, %d nodes: %d", connections, nodes, sum)
		}
	}
}

func TestAdmission(t *testing.T) {
	var a Admission
	for i := range 200 {
		a.Completed(now.Add(time.Duration(i)*10*time.Millisecond), 5)
	}
	const execution = 40 * time.Millisecond
	assert.Assert(t, a.Admit(5, 500*time.Millisecond, execution))
	assert.Assert(t, !a.Admit(50, 500*time.Millisecond, execution), "half a second of queue")
	assert.Assert(t, !a.Admit(5, 30*time.Millisecond, execution), "less than the execution takes")
	assert.Assert(t, !a.Admit(maxWaiting, time.Hour, execution))
	first, second := a.RetryAfter(50, 1), a.RetryAfter(50, 123_456_789)
	assert.Assert(t, first >= 400*time.Millisecond && first <= time.Second)
	assert.Assert(t, first != second, "refused callers are spread")
}

func TestIdleTimeIsNotTimeBetweenCompletions(t *testing.T) {
	var a Admission
	for i := range 10 {
		a.Completed(now.Add(time.Duration(i)*10*time.Millisecond), 5)
	}
	a.Completed(now.Add(time.Second), 0)
	a.Completed(now.Add(time.Hour), 5)
	assert.Equal(t, a.Wait(10), 100*time.Millisecond)
}
