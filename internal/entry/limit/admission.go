package limit

import "time"

// Constants of admission.
const (
	// maxWaiting bounds the searches of one service that wait for a slot.
	maxWaiting = 4096
	// intervalWeight is the weight of the newest completion in the moving
	// average of the time between completions.
	intervalWeight = 0.05
	// maxWaitFraction of the time that a search has to spare may be spent in
	// the queue. A queue as long as the deadlines allow would make each search
	// end at the edge of its deadline, and any hold-up then costs its answer.
	maxWaitFraction = 0.5
	// minRetryAfter is the shortest time that a refused caller is told.
	minRetryAfter = 50 * time.Millisecond
)

// Admission decides whether a search that would have to wait can still finish
// in time. It estimates the wait from how fast the service completes searches
// while others wait.
type Admission struct {
	interval time.Duration
	last     time.Time
	busy     bool
}

// Completed notes that a search of the service gave its slots back while
// waiting others waited. Only the time between two such completions counts:
// before the first one the service may have been idle.
func (a *Admission) Completed(now time.Time, waiting int) {
	gap := now.Sub(a.last)
	sample := a.busy && waiting > 0
	a.last = now
	a.busy = waiting > 0
	if !sample {
		return
	}
	if a.interval == 0 {
		a.interval = gap
		return
	}
	a.interval += time.Duration(intervalWeight * float64(gap-a.interval))
}

// Wait estimates how long a search waits behind waiting others.
func (a *Admission) Wait(waiting int) time.Duration {
	return time.Duration(waiting) * a.interval
}

// Admit reports whether a search with timeLeft may wait behind waiting others
// when its own execution takes about execution.
func (a *Admission) Admit(waiting int, timeLeft, execution time.Duration) bool {
	spare := timeLeft - execution
	if spare < 0 {
		return waiting == 0
	}
	return waiting < maxWaiting && a.Wait(waiting+1) <= time.Duration(maxWaitFraction*float64(spare))
}

// RetryAfter tells a refused caller when to come back: when the present queue
// has drained, spread by seed over as much again so that the refused callers
// don't return together.
func (a *Admission) RetryAfter(waiting int, seed uint64) time.Duration {
	base := max(minRetryAfter, a.Wait(waiting))
	spread := time.Duration(seed % uint64(base))
	return base + spread
}
