package forward

import "time"

const (
	// hedgeQuantile is the quantile of a route's reply times after which a part
	// is sent to a second target. What lies above it must fit the budget.
	hedgeQuantile = 0.93
	// hedgeWorkFactor times a route's usual work is what a hedge needs before the goal,
	// beside the way to another data centre: later ones come too late to help.
	hedgeWorkFactor = 1.5
	// defaultHedgeDivisor of the goal is the delay while that is unknown.
	defaultHedgeDivisor = 4
	// minHedgeDelay keeps hedges from being sent before a reply could arrive.
	minHedgeDelay = 3 * time.Millisecond
	// hedgeRetryInterval is when a hedge that found no target or budget is tried
	// again.
	hedgeRetryInterval = 15 * time.Millisecond
)

// hedgeDelay is the age from which a part without a reply is sent to a second
// target.
func (s *State) hedgeDelay(r *route) time.Duration {
	goal := r.config.Goal
	if goal <= 0 {
		goal = r.config.Timeout
	}
	if r.stats.replies == nil {
		return goal / defaultHedgeDivisor
	}
	delay, known := r.stats.replies.Quantile(s.now, hedgeQuantile)
	if !known {
		return goal / defaultHedgeDivisor
	}
	latest := goal - goalMargin(goal) - defaultRoundTrip - time.Duration(hedgeWorkFactor*float64(s.usualWork(r)))
	return max(minHedgeDelay, min(delay, latest))
}

// mayHedge reports whether a second target may yet be asked for a part.
func (p *part) mayHedge() bool {
	config := &p.request.route.config
	return config.Idempotent && p.phase == partSent && len(p.outstanding) > 0 &&
		!p.hedged && p.runs < max(1, config.Attempts)
}

// handleTimer does what is due for a request.
func (s *State) handleTimer(id RequestID) {
	r := s.requests[id]
	if r == nil {
		return
	}
	if r.done {
		s.cancelLingering(r)
		return
	}
	if !s.now.Before(r.deadline.Add(-answerMargin)) {
		s.timeOut(r)
		return
	}
	for _, p := range r.parts {
		if p.phase == partWaiting {
			s.sendWaiting(p.pool) // a target may take connections again
		}
	}
	if r.done {
		return
	}
	if !s.now.Before(r.due) && (s.answerPartial(r) || s.refuseUnsentGather(r)) {
		return
	}
	s.refuseUnsentPlain(r)
	if r.done {
		return
	}
	delay := s.hedgeDelay(r.route)
	for _, p := range r.parts {
		if p.mayHedge() && s.now.Sub(p.lastSent()) >= delay {
			s.hedge(p)
		}
	}
	s.setTimer(r)
}

func (p *part) lastSent() time.Time {
	return p.outstanding[len(p.outstanding)-1].sent
}

// hedge sends a late part to a second target, if one is likely to answer soon
// and the budget allows.
func (s *State) hedge(p *part) {
	t, _ := s.choose(p)
	switch {
	case t == nil:
		p.request.noHedge = NoHedgeTarget
		return
	case s.tooBusy(p, t):
		p.request.noHedge = NoHedgeBusy
		return
	case !p.pool.budget.spendOnHedge(s.options.Budget, s.now, s.nodeCount()):
		s.counters.NoBudget++
		p.request.noHedge = NoHedgeBudget
		return
	}
	p.hedged = true
	p.request.hedges++
	s.counters.Hedges++
	s.send(p, t, true)
}

// tooBusy reports whether a hedge to t would come too late to help, or would take
// the place of parts that wait to be sent at all.
func (s *State) tooBusy(p *part, t *target) bool {
	if len(p.pool.waiting) > 0 {
		return true
	}
	expected := s.now.Add(s.score(t, s.usualWork(p.request.route)))
	return expected.After(p.request.due) && s.now.Before(p.request.due)
}

// refuseUnsentGather ends a gather whose goal has passed while so many of its parts
// wait for a busy target that it can't be answered: they would only hold up
// others. Parts for which no connection can be opened hold up nobody.
func (s *State) refuseUnsentGather(r *request) bool {
	if !r.route.config.IsGather() || r.returning {
		return false
	}
	waiting := 0
	for _, p := range r.parts {
		if _, blocked := p.pool.unblocksAt(s.now); p.phase == partWaiting && !blocked {
			waiting++
		}
	}
	if len(r.parts)-r.missing-waiting >= r.neededParts() {
		return false
	}
	s.fail(r, ReasonOverload)
	return true
}

// refuseUnsentPlain refuses a plain request that has waited for a connection for as
// long as it may: the caller can then go elsewhere in time.
func (s *State) refuseUnsentPlain(r *request) {
	if r.route.config.IsGather() || r.parts[0].phase != partWaiting || s.now.Before(s.unsentDeadline(r)) {
		return
	}
	s.dequeue(r.parts[0])
	s.fail(r, ReasonOverload)
}

// unsentDeadline is when a request that was sent to no target is refused.
func (s *State) unsentDeadline(r *request) time.Time {
	return r.arrived.Add(max(r.route.config.Goal/maxUnsentDivisor, minRetryAfter))
}

// maxUnsentDivisor of the goal is how long a request may wait unsent.
const maxUnsentDivisor = 4

// setTimer sets the request's timer to what is due next.
func (s *State) setTimer(r *request) {
	if r.done {
		return
	}
	at := r.deadline.Add(-answerMargin)
	if r.due.After(s.now) && r.due.Before(at) {
		at = r.due
	}
	delay := s.hedgeDelay(r.route)
	for _, p := range r.parts {
		switch {
		case p.mayHedge():
			due := p.lastSent().Add(delay)
			if !due.After(s.now) {
				due = s.now.Add(hedgeRetryInterval)
			}
			at = earlier(at, due)
		case p.phase == partWaiting:
			if !r.route.config.IsGather() {
				at = earlier(at, s.unsentDeadline(r))
			}
			if until, blocked := p.pool.unblocksAt(s.now); blocked {
				at = earlier(at, until)
			}
		}
	}
	s.emit(SetTimer{Request: r.id, At: at})
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
