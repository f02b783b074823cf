package forward

import (
	"cmp"
	"net/http"
	"slices"
	"time"
)

const (
	// lingerTime is how long attempts may go on after their request was answered.
	// Cancelling one closes its connection, and most end within this time.
	lingerTime = 400 * time.Millisecond
	// abandonTime is the same after the caller has disconnected.
	abandonTime = 150 * time.Millisecond
	// defaultOverloadGoal stands in for the goal of a route without one when the
	// retry time after an overload is computed.
	defaultOverloadGoal = 200 * time.Millisecond
)

// answerPart records the reply to a part. It answers the request if that is plain, if
// no part is pending, or if the answer is due and reaches the least coverage.
func (s *State) answerPart(p *part, a *attempt) {
	r := p.request
	p.setPhase(partAnswered)
	p.answer = a
	r.pending--
	if !r.route.config.IsGather() {
		s.relay(r, a)
		return
	}
	if r.pending == 0 {
		s.merge(r)
		return
	}
	if !s.now.Before(r.due) {
		s.answerPartial(r)
	}
}

// answerPartial answers a gather with the parts it has if they reach the least
// coverage, and reports whether it did. Past the goal, waiting costs the caller more
// than the missing parts would add.
func (s *State) answerPartial(r *request) bool {
	if !r.route.config.IsGather() || r.answered() < r.neededParts() {
		return false
	}
	s.merge(r)
	return true
}

// answered returns the number of answered parts.
func (r *request) answered() int {
	return len(r.parts) - r.pending - r.missing
}

// markMissing gives up a part. It fails the request at once if the least coverage is
// out of reach, and merges a gather of which no part is pending.
func (s *State) markMissing(p *part) {
	r := p.request
	if r.done || r.handedOver || p.phase == partAnswered || p.phase == partMissing {
		return
	}
	p.setPhase(partMissing)
	r.pending--
	r.missing++
	switch {
	case len(r.parts)-r.missing < r.neededParts():
		s.fail(r, s.failReason(r))
	case r.pending == 0:
		s.merge(r)
	}
}

// failReason returns the reason for failing a request that has too few parts left.
func (s *State) failReason(r *request) Reason {
	switch {
	case r.route.config.IsGather():
		return ReasonLowCoverage
	case r.mayHaveRun:
		return ReasonFailed
	default:
		return ReasonNoTarget
	}
}

// timeOut ends a request at its deadline, with a partial answer if possible.
func (s *State) timeOut(r *request) {
	if s.answerPartial(r) {
		return
	}
	if d := r.delegation; d != nil && !s.waitedForTarget(d) {
		d.peer.avoidUntil = s.now.Add(peerPause)
	}
	s.fail(r, ReasonTimeout)
}

// fail ends a request with the failure reply of its target if there is one, or else
// with a refusal. Status 503 and a retry time are sent only if no target may have run
// the request.
func (s *State) fail(r *request, reason Reason) {
	if failure := r.parts[0].failure; failure != nil {
		s.relay(r, failure)
		return
	}
	if reason != ReasonTimeout && reason != ReasonOverload && s.lacksPath(r) && s.rescue(r) {
		return
	}
	r.mayHaveRun = r.mayHaveRunNow() || r.delegation != nil
	switch {
	case !r.mayHaveRun:
		s.refuse(r, http.StatusServiceUnavailable, reason, s.retryAfter(r, reason))
	case reason == ReasonTimeout:
		s.refuse(r, http.StatusGatewayTimeout, reason, 0)
	default:
		s.refuse(r, http.StatusBadGateway, reason, 0)
	}
}

// retryAfter returns the retry time for a request that no target has run.
func (s *State) retryAfter(r *request, reason Reason) time.Duration {
	if reason == ReasonOverload {
		return s.overloadRetryAfter(r)
	}
	return s.noTargetRetryAfter(r)
}

func (s *State) relay(r *request, a *attempt) {
	if a.part.failure == a {
		a.part.failure = nil
	}
	if a.status < http.StatusMultipleChoices {
		s.counters.Answered++
	} else {
		s.counters.Failed++
	}
	s.emit(Relay{Request: r.id, Attempt: a.id, Target: a.target.announcement, Summary: s.summary(r)})
	s.finish(r, lingerTime)
}

func (s *State) merge(r *request) {
	s.counters.Answered++
	answer := Merge{Request: r.id, TopK: r.route.config.TopK}
	for _, p := range r.parts {
		if p.answer != nil {
			answer.Attempts = append(answer.Attempts, p.answer.id)
		}
	}
	answer.Missing = len(r.parts) - len(answer.Attempts)
	if answer.Missing > 0 {
		s.counters.Partial++
	}
	answer.Summary = s.summary(r)
	s.emit(answer)
	s.finish(r, lingerTime)
}

func (s *State) refuse(r *request, status int, reason Reason, retryAfter time.Duration) {
	s.counters.Refused++
	r.unuseToken(status)
	s.recordRefusal(r, reason, retryAfter)
	s.emit(Refuse{Request: r.id, Status: status, RetryAfter: retryAfter, Reason: reason, Summary: s.summary(r)})
	for _, p := range r.parts {
		if p.answer != nil {
			s.emit(Discard{Attempt: p.answer.id})
		}
	}
	s.finish(r, lingerTime)
}

// endAllRequests answers all pending requests before the process exits, partially if
// possible, and makes those that still arrive be refused. Closing the connections would give
// callers no status.
func (s *State) endAllRequests() {
	s.shutDown = true
	for _, e := range s.early {
		s.refuseWithoutTable(e.request)
	}
	s.early = nil
	var pending []*request
	for _, r := range s.requests {
		if !r.done {
			pending = append(pending, r)
		}
	}
	slices.SortFunc(pending, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	for _, r := range pending {
		if !r.done {
			s.timeOut(r)
		}
	}
}

// callerGone ends a request whose caller has disconnected.
func (s *State) callerGone(id RequestID) {
	if r := s.takeEarly(id); r != nil {
		s.counters.Gone++
		s.emit(Abandon{Request: id, Summary: s.summary(r)})
		return
	}
	r := s.requests[id]
	if r == nil || r.done {
		return
	}
	s.counters.Gone++
	for _, p := range r.parts {
		if p.answer != nil {
			s.emit(Discard{Attempt: p.answer.id})
		}
	}
	s.emit(Abandon{Request: id, Summary: s.summary(r)})
	s.finish(r, abandonTime)
}

// finish marks a request done and removes its parts from the queues. Attempts still
// in flight are cancelled after linger.
func (s *State) finish(r *request, linger time.Duration) {
	r.done = true
	s.endQuota(r)
	if r.delegation != nil {
		s.emit(CancelDelegation{Delegation: r.delegation.id})
	}
	for _, p := range r.parts {
		if p.failure != nil {
			s.emit(Discard{Attempt: p.failure.id})
			p.failure = nil
		}
		s.dequeue(p)
		r.lingering = append(r.lingering, p.outstanding...)
		p.outstanding = nil
	}
	if len(r.lingering) == 0 {
		delete(s.requests, r.id)
		return
	}
	s.emit(SetTimer{Request: r.id, At: s.now.Add(linger)})
}

func (s *State) dequeue(p *part) {
	if p.phase != partWaiting {
		return
	}
	p.setPhase(partIdle)
	p.request.recordQueueTime(p, s.now)
	for i, other := range p.pool.waiting {
		if other == p {
			p.pool.waiting = append(p.pool.waiting[:i], p.pool.waiting[i+1:]...)
			return
		}
	}
}

func (s *State) cancelLingering(r *request) {
	for _, a := range r.lingering {
		s.emit(Cancel{Attempt: a.id})
	}
}

func (s *State) removeLingering(r *request, a *attempt) {
	for i, other := range r.lingering {
		if other == a {
			r.lingering = append(r.lingering[:i], r.lingering[i+1:]...)
			break
		}
	}
	if len(r.lingering) == 0 && r.done {
		delete(s.requests, r.id)
	}
}

// summary returns how the request has been handled so far.
func (s *State) summary(r *request) Summary {
	out := Summary{
		TableVersion: s.TableVersion(),
		Took:         s.now.Sub(r.arrived),
		Returning:    r.returning,
		CallerDelay:  r.callerDelay,
		Parts:        len(r.parts),
		Missed:       len(r.parts) - r.answered(),
		Hedges:       r.hedges,
		NoHedge:      r.noHedge,
	}
	if !r.deadline.IsZero() {
		out.TimeLeft = r.deadline.Sub(r.arrived)
	}
	if r.route != nil {
		out.Route = r.route.config.Name
		out.Goal = r.route.config.Goal
	}
	for _, p := range r.parts {
		if p.phase == partAnswered {
			continue
		}
		out.QueueLength += len(p.pool.waiting)
		if p.phase == partWaiting {
			r.recordQueueTime(p, s.now)
			out.QueueLength--
		}
		out.LeavingTargets += p.pool.countLeaving()
	}
	out.Queued = r.queueTime
	out.Account = r.account.name()
	out.Peers = s.peerRecords(r)
	out.Sends = make([]SendRecord, 0, len(r.sends))
	for _, a := range r.sends {
		record := SendRecord{
			Pool: a.part.pool.name, Target: a.target.id(), Hedge: a.hedge,
			After: a.sent.Sub(r.arrived), Outcome: a.outcome, Cause: a.cause, Status: a.status,
		}
		if a.outcome == "" {
			record.Outcome = "unanswered"
			record.Took = s.now.Sub(a.sent)
		} else {
			record.Took = a.ended.Sub(a.sent)
		}
		out.Sends = append(out.Sends, record)
	}
	return out
}

// recordQueueTime counts the time for which a part of the request has been queued.
func (r *request) recordQueueTime(p *part, now time.Time) {
	r.queueTime = max(r.queueTime, now.Sub(p.waitingSince))
}
