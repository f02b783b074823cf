package forward

import (
	"math"
	"net/http"
	"slices"
	"time"
)

const (
	// answerMargin is kept of each deadline for the way back to the caller.
	answerMargin = 10 * time.Millisecond
	// goalMarginDivisor of a route's goal is kept for the way to and from the
	// caller and for merging, within minGoalMargin and maxGoalMargin: the goal
	// counts from the caller's first attempt.
	goalMarginDivisor = 8
	minGoalMargin     = 10 * time.Millisecond
	maxGoalMargin     = 25 * time.Millisecond
	// noTableRetry is when to come back to a node without a routing table: after a
	// stop of everything one comes when the control group has a leader and the
	// targets have announced themselves again.
	noTableRetry = 900 * time.Millisecond
	// minRetryAfter is the shortest time that a refused caller is told.
	minRetryAfter = 50 * time.Millisecond
)

// handleArrival routes a request and sends its parts, or refuses it at once.
func (s *State) handleArrival(ev RequestArrived) {
	s.counters.Requests++
	r := &request{id: ev.Request, seed: ev.Seed, arrived: s.now}
	if s.routes == nil {
		s.refuse(r, http.StatusServiceUnavailable, ReasonNoTable, s.addJitter(r, noTableRetry))
		return
	}
	r.route = s.routes.find(ev.Host, ev.Path)
	if r.route == nil {
		s.refuse(r, http.StatusNotFound, ReasonNoRoute, 0)
		return
	}
	r.deadline = s.now.Add(r.route.config.Timeout)
	if !ev.Deadline.IsZero() && ev.Deadline.Before(r.deadline) {
		r.deadline = ev.Deadline
	}
	if r.deadline.Sub(s.now) <= answerMargin {
		s.refuse(r, http.StatusRequestTimeout, ReasonExpired, 0)
		return
	}
	if !ev.Deadline.IsZero() {
		r.returning = r.route.stats.isReturning(ev.Deadline.Sub(s.now))
	}
	s.makeParts(r)
	if !s.enoughPoolsUsable(r) {
		s.refuse(r, http.StatusServiceUnavailable, ReasonNoTarget, s.noTargetRetryAfter(r))
		return
	}
	if s.overloaded(r) {
		s.refuse(r, http.StatusServiceUnavailable, ReasonOverload, s.overloadRetryAfter(r))
		return
	}
	s.requests[r.id] = r
	for _, p := range r.parts {
		if r.done {
			return
		}
		s.dispatch(p)
	}
	s.setTimer(r)
}

func (s *State) makeParts(r *request) {
	pools := r.route.pools
	if !r.route.config.IsGather() {
		i := r.route.split.next()
		pools = pools[i : i+1]
	}
	parts := make([]part, len(pools))
	r.parts = make([]*part, len(pools))
	for i, p := range pools {
		parts[i] = part{request: r, pool: p}
		r.parts[i] = &parts[i]
	}
	r.pending = len(r.parts)
	r.due = r.deadline
	if goal := r.route.config.Goal; goal > 0 {
		r.due = earlier(r.deadline, r.arrived.Add(goal-goalMargin(goal)))
	}
}

func goalMargin(goal time.Duration) time.Duration {
	return min(max(goal/goalMarginDivisor, minGoalMargin), maxGoalMargin)
}

// neededParts is the number of parts without which an answer fails.
func (r *request) neededParts() int {
	const rounding = 1e-9
	least := int(math.Ceil(r.route.config.LeastCoverage*float64(len(r.parts)) - rounding))
	return max(1, least)
}

// enoughPoolsUsable reports whether enough pools have a target that could answer.
func (s *State) enoughPoolsUsable(r *request) bool {
	usable := 0
	for _, p := range r.parts {
		if p.pool.usable() {
			usable++
		}
	}
	return usable >= r.neededParts()
}

// noTargetRetryAfter is when to come back to a request that too few pools can
// answer: when their targets' health is checked next.
func (s *State) noTargetRetryAfter(r *request) time.Duration {
	longest := minRetryAfter
	for _, p := range r.parts {
		if !p.pool.usable() {
			longest = max(longest, s.untilNextProbe(p.pool))
		}
	}
	return s.addJitter(r, longest)
}

// addJitter returns a time between d and 1.5 d, so that callers refused together
// don't come back together.
func (s *State) addJitter(r *request, d time.Duration) time.Duration {
	return d + time.Duration(r.seed%uint64(d/2+1))
}

// dispatch sends a part to the best target, lets it wait for a connection, or
// goes without it.
func (s *State) dispatch(p *part) {
	t, wait := s.choose(p)
	switch {
	case t != nil:
		s.send(p, t, false)
	case wait:
		s.enqueue(p)
	default:
		p.phase = partIdle
		s.markMissing(p)
	}
}

// enqueue puts a part into its pool's queue: the one that is due first in front,
// and of those due together the more urgent one.
func (s *State) enqueue(p *part) {
	s.counters.Queued++
	p.phase = partWaiting
	p.waitingSince = s.now
	at := len(p.pool.waiting)
	for at > 0 && precedes(p, p.pool.waiting[at-1]) {
		at--
	}
	p.pool.waiting = append(p.pool.waiting, nil)
	copy(p.pool.waiting[at+1:], p.pool.waiting[at:])
	p.pool.waiting[at] = p
}

func precedes(a, b *part) bool {
	if !a.request.due.Equal(b.request.due) {
		return a.request.due.Before(b.request.due)
	}
	return a.request.route.config.Priority < b.request.route.config.Priority
}

// sendWaiting sends waiting parts of a pool as far as there is room.
func (s *State) sendWaiting(p *pool) {
	for len(p.waiting) > 0 {
		at := s.nextWaiting(p)
		next := p.waiting[at]
		t, wait := s.choose(next)
		if t == nil && wait {
			return
		}
		p.waiting = slices.Delete(p.waiting, at, at+1)
		next.phase = partIdle
		next.request.queueTime = max(next.request.queueTime, s.now.Sub(next.waitingSince))
		if t == nil {
			s.markMissing(next)
			continue
		}
		s.send(next, t, false)
		s.setTimer(next.request)
	}
}

// nextWaiting returns the position of the part to be sent next: the first one
// that can still be answered within its goal, else the first one. In a long
// queue every request would else be late.
func (s *State) nextWaiting(p *pool) int {
	for i, w := range p.waiting {
		if s.isTimely(w) {
			return i
		}
	}
	return 0
}

// send sends a part to a target.
func (s *State) send(p *part, t *target, hedge bool) {
	r := p.request
	s.lastAttempt++
	a := &attempt{
		id: s.lastAttempt, part: p, target: t, sent: s.now, hedge: hedge,
		expectedWork: s.usualWork(r.route),
	}
	s.attempts[a.id] = a
	if p.sends == 0 {
		p.pool.budget.recordInitial(s.options.Budget, s.now)
	}
	p.sends++
	p.runs++
	p.phase = partSent
	p.asked = append(p.asked, t)
	p.outstanding = append(p.outstanding, a)
	t.outstanding = append(t.outstanding, a)
	r.sends = append(r.sends, a)
	s.counters.Sends++
	s.emit(Send{Request: r.id, Attempt: a.id, Target: t.id(), Deadline: r.deadline.Add(-answerMargin / 2), VerifyConnection: s.mustVerifyConnection(r)})
}

// startVerifyTime is how long after its start a node proves fresh connections: a
// target may still count those of the process before, and be at its limit. After a
// loss of power most of those are gone within this time.
const startVerifyTime = 5 * time.Second

// mustVerifyConnection reports whether a fresh connection to t has to be proved before the
// request is sent. A request that isn't idempotent can't be repeated after a
// reset; any other one would take a retry from the budget.
func (s *State) mustVerifyConnection(r *request) bool {
	return !r.route.config.Idempotent || s.now.Sub(s.started) < startVerifyTime
}
