package forward

import (
	"net/http"
	"slices"
	"time"
)

// maxExtraSends is the number of sends that a part may take beyond its route's attempts
// if targets did not run it.
const maxExtraSends = 2

// handleAttemptEnd updates the target and the part after an attempt has ended, and sends
// queued parts that now find room.
func (s *State) handleAttemptEnd(ev AttemptEnded) {
	a := s.attempts[ev.Attempt]
	if a == nil {
		return
	}
	delete(s.attempts, ev.Attempt)
	a.ended, a.outcome, a.cause, a.status = s.now, ev.Outcome.String(), ev.Cause, ev.Status
	a.target.remove(a)
	s.observeOutcome(a, ev)
	p := a.part
	r := p.request
	if r.done || r.handedOver {
		s.removeLingering(r, a)
		s.emit(Discard{Attempt: a.id})
	} else {
		p.removeOutstanding(a)
		s.handleOutcome(p, a, ev)
	}
	a.target.pool.admission.RecordCompletion(s.now, len(a.target.pool.waiting))
	s.sendWaiting(a.target.pool)
	if !r.done && !r.handedOver {
		s.setTimer(r)
	}
}

// observeOutcome updates what is known about the attempt's target and route.
func (s *State) observeOutcome(a *attempt, ev AttemptEnded) {
	t := a.target
	if ev.Outcome.Replied() {
		s.recordReply()
	}
	s.observeRoundTrip(t, ev.Dialed)
	if took := s.now.Sub(a.sent); ev.Outcome.Replied() && ev.Dialed == 0 && took < s.roundTrip(t) {
		s.observeRoundTrip(t, took)
	}
	s.observeLiveness(a, ev)
	took := s.now.Sub(a.sent)
	work := max(0, took-s.roundTrip(t)-ev.Dialed)
	if ev.Outcome == OutcomeSuccess || ev.Outcome == OutcomeFailure || ev.Outcome == OutcomeNotRun {
		s.setRefuted(t, false)
	}
	if ev.Outcome == OutcomeSuccess || ev.Outcome == OutcomeFailure {
		s.recordAnswer(t, a.sent)
	}
	switch ev.Outcome {
	case OutcomeSuccess:
		s.markReachable(t)
		t.recovering = false
		t.markOvertaken(a)
		t.observeReply(s.now, work, a.expectedWork)
		t.observeError(s.now, false)
		if ev.Dialed == 0 && t.observeCapacity(s.now, a, work, s.medianWork(a.part.request.route), ev.Load) {
			s.counters.Lowered++
		}
		a.part.request.route.observeReply(s.now, took, min(work, maxUsualWork(a)))
	case OutcomeFailure, OutcomeBroken:
		if ev.ResetAfterDial {
			t.atLimitUntil = s.now.Add(connectionLimitPause)
		} else {
			t.observeError(s.now, true)
		}
		t.recovering = t.recovering && ev.Outcome == OutcomeBroken
	case OutcomeNotRun:
		// The target is reachable, but does not run requests at the moment. One that
		// says for how long is believed, and is not taken to be failing.
		s.markReachable(t)
		if ev.Demand.RetryAfter <= 0 {
			t.observeError(s.now, true)
		}
	case OutcomeWrongTarget:
		// Another target has taken over the address. Two failures make this one
		// unreachable at once.
		s.recordFailure(t)
		s.recordFailure(t)
		s.setRefuted(t, true)
	case OutcomeNoRoom:
		t.atLimitUntil = s.now.Add(connectionLimitPause)
		t.blockedUntil = t.atLimitUntil
	case OutcomeNotSent, OutcomeTimeout:
		s.recordFailure(t)
	case OutcomeCancelled:
		if took > unansweredCancelAge && !s.repliedSince(t, a.sent) {
			s.recordFailure(t)
		}
	}
	t.observeLoad(s.now, ev.Load)
	s.applyDemand(t, ev.Demand)
	s.observeRateLimit(a, ev.Limit)
	if ev.Outcome == OutcomeSuccess || ev.Outcome == OutcomeFailure || ev.Outcome == OutcomeNotRun {
		t.lastReply = s.now
		t.connections.observeReply(s.now, len(t.outstanding)+1)
		t.blockedUntil = time.Time{} // the connection of this attempt is idle now
	}
}

// observeLiveness updates whether the attempt's target has crashed.
func (s *State) observeLiveness(a *attempt, ev AttemptEnded) {
	switch ev.Outcome {
	case OutcomeSuccess, OutcomeFailure:
		a.target.refuteCrash(a.sent)
		s.observeAnswer(a.part.request)
	case OutcomeNotRun:
		a.target.refuteCrash(a.sent)
	case OutcomeBroken:
		if ev.Lost {
			s.suspectCrash(a)
		}
	case OutcomeNotSent:
		if ev.Refused {
			s.confirmCrash(a.target)
		}
	case OutcomeWrongTarget:
		s.confirmCrash(a.target)
	}
}

const (
	// unansweredCancelAge is the age above which a cancelled attempt counts as a
	// failure of a target that has answered nothing since the send. It is longer than
	// usual pauses of a target.
	unansweredCancelAge = 350 * time.Millisecond
	// connectionLimitPause is how long a target that has reset a new connection counts
	// as being at its connection limit.
	connectionLimitPause = 150 * time.Millisecond
	// usualWorkFactor times the expected work is the longest time that one reply
	// contributes to a route's usual work, as pauses and slow targets aren't usual.
	usualWorkFactor = 4
)

func maxUsualWork(a *attempt) time.Duration { return usualWorkFactor * a.expectedWork }

func (s *State) repliedSince(t *target, at time.Time) bool { return t.lastReply.After(at) }

// handleOutcome answers, fails or retries a part after one of its attempts has ended.
func (s *State) handleOutcome(p *part, a *attempt, ev AttemptEnded) {
	if !ev.Outcome.MayHaveRun() {
		p.runs--
	}
	if ev.Outcome.Unsent() {
		p.sends--
	}
	if ev.Outcome == OutcomeNoRoom || ev.Outcome == OutcomeHeldBack {
		p.allowTarget(a.target)
	}
	p.request.mayHaveRun = p.request.mayHaveRun || ev.Outcome.MayHaveRun()
	switch {
	case p.phase == partAnswered:
		s.emit(Discard{Attempt: a.id})
	case ev.Outcome == OutcomeSuccess:
		s.answerPart(p, a)
	case ev.Outcome == OutcomeFailure:
		s.handleFailure(p, a)
	default:
		s.retry(p, ev.Outcome)
	}
}

// handleFailure handles a target's reply with an error status. A gather drops it. A
// plain request keeps it in case no attempt succeeds, and relays it at once if a retry
// is not allowed or, for a status below 500, would give the same reply.
func (s *State) handleFailure(p *part, a *attempt) {
	r := p.request
	if r.route.config.IsGather() {
		s.emit(Discard{Attempt: a.id})
		s.retry(p, OutcomeFailure)
		return
	}
	if p.failure != nil {
		s.emit(Discard{Attempt: p.failure.id})
	}
	p.failure = a
	if !r.route.config.Idempotent || a.status < http.StatusInternalServerError {
		s.relay(r, a)
		return
	}
	s.retry(p, OutcomeFailure)
}

// retry dispatches a part again unless another attempt of it is in flight. The part is
// marked missing instead if the route's attempts or the pool's budget are used up, or
// if the request isn't idempotent and may have run.
func (s *State) retry(p *part, last Outcome) {
	if p.phase != partSent || len(p.outstanding) > 0 {
		return
	}
	p.setPhase(partIdle)
	config := &p.request.route.config
	if !config.Idempotent && last.MayHaveRun() {
		s.markMissing(p)
		return
	}
	if p.runs >= p.request.attempts || p.sends >= p.request.attempts+maxExtraSends {
		s.markMissing(p)
		return
	}
	if p.sends > 0 && !p.pool.budget.spend(s.options.Budget, s.now, s.nodeCount()) {
		s.counters.NoBudget++
		s.markMissing(p)
		return
	}
	s.counters.Retries++
	s.dispatch(p)
}

// allowTarget allows the part to be sent again to a target that had no room for it.
func (p *part) allowTarget(t *target) {
	p.tried = slices.DeleteFunc(p.tried, func(tried *target) bool { return tried == t })
}

func (p *part) removeOutstanding(a *attempt) {
	for i, other := range p.outstanding {
		if other == a {
			p.outstanding = append(p.outstanding[:i], p.outstanding[i+1:]...)
			return
		}
	}
}
