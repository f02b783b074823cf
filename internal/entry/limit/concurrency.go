// Package limit holds the limits that an entry node keeps towards targets and
// callers: concurrency at a target, the share of a target's connections, the
// extra load of hedges and retries, and the admission of searches. All of it
// is pure: time comes in as an argument.
package limit

import "time"

// Constants of the adaptive concurrency limit.
const (
	// decreaseFactor is what a sign of queueing leaves of the limit.
	decreaseFactor = 0.7
	// decreaseInterval is the shortest time between two decreases, so that one
	// burst of sheds counts once.
	decreaseInterval = 50 * time.Millisecond
	// minConcurrency keeps a trickle of requests, without which a target could
	// never show that it has recovered.
	minConcurrency = 1.0
)

// Concurrency is the number of requests that one entry node keeps at a target
// at once. It grows additively while it is used in full and the target shows
// no queue, and shrinks multiplicatively when the target sheds or queues: the
// AIMD rule of congestion control (Chiu and Jain 1989). Without it the entry
// nodes together would send a target more than its slots, and requests would
// wait there instead of being sent to another replica.
type Concurrency struct {
	limit    float64
	ceiling  float64
	fixed    bool
	lastDrop time.Time
}

// NewConcurrency returns a limit for a target with the given slots, shared by
// nodes entry nodes. The limit never exceeds the slots.
func NewConcurrency(slots, nodes int) Concurrency {
	start := max(minConcurrency, float64(slots)/float64(max(nodes, 1)))
	return Concurrency{limit: start, ceiling: float64(max(slots, 1))}
}

// NewFixedConcurrency returns a limit that never adapts.
func NewFixedConcurrency(requests int) Concurrency {
	return Concurrency{limit: float64(requests), ceiling: float64(requests), fixed: true}
}

// Requests returns the greatest number of requests in flight.
func (c *Concurrency) Requests() int {
	return int(c.limit)
}

// SetCeiling bounds the limit by the target's slots and by the connections
// that this node may hold to it.
func (c *Concurrency) SetCeiling(requests int) {
	if c.fixed {
		return
	}
	c.ceiling = max(minConcurrency, float64(requests))
	c.limit = min(c.limit, c.ceiling)
}

// Restart puts the limit to its minimum, for a target after a cold start.
func (c *Concurrency) Restart() {
	if !c.fixed {
		c.limit = minConcurrency
	}
}

// Completed notes a request that ran without a sign of queueing while inFlight
// requests were at the target.
func (c *Concurrency) Completed(inFlight int) {
	if c.fixed || inFlight < c.Requests() {
		return
	}
	c.limit = min(c.ceiling, c.limit+1/c.limit)
}

// Queued notes that the target shed a request or has more than its slots.
func (c *Concurrency) Queued(now time.Time) {
	if c.fixed || now.Sub(c.lastDrop) < decreaseInterval {
		return
	}
	c.lastDrop = now
	c.limit = max(minConcurrency, c.limit*decreaseFactor)
}
