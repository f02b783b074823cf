package forward

import (
	"net/http"
	"slices"
	"time"
)

// maxExtraSends is how many sends beyond a route's attempts a part may take when
// targets did not run it.
const maxExtraSends = 2

// handleAttemptEnd takes the end of an attempt.
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
	if r.done {
		s.removeLingering(r, a)
		s.emit(Discard{Attempt: a.id})
	} else {
		p.removeOutstanding(a)
		s.handleOutcome(p, a, ev)
	}
	a.target.pool.admission.Completed(s.now, len(a.target.pool.waiting))
	s.sendWaiting(a.target.pool)
	if !r.done {
		s.setTimer(r)
	}
}

// observeOutcome takes the end of an attempt as evidence about its target.
func (s *State) observeOutcome(a *attempt, ev AttemptEnded) {
	t := a.target
	s.observeRoundTrip(t, ev.Dialed)
	took := s.now.Sub(a.sent)
	work := max(0, took-s.roundTrip(t)-ev.Dialed)
	switch ev.Outcome {
	case OutcomeSuccess:
		s.markReachable(t)
		t.markOvertaken(a)
		t.observeReply(s.now, work, a.expectedWork)
		t.observeError(s.now, false)
		a.part.request.route.stats.observeReply(s.now, took, min(work, maxUsualWork(a)))
	case OutcomeFailure, OutcomeBroken:
		if ev.ResetAfterDial {
			t.atLimitUntil = s.now.Add(connectionLimitPause)
		} else {
			t.observeError(s.now, true)
		}
	case OutcomeNotRun:
		// The target answers, but what is sent to it is lost on it for now.
		s.markReachable(t)
		t.observeError(s.now, true)
	case OutcomeWrongTarget:
		// The address has another holder: this target is no more.
		s.recordFailure(t)
		s.recordFailure(t)
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
	if ev.Outcome == OutcomeSuccess || ev.Outcome == OutcomeFailure || ev.Outcome == OutcomeNotRun {
		t.lastReply = s.now
		t.blockedUntil = time.Time{} // its connection is free now
	}
}

const (
	// unansweredCancelAge is the age from which a cancelled attempt counts
	// against a target that has answered nothing since: longer than the usual
	// pauses.
	unansweredCancelAge = 350 * time.Millisecond
	// connectionLimitPause is how long no new connection to a target at its limit is tried.
	connectionLimitPause = 150 * time.Millisecond
	// usualWorkFactor times the expected work bounds what one reply adds to a
	// route's usual work: pauses and slow targets aren't usual.
	usualWorkFactor = 4
)

func maxUsualWork(a *attempt) time.Duration { return usualWorkFactor * a.expectedWork }

func (s *State) repliedSince(t *target, at time.Time) bool { return t.lastReply.After(at) }

// handleOutcome goes on with a part after one of its attempts has ended.
func (s *State) handleOutcome(p *part, a *attempt, ev AttemptEnded) {
	if !ev.Outcome.MayHaveRun() {
		p.runs--
	}
	if ev.Outcome.Unsent() {
		p.sends--
	}
	if ev.Outcome == OutcomeNoRoom {
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

// handleFailure takes a target's own reply other than a success. It is passed on
// when nothing better can come.
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

// retry sends a part elsewhere, if that is allowed and no other attempt of it
// is under way. A request that isn't idempotent goes elsewhere only on proof
// that it did not run.
func (s *State) retry(p *part, last Outcome) {
	if p.phase != partSent || len(p.outstanding) > 0 {
		return
	}
	p.phase = partIdle
	config := &p.request.route.config
	if !config.Idempotent && last.MayHaveRun() {
		s.markMissing(p)
		return
	}
	attempts := max(1, config.Attempts)
	if p.runs >= attempts || p.sends >= attempts+maxExtraSends {
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

// allowTarget lets the part go to a target again that had no room for it.
func (p *part) allowTarget(t *target) {
	p.asked = slices.DeleteFunc(p.asked, func(asked *target) bool { return asked == t })
}

func (p *part) removeOutstanding(a *attempt) {
	for i, other := range p.outstanding {
		if other == a {
			p.outstanding = append(p.outstanding[:i], p.outstanding[i+1:]...)
			return
		}
	}
}
