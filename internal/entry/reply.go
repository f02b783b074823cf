package entry

import (
	"wigeonbay/internal/api"
)

// handleShardsReplied processes a target's reply to a search. A reply computed
// on another snapshot than the requested one counts as a failure.
func (s *State) handleShardsReplied(ev ShardsReplied) {
	a := s.attempts[ev.Attempt]
	if a == nil {
		s.emit(DiscardReply{Attempt: ev.Attempt})
		return
	}
	if ev.Snapshot != a.snapshot {
		s.counters.ForeignReplies++
		s.emit(LogEvent{Kind: LogSnapshotMismatch, Target: a.target.ID()})
		s.handleAttemptFailed(AttemptFailed{Attempt: ev.Attempt, Kind: FailureBadReply, Header: ev.Header})
		return
	}
	delete(s.attempts, ev.Attempt)
	s.recordReply(a, ev.Header)
	s.acceptReply(a)
	s.dispatchWaiting(a.service)
}

// recordReply updates the statistics of the target and the service after a
// valid reply.
func (s *State) recordReply(a *attempt, h TargetHeader) {
	s.recordAnswer()
	took := s.now.Sub(a.started)
	wasReachable := a.target.Reachable()
	a.target.RecordReply(uint64(a.id), s.now, h.InFlight)
	if !wasReachable {
		a.service.index = nil
	}
	if a.trial {
		s.recordTrialReply(a)
	} else {
		a.service.replyTimes.Record(s.now, took)
	}
	s.applyHeader(a.target, h)
}

func (s *State) recordTrialReply(a *attempt) {
	if a.target.RecordTrialReply(a.service.targets, s.now.Sub(a.started), a.shards) {
		s.emit(LogEvent{Kind: LogTargetReadmitted, Target: a.target.ID()})
	}
}

// acceptReply adds the groups for which this is the first reply to the answer
// of the search. It discards a reply without such groups.
func (s *State) acceptReply(a *attempt) {
	q := a.search
	if q == nil {
		s.emit(DiscardReply{Attempt: a.id})
		return
	}
	q.removeAttempt(a)
	newlyAnswered := a.groups[:0]
	for _, g := range a.groups {
		state := &q.groups[g]
		state.pendingRequests--
		if state.phase == groupAnswered || state.phase == groupMissing {
			continue
		}
		state.phase = groupAnswered
		q.undecided--
		newlyAnswered = append(newlyAnswered, g)
	}
	if len(newlyAnswered) == 0 {
		s.emit(DiscardReply{Attempt: a.id})
	} else {
		q.accepted = append(q.accepted, Accepted{Attempt: a.id, Shards: q.shardsOf(newlyAnswered)})
	}
	if q.undecided == 0 {
		s.finish(q)
	}
}

// handleAttemptFailed processes a failed request of a search or a submit.
func (s *State) handleAttemptFailed(ev AttemptFailed) {
	a := s.attempts[ev.Attempt]
	if a == nil {
		return
	}
	delete(s.attempts, ev.Attempt)
	if ev.Kind == FailureRefused || ev.Kind == FailureBadReply {
		s.recordAnswer()
	}
	connectionFault := ev.Reused && a.target.SilentConnection(uint64(a.id), s.now)
	s.recordFailure(a, ev, connectionFault)
	s.applyHeader(a.target, ev.Header)
	if a.submit != nil {
		s.handleSubmitFailure(a, ev)
	} else if a.search != nil {
		s.retry(a, ev)
	}
	s.dispatchWaiting(a.service)
}

// recordFailure updates the target's statistics after a failure. Failures
// caused by the connection or by the node itself don't count against the
// target.
func (s *State) recordFailure(a *attempt, ev AttemptFailed, connectionFault bool) {
	t := a.target
	switch {
	case ev.Kind == FailureRefused && ev.Code == api.TargetShed:
		t.RecordShed(uint64(a.id), s.now)
	case ev.Kind == FailureRefused && ev.Code == api.TargetNoSnapshot:
		t.Release(uint64(a.id))
		t.RecordLostSnapshot(a.snapshot)
		a.service.index = nil
	case ev.Kind == FailureRefused && ev.Code == api.TargetDrain:
		t.Release(uint64(a.id))
		s.applyHeader(t, TargetHeader{State: api.TargetDraining, Incarnation: t.Announced.Incarnation})
	case ev.Kind == FailureRefused || ev.Kind == FailureCancelled:
		t.Release(uint64(a.id))
	case connectionFault || ev.Kind == FailureTimeout && ev.Reused:
		t.Release(uint64(a.id))
		s.counters.SilentConnection++
		s.emit(CheckConnections{Target: t.ID()})
	default:
		s.recordTargetFailure(a)
	}
}

func (s *State) recordTargetFailure(a *attempt) {
	if a.target.RecordFailure(uint64(a.id), s.now) {
		a.service.index = nil
		s.emit(LogEvent{Kind: LogTargetUnreachable, Target: a.target.ID()})
	}
}

// retry sends the failed request's groups to other replicas if mayRetry allows
// it, and marks them as missing otherwise.
func (s *State) retry(a *attempt, ev AttemptFailed) {
	q := a.search
	q.removeAttempt(a)
	for _, g := range a.groups {
		state := &q.groups[g]
		state.pendingRequests--
		if state.phase != groupSent || state.pendingRequests > 0 {
			continue
		}
		state.phase = groupIdle
		state.reason = failureReason(ev)
		state.shed = state.shed || ev.Kind == FailureRefused && ev.Code == api.TargetShed
	}
	if q.done {
		return
	}
	if !s.mayRetry(q, a, ev) {
		s.markIdleMissing(q, a)
	}
	if !q.done {
		s.dispatch(q)
		s.setTimer(q)
	}
}

// mayRetry reports whether a's groups may be sent to other replicas. A retry is
// free if the request did not run, or on the first broken connection of its
// first group, because it then most likely replaces work that was not done. Any
// other retry spends a token of the extra-load budget, except with the baseline
// policy.
func (s *State) mayRetry(q *search, a *attempt, ev AttemptFailed) bool {
	if ev.Kind == FailureRefused && ev.Code == api.TargetDeadline {
		return false
	}
	s.counters.Retries++
	if s.baseline() || ev.NotRun || ev.Kind == FailureConnect {
		return true
	}
	if ev.Kind == FailureBroken && !q.groups[a.groups[0]].retried {
		q.groups[a.groups[0]].retried = true
		return true
	}
	return q.service.extra.TryWithdraw()
}

// markIdleMissing marks those of a's groups as missing that have no other
// request in flight.
func (s *State) markIdleMissing(q *search, a *attempt) {
	for _, g := range a.groups {
		if !q.done && q.groups[g].phase == groupIdle {
			s.markMissing(q, g, q.groups[g].reason)
		}
	}
}

func failureReason(ev AttemptFailed) api.MissingReason {
	switch {
	case ev.Kind == FailureTimeout || ev.Code == api.TargetDeadline:
		return api.MissingDeadline
	case ev.Code == api.TargetShed:
		return api.MissingShed
	case ev.Code == api.TargetNoSnapshot:
		return api.MissingNoSnapshot
	default:
		return api.MissingFailed
	}
}

// removeAttempt removes a from the search's requests in flight.
func (q *search) removeAttempt(a *attempt) {
	for i, other := range q.outstanding {
		if other == a {
			q.outstanding = append(q.outstanding[:i], q.outstanding[i+1:]...)
			return
		}
	}
}

// cancelAttempts cancels a search's requests in flight.
func (s *State) cancelAttempts(q *search) {
	for _, a := range q.outstanding {
		a.search = nil
		s.emit(CancelAttempt{Attempt: a.id})
	}
	q.outstanding = q.outstanding[:0]
}
