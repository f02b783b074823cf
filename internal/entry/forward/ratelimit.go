package forward

import (
	"cmp"
	"slices"
	"time"

	"wigeonbay/internal/api"
)

// limitLogInterval is the least time between two reports of a target that keeps changing
// its limit.
const limitLogInterval = time.Second

// targetLimit is a target's limit on the requests that it takes from all nodes together.
type targetLimit struct {
	limit RateLimit
	// since is when the target first named a limit, reportedAt when that or a later
	// change was last reported.
	since      time.Time
	reportedAt time.Time
	// sent counts this node's requests to the target since then.
	sent uint64
}

func (l *targetLimit) recordSend() {
	if l.limit.Named {
		l.sent++
	}
}

// observeRateLimit applies what the reply to an attempt says about its target's limit.
func (s *State) observeRateLimit(a *attempt, named RateLimit) {
	t := a.target
	l := &t.limit
	if !named.Known || named == l.limit || s.targets[t.id()] != t {
		return
	}
	switch {
	case named.Named && !l.limit.Named:
		*l = targetLimit{limit: named, since: s.now}
		s.reportRateLimit(t)
	case named.Named:
		l.limit = named
		if s.now.Sub(l.reportedAt) >= limitLogInterval {
			s.reportRateLimit(t)
		}
	case l.limit.Named:
		l.limit = named
		s.reportRateLimit(t)
	}
}

func (s *State) reportRateLimit(t *target) {
	l := &t.limit
	l.reportedAt = s.now
	s.emit(RateLimitChanged{Target: t.id(), Limit: l.limit, Sent: l.sent, For: s.now.Sub(l.since)})
}

// LimitedTarget is a target that names a rate limit.
type LimitedTarget struct {
	Target api.TargetID
	Limit  RateLimit
	// Sent counts this node's requests to it since it first named one.
	Sent uint64
}

// LimitedTargets returns the targets that name a rate limit, sorted by ID.
func (s *State) LimitedTargets() []LimitedTarget {
	var out []LimitedTarget
	for id, t := range s.targets {
		if t.limit.limit.Named {
			out = append(out, LimitedTarget{Target: id, Limit: t.limit.limit, Sent: t.limit.sent})
		}
	}
	slices.SortFunc(out, func(a, b LimitedTarget) int { return cmp.Compare(a.Target, b.Target) })
	return out
}
