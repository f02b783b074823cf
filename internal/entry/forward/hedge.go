package forward

import "time"

const (
	// earlyHedgeFactor times the work that a target is expected to take is the time, beside
	// the round trip and the queue, from which a part is hedged although a later hedge may
	// still be in time. Usual work is longer in 1 of 100 cases.
	earlyHedgeFactor = 2.5
	// hedgeWorkFactor times the work, and hedgeMargin, is the time that a hedge is given
	// beside the round trip. hedgeMargin covers the sending and reading of a gather's other
	// parts on a node with a fraction of a core, and other hedges on the connection.
	hedgeWorkFactor = 1.5
	hedgeMargin     = 10 * time.Millisecond
	// minHedgeFactor times the expected work is how long a part is left to its first
	// target even if a hedge would then come late. Earlier hedges would mostly be unneeded.
	minHedgeFactor = 1.5
	// minHedgeDelay keeps hedges from being sent before a reply could arrive.
	minHedgeDelay = 3 * time.Millisecond
	// hedgeRetryInterval is the time after which a hedge that was held back is tried
	// again.
	hedgeRetryInterval = 15 * time.Millisecond
)

// scheduleHedge sets when a part that is sent to t now is hedged.
func (s *State) scheduleHedge(p *part, t *target) {
	work := s.medianWork(p.request.route)
	taken := time.Duration(float64(work) * t.expectedSlowdown(s.now))
	expected := s.expectedTime(t, work)
	earliest := s.now.Add(max(minHedgeDelay, s.roundTrip(t)+time.Duration(minHedgeFactor*float64(taken))))
	early := s.now.Add(expected + time.Duration((earlyHedgeFactor-1)*float64(taken)))
	p.lastHedge = later(earliest, p.request.due.Add(-s.hedgeTime(p, work)))
	p.hedgeAt = later(earliest, earlier(early, p.lastHedge))
}

// hedgeTime returns the time that a hedge of a part is to be given until the answer is
// due: that of the best target that the part has not been sent to.
func (s *State) hedgeTime(p *part, work time.Duration) time.Duration {
	best := time.Duration(0)
	for _, t := range p.pool.targets {
		if !t.acceptsWork() || t.unreachable || !p.request.mayReach(t) || p.hasTried(t) {
			continue
		}
		if needed := s.expectedTime(t, work); best == 0 || needed < best {
			best = needed
		}
	}
	return best + time.Duration((hedgeWorkFactor-1)*float64(work)) + hedgeMargin
}

// medianWork returns the median of the time that targets take for a part of the route,
// without the network.
func (s *State) medianWork(r *route) time.Duration {
	if r.stats.median > 0 {
		return r.stats.median
	}
	return s.usualWork(r)
}

// mayHedge reports whether a part in flight may still be hedged. Each part is hedged at
// most once, and only if its route is idempotent and allows another attempt.
func (p *part) mayHedge() bool {
	config := &p.request.route.config
	return config.Idempotent && p.phase == partSent && len(p.outstanding) > 0 &&
		!p.hedged && p.runs < p.request.attempts
}

// handleTimer carries out what is due for a request: it answers or refuses the request,
// sends queued parts and hedges late ones. If the request has ended, it cancels the
// attempts that are left.
func (s *State) handleTimer(id RequestID) {
	if r := s.takeEarly(id); r != nil {
		s.refuseWithoutTable(r)
		return
	}
	r := s.requests[id]
	if r == nil {
		return
	}
	r.timerAt = time.Time{}
	if r.done {
		s.cancelLingering(r)
		return
	}
	if r.quota.waiting {
		s.handleQuotaTimer(r)
		return
	}
	if s.expired(r) {
		s.timeOut(r)
		return
	}
	if r.handedOver {
		return
	}
	for _, p := range r.parts {
		if p.phase == partWaiting {
			s.sendWaiting(p.pool) // a target may accept connections again
		}
	}
	if r.done || r.handedOver {
		return
	}
	if !s.now.Before(r.due) && (s.answerPartial(r) || s.refuseUnsentGather(r)) {
		return
	}
	s.refuseUnsentPlain(r)
	s.shed(r)
	if r.done || r.handedOver {
		return
	}
	for _, p := range r.parts {
		if p.mayHedge() && !s.now.Before(p.hedgeAt) {
			s.hedgeLate(p)
		}
	}
	s.setTimer(r)
}

// hedgeLate hedges a late part. If its target has answered nothing since the part was
// sent, the target is taken to pause, and the other parts that it has are hedged too.
func (s *State) hedgeLate(p *part) {
	a := p.outstanding[len(p.outstanding)-1]
	t := a.target
	s.hedge(p)
	if t.lastReply.After(a.sent) || len(t.outstanding) < 2 {
		return
	}
	for _, other := range t.outstanding {
		if q := other.part; q != p && q.mayHedge() && q.hedgeAt.After(s.now) {
			s.hedge(q)
			s.setTimer(q.request)
		}
	}
}

// hedge sends a late part to a second target if one has room and is likely to answer
// in time, and the budget allows it.
func (s *State) hedge(p *part) {
	p.hedgeAt = s.now.Add(hedgeRetryInterval)
	t, _ := s.choose(p)
	switch {
	case t == nil:
		p.request.noHedge = NoHedgeTarget
		return
	case s.tooBusy(p, t):
		if p.request.noHedge != NoHedgeBudget {
			p.request.noHedge = NoHedgeBusy
		}
		return
	case s.now.Before(p.lastHedge) && !p.pool.budget.allowsEarlyHedge(s.options.Budget, s.now, s.nodeCount()):
		p.hedgeAt = p.lastHedge
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

// tooBusy reports whether a hedge to t would miss the goal although that is still
// ahead, or would take the place of queued parts.
func (s *State) tooBusy(p *part, t *target) bool {
	if len(p.pool.waiting) > 0 {
		return true
	}
	expected := s.now.Add(s.expectedTime(t, s.medianWork(p.request.route)))
	return expected.After(p.request.due) && s.now.Before(p.request.due)
}

// refuseUnsentGather refuses a gather past its goal if so many of its parts are still
// queued for busy targets that the others can't reach the least coverage: these parts
// would only delay other requests. Parts of a pool with a target that currently accepts
// no request are not counted, as they delay no other one. Requests of returning callers
// are kept until their deadline.
func (s *State) refuseUnsentGather(r *request) bool {
	if !r.route.config.IsGather() || r.returning {
		return false
	}
	waiting := 0
	for _, p := range r.parts {
		if _, blocked := p.pool.unblocksAt(r, s.now); p.phase == partWaiting && !blocked {
			waiting++
		}
	}
	if len(r.parts)-r.missing-waiting >= r.neededParts() {
		return false
	}
	s.fail(r, ReasonOverload)
	return true
}

// refuseUnsentPlain refuses a plain request that is still queued at its unsent
// deadline, early enough for the caller to try another node.
func (s *State) refuseUnsentPlain(r *request) {
	if r.route.config.IsGather() || r.parts[0].phase != partWaiting || s.now.Before(s.unsentDeadline(r)) {
		return
	}
	s.dequeue(r.parts[0])
	s.fail(r, ReasonOverload)
}

// unsentDeadline returns when a plain request that is still queued is refused. A returning
// caller may have no further attempt, so its request is kept as long as it can be answered.
func (s *State) unsentDeadline(r *request) time.Time {
	if r.returning {
		return r.deadline.Add(-answerMargin - s.usualWork(r.route))
	}
	if s.sharesFairly() && r.route.config.Goal > 0 {
		return r.arrived.Add(r.route.config.Goal / maxUnsentDivisor)
	}
	return r.arrived.Add(max(r.route.config.Goal/maxUnsentDivisor, minRetryAfter))
}

// 1/maxUnsentDivisor of the goal is how long a plain request may wait unsent.
const maxUnsentDivisor = 4

// setTimer sets a request's timer to the next time at which something is due.
func (s *State) setTimer(r *request) {
	if r.done {
		return
	}
	at := r.deadline.Add(-answerMargin)
	if r.handedOver {
		r.timerAt = at
		s.emit(SetTimer{Request: r.id, At: at})
		return
	}
	if r.due.After(s.now) && r.due.Before(at) {
		at = r.due
	}
	if shedAt := s.shedAt(r); !shedAt.IsZero() {
		at = earlier(at, shedAt)
	}
	for _, p := range r.parts {
		switch {
		case p.mayHedge():
			at = earlier(at, p.hedgeAt)
		case p.phase == partWaiting:
			if !r.route.config.IsGather() {
				at = earlier(at, s.unsentDeadline(r))
			}
			if until, blocked := p.pool.unblocksAt(r, s.now); blocked {
				at = earlier(at, until)
			}
		}
	}
	if !at.Equal(r.timerAt) {
		r.timerAt = at
		s.emit(SetTimer{Request: r.id, At: at})
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
