package forward

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"wigeonbay/internal/api"
)

// A target may name in its replies how many requests per second it takes from all nodes
// together. Nodes don't tell each other what they send, so each keeps to a share of its
// own: the shares of all nodes add up to less than the limit, and few enough nodes have one
// that a burst of all of them is bounded by it too. The load answered is that of searchers
// that have lost part of their capacity: requests beyond their limits go to other targets
// of the pool or, where there are none, are refused at once.

const (
	// limitFraction is the fraction of a limit that the nodes share. The rest is for nodes
	// without a share that try again, and for counts of nodes that lag.
	limitFraction = 0.9
	// sharersPerRequest times a limit's requests per second, and minSharers more, is the
	// number of nodes that share it. Each may send one request at any moment, so a limit
	// divided among more nodes could be exceeded by a burst at all of them.
	sharersPerRequest = 1.5
	minSharers        = 2
	// limitBurst is the time whose share may be sent at once, but at least one request.
	limitBurst = 200 * time.Millisecond
	// minLimitMemory is how long a limit holds on a node that gets no further reply of the
	// target; for each node up to as much more, so that nodes don't try again together.
	minLimitMemory = time.Minute
	// limitLogInterval is the least time between two reports of a target that keeps
	// changing its limit.
	limitLogInterval = time.Second
)

// targetLimit is a target's limit on the requests that it takes from all nodes together,
// and this node's share as a token bucket.
type targetLimit struct {
	limit RateLimit
	// share is in requests per second, 0 for a node that is to send nothing.
	share float64
	// tokens is the number of requests that could be sent at refilledAt.
	tokens     float64
	refilledAt time.Time
	// expiresAt is when the limit is forgotten unless a reply confirms it.
	expiresAt time.Time
	// since is when the target first named a limit, reportedAt when that or a later
	// change was last reported.
	since      time.Time
	reportedAt time.Time
	// sent counts this node's requests to the target since then.
	sent uint64
}

// capacity is the greatest number of tokens.
func (l *targetLimit) capacity() float64 { return max(1, l.share*limitBurst.Seconds()) }

func (l *targetLimit) refill(now time.Time) {
	if elapsed := now.Sub(l.refilledAt); elapsed > 0 {
		l.tokens = min(l.capacity(), l.tokens+l.share*elapsed.Seconds())
		l.refilledAt = now
	}
}

// recordSend takes the token for a request.
func (l *targetLimit) recordSend(now time.Time) {
	if !l.limit.Named {
		return
	}
	l.refill(now)
	l.tokens = max(0, l.tokens-1)
	l.sent++
}

// allowsAt returns when the limit allows the next request; it may be in the past.
func (l *targetLimit) allowsAt() time.Time {
	missing := 1 - l.tokens
	switch {
	case !l.limit.Named:
		return time.Time{}
	case missing <= 0:
		return l.refilledAt
	case missing >= l.share*minLimitMemory.Seconds():
		return l.expiresAt
	}
	return earlier(l.expiresAt, l.refilledAt.Add(time.Duration(missing/l.share*float64(time.Second))))
}

// allowedUntil returns how many requests the limit allows until a time.
func (l *targetLimit) allowedUntil(at time.Time) int {
	switch {
	case !l.limit.Named:
		return maxAllowed
	case !at.Before(l.expiresAt):
		return 1
	}
	return int(min(l.tokens+l.share*at.Sub(l.refilledAt).Seconds(), maxAllowed))
}

// maxAllowed stands for any number of requests; sums of it don't overflow.
const maxAllowed = 1 << 20

// hasExpired reports whether the limit has not been confirmed for so long that the target
// may no longer have one.
func (l *targetLimit) hasExpired(now time.Time) bool {
	return l.limit.Named && !now.Before(l.expiresAt)
}

// observeRateLimit applies what the reply to an attempt says about its target's limit.
func (s *State) observeRateLimit(a *attempt, named RateLimit) {
	t := a.target
	l := &t.limit
	if !named.Known || s.targets[t.id()] != t {
		return
	}
	previous := l.limit
	l.limit = named
	if named.Named {
		l.expiresAt = s.now.Add(minLimitMemory + time.Duration(a.part.request.seed%uint64(minLimitMemory)))
	}
	if named == previous || !named.Named && !previous.Named {
		return
	}
	if named.Named && !previous.Named {
		l.since, l.sent, l.reportedAt = s.now, 0, time.Time{}
	}
	if l.refilledAt.IsZero() {
		// Nodes that are told at the same time must not all get their next token at
		// the same time.
		l.tokens, l.refilledAt = float64(a.part.request.seed)/math.MaxUint64, s.now
	}
	s.shareRateLimit(t)
	if !named.Named || s.now.Sub(l.reportedAt) >= limitLogInterval {
		s.reportRateLimit(t)
	}
}

func (s *State) reportRateLimit(t *target) {
	l := &t.limit
	l.reportedAt = s.now
	s.emit(RateLimitChanged{Target: t.id(), Limit: l.limit, Share: l.share, Sent: l.sent, For: s.now.Sub(l.since)})
}

// shareRateLimit computes this node's share of a target's limit.
func (s *State) shareRateLimit(t *target) {
	l := &t.limit
	if !l.limit.Named {
		return
	}
	l.refill(s.now)
	l.share = s.rateShare(t, limitFraction*l.limit.PerSecond)
	l.tokens = min(l.tokens, l.capacity())
}

// rateShare returns this node's share of a rate limit.
func (s *State) rateShare(t *target, rate float64) float64 {
	return s.shareAmong(t, rate, int(min(sharersPerRequest*rate, float64(s.nodeCount())))+minSharers)
}

// shareAmong returns this node's share of a rate at a target that at most a number of nodes
// share. Nodes near the target have more use for it than others. Where there are too many
// nodes, a fixed part of the nodes of each data centre, another one for each target, has all
// of it.
func (s *State) shareAmong(t *target, rate float64, sharers int) float64 {
	total := 0.0
	for dataCentre, nodes := range s.nodes {
		total += float64(nodes) * t.limitWeight(dataCentre)
	}
	own := s.options.DataCentre
	if s.nodeCount() <= sharers {
		weight := t.limitWeight(own)
		return rate * weight / max(total, weight)
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(t.id()))
	position := (s.rank + int(hash.Sum32()%math.MaxInt32)) % s.nodes[own]
	if position >= s.sharersIn(t, own, float64(sharers)/total) {
		return 0
	}
	return rate / float64(sharers)
}

// sharersIn returns how many nodes of a data centre share a target's limit, if each unit
// of weight has a given number of sharers. What is left of whole nodes goes to the next
// data centre, beginning with the target's own.
func (s *State) sharersIn(t *target, dataCentre string, perWeight float64) int {
	const rounding = 1e-9
	names := slices.Sorted(maps.Keys(s.nodes))
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(t.limitWeight(b), t.limitWeight(a))
	})
	before := 0.0
	for _, name := range names {
		after := before + float64(s.nodes[name])*t.limitWeight(name)*perWeight
		if name == dataCentre {
			return int(after+rounding) - int(before+rounding)
		}
		before = after
	}
	return 0
}

// limitWeight returns the weight of a data centre's nodes for sharing the target's rate
// limit. What a node leaves unused is lost to the others, unlike connections, so those that
// use the target least get less.
func (t *target) limitWeight(dataCentre string) float64 {
	weight := t.shareWeight(dataCentre)
	return weight * weight
}

// LimitedTarget is a target that names a rate limit.
type LimitedTarget struct {
	Target api.TargetID
	Limit  RateLimit
	// Share is this node's part of the limit in requests per second, Sent the number of
	// its requests since the target first named one.
	Share float64
	Sent  uint64
}

// LimitedTargets returns the targets that name a rate limit, sorted by ID.
func (s *State) LimitedTargets() []LimitedTarget {
	var out []LimitedTarget
	for id, t := range s.targets {
		if l := &t.limit; l.limit.Named {
			out = append(out, LimitedTarget{Target: id, Limit: l.limit, Share: l.share, Sent: l.sent})
		}
	}
	slices.SortFunc(out, func(a, b LimitedTarget) int { return cmp.Compare(a.Target, b.Target) })
	return out
}
