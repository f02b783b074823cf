package entry

import (
	"wigeonbay/internal/api"
)

// takeReply counts a target's reply to a search. Only the first reply for a
// shard counts, and only one computed on the snapshot that was asked for.
func (s *State) takeReply(ev ShardsReplied) {
	a := s.attempts[ev.Attempt]
	if a == nil {
		s.emit(DiscardReply{Attempt: ev.Attempt})
		return
	}
	if ev.Snapshot != a.snapshot {
		s.counters.ForeignReplies++
		s.emit(Note{Kind: NoteForeignReply, Target: a.target.ID()})
		s.failAttempt(AttemptFailed{Attempt: ev.Attempt, Kind: FailureBadReply, Header: ev.Header})
		return
	}
	delete(s.attempts, ev.Attempt)
	s.credit(a, ev.Header)
	s.countParts(a)
	s.pump(a.service)
}

// credit notes a good reply as evidence about its target.
func (s *State) credit(a *attempt, h TargetHeader) {
	took := s.now.Sub(a.started)
	wasReachable := a.target.Reachable()
	a.target.RecordReply(uint64(a.id), s.now, h.InFlight)
	if !wasReachable {
		a.service.index = nil
	}
	if a.trial {
		s.judgeTrial(a)
	} else {
		a.service.replies.Record(s.now, took)
	}
	s.heed(a.target, h)
}

func (s *State) judgeTrial(a *attempt) {
	if a.target.RecordTrialReply(a.service.targets, s.now.Sub(a.started), a.shards) {
		s.emit(Note{Kind: NoteReturned, Target: a.target.ID()})
	}
}

// countParts adds the reply's shards to the answer of its search.
func (s *State) countParts(a *attempt) {
	q := a.search
	if q == nil {
		s.emit(DiscardReply{Attempt: a.id})
		return
	}
	q.forget(a)
	first := a.groups[:0]
	for _, g := range a.groups {
		state := &q.groups[g]
		state.out--
		if state.phase == groupAnswered || state.phase == groupMissing {
			continue
		}
		state.phase = groupAnswered
		q.undecided--
		first = append(first, g)
	}
	if len(first) == 0 {
		s.emit(DiscardReply{Attempt: a.id})
	} else {
		q.accepted = append(q.accepted, Accepted{Attempt: a.id, Shards: q.shardsOf(first)})
	}
	if q.undecided == 0 {
		s.finish(q)
	}
}

// failAttempt takes a failed request of a search or a submit.
func (s *State) failAttempt(ev AttemptFailed) {
	a := s.attempts[ev.Attempt]
	if a == nil {
		return
	}
	delete(s.attempts, ev.Attempt)
	excused := ev.Reused && a.target.SilentConnection(uint64(a.id), s.now)
	s.blame(a, ev, excused)
	s.heed(a.target, ev.Header)
	if a.submit != nil {
		s.failSubmit(a, ev)
	} else if a.search != nil {
		s.retry(a, ev)
	}
	s.pump(a.service)
}

// blame notes a failure as evidence about its target, unless the connection or
// the node itself is at fault.
func (s *State) blame(a *attempt, ev AttemptFailed, excused bool) {
	t := a.target
	switch {
	case ev.Kind == FailureRefused && ev.Code == api.TargetShed:
		t.RecordRefusal(uint64(a.id), s.now)
	case ev.Kind == FailureRefused && ev.Code == api.TargetNoSnapshot:
		t.Release(uint64(a.id))
		t.RecordLostSnapshot(a.snapshot)
		a.service.index = nil
	case ev.Kind == FailureRefused && ev.Code == api.TargetDrain:
		t.Release(uint64(a.id))
		s.heed(t, TargetHeader{State: api.TargetDraining, Incarnation: t.Announced.Incarnation})
	case ev.Kind == FailureRefused || ev.Kind == FailureCancelled:
		t.Release(uint64(a.id))
	case excused || ev.Kind == FailureTimeout && ev.Reused:
		t.Release(uint64(a.id))
		s.counters.SilentConnection++
		s.emit(CheckConnections{Target: t.ID()})
	default:
		s.blameTarget(a)
	}
}

func (s *State) blameTarget(a *attempt) {
	if a.target.RecordFailure(uint64(a.id), s.now) {
		a.service.index = nil
		s.emit(Note{Kind: NoteSuspect, Target: a.target.ID()})
	}
}

// retry sends the failed request's shards elsewhere, within the extra-load
// budget where the failed request may have cost the target work.
func (s *State) retry(a *attempt, ev AttemptFailed) {
	q := a.search
	q.forget(a)
	for _, g := range a.groups {
		state := &q.groups[g]
		state.out--
		if state.phase != groupSent || state.out > 0 {
			continue
		}
		state.phase = groupIdle
		state.reason = reasonOf(ev)
		state.shed = state.shed || ev.Kind == FailureRefused && ev.Code == api.TargetShed
	}
	if q.done {
		return
	}
	if !s.mayRetry(q, a, ev) {
		s.missIdle(q, a)
	}
	if !q.done {
		s.dispatch(q)
		s.setTimer(q)
	}
}

// mayRetry reports whether a's shards may be asked elsewhere. A request that
// did not run, or whose connection is gone with its target, takes the place of
// work that nobody does; any other costs a token of the extra-load budget.
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
	return q.service.extra.Spend()
}

// missIdle goes without those of a's groups that no other request covers.
func (s *State) missIdle(q *search, a *attempt) {
	for _, g := range a.groups {
		if !q.done && q.groups[g].phase == groupIdle {
			s.miss(q, g, q.groups[g].reason)
		}
	}
}

func reasonOf(ev AttemptFailed) api.MissingReason {
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

// forget removes a from the search's requests in flight.
func (q *search) forget(a *attempt) {
	for i, other := range q.outstanding {
		if other == a {
			q.outstanding = append(q.outstanding[:i], q.outstanding[i+1:]...)
			return
		}
	}
}

// abandonAttempts cancels a search's requests in flight.
func (s *State) abandonAttempts(q *search) {
	for _, a := range q.outstanding {
		a.search = nil
		s.emit(CancelAttempt{Attempt: a.id})
	}
	q.outstanding = q.outstanding[:0]
}
