package forward

import "time"

const (
	// maxLoadPerSlot is how many requests for each slot a target may have before it
	// counts as full: what waits here can still go to another target, or be
	// refused in time, and what waits there can't.
	maxLoadPerSlot = 2
	// overloadRetryGoals times its goal is when a request refused for an overload should
	// come back: what waits now is then answered or given up.
	overloadRetryGoals = 2
)

// overloaded reports whether a request would wait so long that too few of its
// parts are answered within its goal. Refused at once, its caller can come back
// and be served; taken in, it would make others late as well. A part that needn't
// wait makes nobody late: were it refused for slow replies alone, no faster one
// would ever show that they are over. A caller that was refused before has no other
// try: it is taken in if it can be answered at all.
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

// usualReplyTime is the time that a part takes once it is sent.
func (s *State) usualReplyTime(r *route) time.Duration {
	if r.stats.replies == nil {
		return 0
	}
	usual, _ := r.stats.replies.Quantile(s.now, usualReplyQuantile)
	return usual
}

// usualReplyQuantile is the quantile of the reply times taken as usual: a gather
// waits for its slowest part.
const usualReplyQuantile = 0.75

// expectedWait is how long a part would wait for a connection, at the pace at
// which the pool serves what waits. All that wait are counted, also those that
// are due later: what comes next may overtake this part as well. Those that can't be
// answered within their goal any more go last, so they hold up only their like.
func (s *State) expectedWait(p *part) time.Duration {
	ahead := len(p.pool.waiting)
	if !p.request.returning {
		ahead = s.countTimely(p.pool)
	}
	if ahead == 0 {
		return 0
	}
	return p.pool.admission.Wait(ahead + 1)
}

// countTimely counts the waiting parts of a pool that can still be answered within
// their goal.
func (s *State) countTimely(p *pool) int {
	count := 0
	for _, w := range p.waiting {
		if s.isTimely(w) {
			count++
		}
	}
	return count
}

// isTimely reports whether a part that is sent now is answered within its goal. A
// caller that came back has missed it already: its answer is worth less than one in
// time, and goes after those.
func (s *State) isTimely(p *part) bool {
	return !p.request.returning && s.now.Add(s.usualWork(p.request.route)).Before(p.request.due)
}

// overloadRetryAfter is when to come back after an overload.
func (s *State) overloadRetryAfter(r *request) time.Duration {
	goal := r.route.config.Goal
	if goal <= 0 {
		goal = defaultOverloadGoal
	}
	return s.addJitter(r, overloadRetryGoals*goal)
}
