package route

import (
	"time"

	"wigeonbay/internal/api"
)

// Constants of replica selection.
const (
	// remotePenalty is added to the expected latency of a target outside the
	// node's data centre, so that local replicas are preferred.
	remotePenalty = 50 * time.Millisecond
	// warmingFactor multiplies the score of a target that is still warming up
	// after a cold start.
	warmingFactor = 4.0
	// defaultLatency is the expected latency of a target that has no latency
	// sample and no outstanding request.
	defaultLatency = time.Millisecond
)

// Exclusion is the reason why a replica can't be chosen.
type Exclusion string

// Exclusions in the order in which Exclude checks them.
const (
	ExcludedNone        Exclusion = ""
	ExcludedState       Exclusion = "does not accept work"
	ExcludedTried       Exclusion = "already tried by this search"
	ExcludedSnapshot    Exclusion = "does not hold the snapshot"
	ExcludedUnreachable Exclusion = "unreachable"
	ExcludedEjected     Exclusion = "ejected as an outlier"
	ExcludedFull        Exclusion = "at its concurrency limit"
)

// Policy selects the algorithm that chooses among replicas.
type Policy string

// Policies. PolicyShipped is the default. PolicyBaseline is the reference for
// comparisons: round robin without latency data, hedges or adaptive limits.
const (
	PolicyShipped  Policy = "shipped"
	PolicyBaseline Policy = "baseline"
)

// Tried is a bit set of the replicas in a group that a search has sent a
// request to, by position. Positions are taken modulo 64.
type Tried uint64

// Has reports whether t contains the replica at position i.
func (t Tried) Has(i int) bool {
	return t&(1<<uint(i%64)) != 0
}

// With returns t with the replica at position i added.
func (t Tried) With(i int) Tried {
	return t | 1<<uint(i%64)
}

// Criteria holds the parameters for choosing a replica of one group.
type Criteria struct {
	Now      time.Time
	Snapshot api.Snapshot
	// SearchID identifies the search, so that the requests that it has planned
	// for a target are taken into account.
	SearchID uint64
	Tried    Tried
	Policy   Policy
	// RoundRobin is the position at which PolicyBaseline starts.
	RoundRobin int
}

// Choose returns the position of the best replica in g, or -1 if none can take
// a request now. Unreachable and ejected replicas are used only if there is
// no healthy replica. If all healthy replicas are at their concurrency limit,
// Choose returns -1, because waiting for one of them takes less time.
func Choose(g *Group, c Criteria) int {
	if c.Policy == PolicyBaseline {
		return chooseRoundRobin(g, c)
	}
	best, bestScore, bestRank := -1, 0.0, rankIneligible
	healthyFull := false
	for i, t := range g.Replicas {
		rank := c.rank(i, t)
		if rank != rankIneligible && !c.hasCapacity(t) {
			healthyFull = healthyFull || rank == rankHealthy
			continue
		}
		if rank > bestRank || rank == rankIneligible {
			continue
		}
		score := c.Score(t)
		if rank < bestRank || score < bestScore {
			best, bestScore, bestRank = i, score, rank
		}
	}
	if healthyFull && bestRank != rankHealthy {
		return -1
	}
	return best
}

// HasEligible reports whether g has a replica that can take a request now or
// once it is below its concurrency limit.
func HasEligible(g *Group, c Criteria) bool {
	for i, t := range g.Replicas {
		if c.rank(i, t) != rankIneligible {
			return true
		}
	}
	return false
}

// Exclude returns why the replica at position i can't be chosen now, or why it
// is chosen only if there is no healthy replica.
func (c Criteria) Exclude(i int, t *Target) Exclusion {
	switch {
	case !t.AcceptsWork():
		return ExcludedState
	case c.Tried.Has(i):
		return ExcludedTried
	case !t.Holds(c.Snapshot):
		return ExcludedSnapshot
	case t.unreachable:
		return ExcludedUnreachable
	case t.ejected:
		return ExcludedEjected
	case !c.hasCapacity(t):
		return ExcludedFull
	default:
		return ExcludedNone
	}
}

// Score returns the expected time of the group's request to t in milliseconds;
// lower is better. It is the greater of the average latency per shard and the
// age of the oldest unanswered request, increased for remote and warming
// targets. It grows with the utilization of the node's concurrency limit for t
// or, if the shards would have to join a planned request, with the number of
// shards that run before them.
func (c Criteria) Score(t *Target) float64 {
	expected := max(t.latency, t.OldestRequestAge(c.Now))
	if expected == 0 {
		expected = defaultLatency
	}
	if !t.Local {
		expected += remotePenalty
	}
	score := float64(expected) / float64(time.Millisecond)
	if t.Announced.State == api.TargetWarming {
		score *= warmingFactor
	}
	planned := t.plannedRequests(c.SearchID)
	if planned > 0 && !t.hasCapacityBeyond(planned) {
		return score * float64(2+t.planned.shards)
	}
	utilization := float64(t.InFlight+planned) / float64(max(1, t.Limit.MaxInFlight()))
	return score * (1 + utilization)
}

// Ranks of replicas, in order of preference.
const (
	rankHealthy = iota
	rankEjected
	rankUnreachable
	rankIneligible
)

func (c Criteria) rank(i int, t *Target) int {
	switch c.Exclude(i, t) {
	case ExcludedNone, ExcludedFull:
		return rankHealthy
	case ExcludedEjected:
		return rankEjected
	case ExcludedUnreachable:
		return rankUnreachable
	default:
		return rankIneligible
	}
}

// hasCapacity reports whether the search may send t shards now, in a new
// request or in one that it has planned already.
func (c Criteria) hasCapacity(t *Target) bool {
	return t.HasCapacity() || t.plannedRequests(c.SearchID) > 0
}

func chooseRoundRobin(g *Group, c Criteria) int {
	for n := range g.Replicas {
		i := (c.RoundRobin + n) % len(g.Replicas)
		t := g.Replicas[i]
		if t.AcceptsWork() && !c.Tried.Has(i) && t.Holds(c.Snapshot) && t.HasCapacity() {
			return i
		}
	}
	return -1
}
