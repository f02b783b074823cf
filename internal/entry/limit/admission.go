package limit

import "time"

// Parameters of admission control.
const (
	// maxWaiting is the maximum queue length of a service.
	maxWaiting = 4096
	// intervalWeight is the weight of the newest sample in the exponentially
	// weighted moving average of the time between completions.
	intervalWeight = 0.05
	// maxWaitFraction is the fraction of a search's slack that it may spend in
	// the queue. If the queue could use all of it, every search would complete
	// just before its deadline and any further delay would make it fail.
	maxWaitFraction = 0.5
	// minRetryAfter is the minimum retry delay given to a refused caller.
	minRetryAfter = 50 * time.Millisecond
)

// Admission decides whether a search that has to queue can still finish before
// its deadline. It estimates the queueing delay from the rate at which the service
// completes searches while its queue isn't empty.
type Admission struct {
	// completionInterval is the moving average of the time between completions, 0
	// before the first sample.
	completionInterval time.Duration
	lastCompletion     time.Time
	// hadWaiting reports whether searches were queued at the last completion.
	hadWaiting bool
}

// RecordCompletion records that a search has released its slots while waiting
// others were queued. The time since the previous completion is a sample only
// if searches were queued at both; otherwise the service may have been idle in
// between.
func (a *Admission) RecordCompletion(now time.Time, waiting int) {
	gap := now.Sub(a.lastCompletion)
	sample := a.hadWaiting && waiting > 0
	a.lastCompletion = now
	a.hadWaiting = waiting > 0
	if !sample {
		return
	}
	if a.completionInterval == 0 {
		a.completionInterval = gap
		return
	}
	a.completionInterval += time.Duration(intervalWeight * float64(gap-a.completionInterval))
}

// EstimateWait estimates how long it takes to complete waiting searches.
func (a *Admission) EstimateWait(waiting int) time.Duration {
	return time.Duration(waiting) * a.completionInterval
}

// Admit reports whether a search may be queued behind waiting others. timeLeft
// is the time until its deadline and execution its expected execution time. If
// timeLeft is less than execution, the search is admitted only to an empty queue.
func (a *Admission) Admit(waiting int, timeLeft, execution time.Duration) bool {
	slack := timeLeft - execution
	if slack < 0 {
		return waiting == 0
	}
	return waiting < maxWaiting && a.EstimateWait(waiting+1) <= time.Duration(maxWaitFraction*float64(slack))
}

// RetryAfter returns the delay after which a refused caller should retry: the
// estimated time to drain the current queue, at least minRetryAfter, plus a
// jitter of up to the same time that is derived from seed, so that refused
// callers don't all retry at the same time.
func (a *Admission) RetryAfter(waiting int, seed uint64) time.Duration {
	base := max(minRetryAfter, a.EstimateWait(waiting))
	jitter := time.Duration(seed % uint64(base))
	return base + jitter
}
