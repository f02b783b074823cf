// Package limit implements the limits that an entry node applies to targets and
// callers: concurrency per target, the share of a target's connections, the
// budget for hedges and retries, a circuit breaker, and the admission of
// searches. The types don't read the clock; the current time is an argument.
package limit

import "time"

// Parameters of the adaptive concurrency limit.
const (
	// decreaseFactor is the multiplicative decrease on a sign of queueing.
	decreaseFactor = 0.7
	// decreaseInterval is the minimum time between two decreases, so that a burst
	// of shed requests decreases the limit only once.
	decreaseInterval = 50 * time.Millisecond
	// minConcurrency is the lower bound of the limit. Without any requests a target
	// couldn't show that it has recovered.
	minConcurrency = 1.0
)

// Concurrency limits the requests that one entry node has in flight to a
// target. The limit increases additively while it is fully used and the target
// shows no sign of queueing, and decreases multiplicatively when the target
// sheds or queues requests (AIMD, Chiu and Jain 1989). Without it the entry
// nodes together would exceed the target's slots, and requests would queue
// there instead of being sent to another replica.
type Concurrency struct {
	limit        float64
	ceiling      float64
	fixed        bool
	lastDecrease time.Time
}

// NewConcurrency returns an adaptive limit for a target whose slots are shared
// by the given number of entry nodes. It starts at the node's share and never
// exceeds the ceiling, which is the number of slots until SetCeiling changes it.
func NewConcurrency(slots, nodes int) Concurrency {
	start := max(minConcurrency, float64(slots)/float64(max(nodes, 1)))
	return Concurrency{limit: start, ceiling: float64(max(slots, 1))}
}

// NewFixedConcurrency returns a limit that never adapts.
func NewFixedConcurrency(requests int) Concurrency {
	return Concurrency{limit: float64(requests), ceiling: float64(requests), fixed: true}
}

// MaxInFlight returns the maximum number of requests in flight.
func (c *Concurrency) MaxInFlight() int {
	return int(c.limit)
}

// SetCeiling sets the upper bound of an adaptive limit, which is derived from
// the target's slots and the node's share of its connections.
func (c *Concurrency) SetCeiling(requests int) {
	if c.fixed {
		return
	}
	c.ceiling = max(minConcurrency, float64(requests))
	c.limit = min(c.limit, c.ceiling)
}

// Reset sets an adaptive limit to its minimum, for a target that is warming up
// after a cold start.
func (c *Concurrency) Reset() {
	if !c.fixed {
		c.limit = minConcurrency
	}
}

// RecordSuccess records a request that ran without a sign of queueing while
// inFlight requests were at the target. It increases the limit if that was
// fully used.
func (c *Concurrency) RecordSuccess(inFlight int) {
	if c.fixed || inFlight < c.MaxInFlight() {
		return
	}
	c.limit = min(c.ceiling, c.limit+1/c.limit)
}

// RecordOverload records that the target shed a request or reported more
// requests than it has slots. It decreases the limit, at most once in
// decreaseInterval.
func (c *Concurrency) RecordOverload(now time.Time) {
	if c.fixed || now.Sub(c.lastDecrease) < decreaseInterval {
		return
	}
	c.lastDecrease = now
	c.limit = max(minConcurrency, c.limit*decreaseFactor)
}
