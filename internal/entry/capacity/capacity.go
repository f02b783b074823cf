// Package capacity learns how many requests at a time a target handles well.
package capacity

import "time"

const (
	// tolerance is the ratio of a target's reply times to the usual ones up to which it is
	// taken to handle its load well. Speeds of targets and work vary by that much.
	tolerance = 1.4
	// minFraction of the announced slots is the least capacity.
	minFraction = 0.3
	// smoothing is the weight of the newest window.
	smoothing = 0.35
	// windowLength is the least length of a window. Up to half as much is added at
	// random, so that nodes don't change their estimates together. Noise of half a second
	// then fills less than half of a window.
	windowLength = 1200 * time.Millisecond
	// minSamples is the least number of replies in a window.
	minSamples = 6
	// maxRatio limits the ratio of one reply, as one that met a pause says little.
	maxRatio = 3.0
	// staleAfter is the time without replies after which a window is begun anew.
	staleAfter = 5 * time.Second
	// idleHalfLife is the time without replies in which half of what the capacity lacks
	// is restored.
	idleHalfLife = 10 * time.Second
)

// Estimate is the learned capacity of one target. The zero value has learned nothing.
type Estimate struct {
	// missing is the fraction of the slots that the target does not handle well.
	missing float64
	// start and length are those of the current window, sum and count of its replies.
	// last is the time of the newest reply.
	start  time.Time
	last   time.Time
	length time.Duration
	sum    float64
	count  int
}

// Reply is what a reply says about its target.
type Reply struct {
	// Work is the time that the target took, Usual the time that targets usually take for
	// the same kind of request.
	Work, Usual time.Duration
	// Load is the number of requests that the target had, this one included.
	Load float64
	// Slots is the number of requests that the target works on at a time, as announced.
	Slots int
	// Seed is a random number.
	Seed uint64
}

// Observe records a reply and reports whether it has lowered the capacity. Time in the
// target's own queue is not held against it: the load beyond the slots explains it.
func (e *Estimate) Observe(now time.Time, r Reply) bool {
	if r.Usual <= 0 || r.Slots <= 0 {
		return false
	}
	if now.Sub(e.last) > staleAfter {
		e.missing, e.sum, e.count = e.missingAt(now), 0, 0
	}
	e.last = now
	if e.count == 0 {
		e.start = now
		e.length = windowLength + time.Duration(r.Seed%uint64(windowLength/2))
	}
	ratio := float64(r.Work) / float64(r.Usual)
	e.sum += min(ratio/max(1, r.Load/float64(r.Slots)), maxRatio)
	e.count++
	if e.count < minSamples || now.Sub(e.start) < e.length {
		return false
	}
	fraction := min(1, max(minFraction, tolerance*float64(e.count)/max(e.sum, 1e-9)))
	fraction = 1 - e.missing + smoothing*(fraction-(1-e.missing))
	e.sum, e.count = 0, 0
	lowered := 1-fraction > e.missing+1e-3
	if e.missing = 1 - fraction; e.missing < 1e-3 {
		e.missing = 0
	}
	return lowered
}

// Slots returns the capacity of a target that has announced a number of slots, at most
// that number.
func (e *Estimate) Slots(now time.Time, announced int) float64 {
	slots := float64(max(1, announced))
	if e.missing == 0 {
		return slots
	}
	return slots * (1 - e.missingAt(now))
}

// missingAt returns what is missing now. Without replies it decays, so that a target that
// has got no requests is tried again, with few at first.
func (e *Estimate) missingAt(now time.Time) float64 {
	missing := e.missing
	idle := now.Sub(e.last)
	if missing == 0 || idle <= 0 {
		return missing
	}
	for ; idle >= idleHalfLife; idle -= idleHalfLife {
		if missing /= 2; missing < 1e-3 {
			return 0
		}
	}
	return missing * (1 - 0.5*float64(idle)/float64(idleHalfLife))
}
