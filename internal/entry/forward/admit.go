package forward

import "time"

const (
	// maxLoadPerSlot is the number of requests per slot from which a target counts
	// as full. A part queued on this node can still go to another target or be
	// refused in time; one queued on the target can't.
	maxLoadPerSlot = 2
	// overloadRetryGoals times the route's goal is the least retry time after a
	// refusal for overload: by then the requests queued now are answered or refused.
	overloadRetryGoals = 2
)

// overloaded reports whether queueing would leave too few of a request's parts
// answered within its goal. A caller refused at once can retry and be served,
// whereas an admitted request would delay others too. A part without an expected wait
// is always counted in time: it delays no other, and refusing it because recent
// replies were slow would keep the node from observing that they have become faster.
// A returning caller has no time for another retry, so its request is admitted if
// it can be answered by the deadline.
func (s *State) overloaded(r *request) bool {
	due := r.due
	if r.returning {
		due = r.deadline.Add(-answerMargin)
	}
	inTime := 0
	usual := s.usualReplyTime(r.route)
	for _, p := range r.parts {
		wait := s.expectedWait(p)
		if wait == 0 || !s.now.Add(wait+usual).After(due) {
			inTime++
		}
	}
	return inTime < r.neededParts()
}

// usualReplyTime returns how long a part of the route usually takes from send to
// reply, 0 while unknown.
func (s *State) usualReplyTime(r *route) time.Duration {
	if r.stats.replies == nil {
		return 0
	}
	usual, _ := r.stats.replies.Quantile(s.now, usualReplyQuantile)
	return usual
}

// usualReplyQuantile is the quantile of reply times taken as usual. It is above the
// median because a gather waits for its slowest part.
const usualReplyQuantile = 0.75

// expectedWait estimates how long a part would queue for a connection, from the rate
// at which the pool's queue is served. It also counts queued parts that are due later,
// because parts that arrive later may be served before this one. For a caller that is
// not returning it leaves out parts that can no longer meet their goal, as these are
// served last.
func (s *State) expectedWait(p *part) time.Duration {
	if s.bounds.inUse() && len(p.pool.waiting) > 0 {
		if t, _ := s.choose(p); t != nil {
			return 0 // what waits is bound to other regions
		}
	}
	if s.sharesFairly() {
		return s.fairWait(p)
	}
	ahead := s.countBefore(p, func(w *part) bool { return p.request.returning || s.isTimely(w) })
	if ahead == 0 && (len(p.pool.waiting) == 0 || p.request.route.config.IsGather()) {
		return 0
	}
	return p.pool.admission.EstimateWait(ahead + 1)
}

// isTimely reports whether a part sent now would usually be answered within its
// goal. A returning caller has already missed its goal, so its parts are served after
// those that can still meet theirs.
func (s *State) isTimely(p *part) bool {
	return !p.request.returning && s.now.Add(s.usualWork(p.request.route)).Before(p.request.due)
}

// replyTime returns how long a part takes at the target of its pool that would answer it first,
// with what the targets have to do before. Regions are left out, so that the parts of a route
// share the estimate.
func (s *State) replyTime(p *part) time.Duration {
	e, route := &p.pool.replyEstimate, p.request.route
	if e.route == route && e.at.Equal(s.now) && e.attempt == s.lastAttempt {
		return e.time
	}
	work, best := s.usualWork(route), time.Duration(0)
	leaving := s.needsLeaving(p.pool, nil)
	for _, t := range p.pool.targets {
		if !s.takesRequests(t, leaving) || t.unreachable || s.now.Before(t.heldUntil(s.now)) {
			continue
		}
		if expected := s.expectedTime(t, work); best == 0 || expected < best {
			best = expected
		}
	}
	*e = replyEstimate{route: route, at: s.now, attempt: s.lastAttempt, time: max(work, best)}
	return e.time
}

// replyEstimate is the last result of replyTime for a pool.
type replyEstimate struct {
	route   *route
	at      time.Time
	attempt AttemptID
	time    time.Duration
}

// overloadRetryAfter returns the retry time for a request refused for overload.
func (s *State) overloadRetryAfter(r *request) time.Duration {
	goal := r.route.config.Goal
	if goal <= 0 {
		goal = defaultOverloadGoal
	}
	return s.addJitter(r, overloadRetryGoals*goal)
}
