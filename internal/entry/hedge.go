package entry

import (
	"cmp"
	"slices"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/route"
)

// Constants of hedging.
const (
	// minHedgeDelay keeps hedges from being sent before a reply could arrive.
	minHedgeDelay = time.Millisecond
	// minHedgeQuantile and maxHedgeQuantile bound the quantile of the
	// service's reply times after which a request is hedged.
	minHedgeQuantile = 0.90
	maxHedgeQuantile = 0.99
	// checkFactor times the hedge delay is the age from which a request makes
	// its target's idle connections be tried: if these are silent, so may be the
	// request's own.
	checkFactor = 2
	// blindHedgeFraction of the time left is the delay while the service's
	// reply times aren't known.
	blindHedgeFraction = 4
)

// hedgeDelay is the time after which a request without reply is sent to a
// second replica: the quantile of the service's reply times that leaves as
// many requests above it as the extra-load budget can pay for ("The Tail at
// Scale", Dean and Barroso 2013).
func (s *State) hedgeDelay(q *search) time.Duration {
	quantile := 1 - q.service.config.ExtraLoadPercent/100
	quantile = min(max(quantile, minHedgeQuantile), maxHedgeQuantile)
	delay, known := q.service.replies.Quantile(s.now, quantile)
	if !known {
		delay = q.deadline.Sub(s.now) / blindHedgeFraction
	}
	return max(minHedgeDelay, delay)
}

// fireTimer answers a search whose time is up, and hedges or sends again what
// has waited long enough.
func (s *State) fireTimer(ev TimerFired) {
	if sub := s.submits[ev.Query]; sub != nil {
		s.expireSubmit(sub)
		return
	}
	q := s.searches[ev.Query]
	if q == nil {
		return
	}
	if !s.now.Before(q.deadline.Add(-answerMargin)) {
		s.giveUp(q, api.MissingDeadline)
		return
	}
	if !s.baseline() && !s.now.Before(q.hedgeAt) {
		s.hedge(q)
	}
	if !q.done && q.waits() && !s.now.Before(q.notBefore) {
		s.pump(q.service)
	}
	if !q.done {
		s.setTimer(q)
	}
}

// hedge looks after the search's late requests: those on silent connections are
// replaced, then the others get a second replica within the extra-load budget.
func (s *State) hedge(q *search) {
	delay := s.hedgeDelay(q)
	q.hedgeAt = s.now.Add(delay)
	for _, a := range slices.Clone(q.outstanding) {
		if a.target.SilentConnection(uint64(a.id), s.now) {
			s.replaceConnection(q, a)
		}
	}
	if q.done {
		return
	}
	var requests []sending
	for _, a := range q.outstanding {
		if s.now.Sub(a.started) >= delay {
			requests = s.planHedge(q, a, requests)
		}
		s.checkLate(a, delay)
	}
	s.endPlan(requests)
	for _, r := range requests {
		s.counters.Hedges++
		s.send(q, r)
	}
}

// checkLate has the idle connections of a very late request's target tried,
// once for each request. It costs the target nothing that it would count as
// work.
func (s *State) checkLate(a *attempt, delay time.Duration) {
	if a.checked || s.now.Sub(a.started) < checkFactor*delay {
		return
	}
	a.checked = true
	s.emit(CheckConnections{Target: a.target.ID()})
}

// replaceSilent sends the late requests to a target anew after idle connections
// to it were found silent: their own connections have most likely been
// forgotten by the same thing between the two ends.
func (s *State) replaceSilent(ev ConnectionsChecked) {
	t := s.targets[ev.Target]
	if t == nil {
		return
	}
	for _, q := range s.lateSearches(t) {
		for _, a := range slices.Clone(q.outstanding) {
			if a.target == t && s.isLate(a) {
				s.replaceConnection(q, a)
			}
		}
		s.setTimer(q)
	}
}

// lateSearches returns the searches with a late request to a target, in the
// order of their arrival.
func (s *State) lateSearches(t *route.Target) []*search {
	var late []*search
	for _, a := range s.attempts {
		if a.target == t && a.search != nil && s.isLate(a) && !slices.Contains(late, a.search) {
			late = append(late, a.search)
		}
	}
	slices.SortFunc(late, func(x, y *search) int { return cmp.Compare(x.id, y.id) })
	return late
}

func (s *State) isLate(a *attempt) bool {
	return a.search != nil && s.now.Sub(a.started) >= checkFactor*s.hedgeDelay(a.search)
}

// planHedge chooses second replicas for a's unanswered groups. The budget is
// closed while searches wait for room: then extra work would only add to the
// overload.
func (s *State) planHedge(q *search, a *attempt, requests []sending) []sending {
	if len(q.service.waiting) > 0 {
		return requests
	}
	for _, g := range a.groups {
		state := &q.groups[g]
		if state.phase != groupSent || state.hedged {
			continue
		}
		choice := s.choice(q, g)
		i := route.Choose(&q.placement.Groups[g], choice)
		if i < 0 {
			continue
		}
		t := q.placement.Groups[g].Replicas[i]
		if t.Ejected() || !t.Reachable() {
			continue
		}
		if !t.CanAddToPlanned(uint64(q.id)) && !q.service.extra.Spend() {
			return requests
		}
		requests = addTo(requests, q, t, g)
		state.hedged = true
		state.tried = state.tried.With(i)
	}
	return requests
}

// replaceConnection gives up a request whose connection is silent and sends it
// anew; the target isn't blamed.
func (s *State) replaceConnection(q *search, a *attempt) {
	s.counters.SilentConnection++
	s.emit(CancelAttempt{Attempt: a.id})
	s.emit(CheckConnections{Target: a.target.ID()})
	s.emit(Note{Kind: NoteSilentConnection, Target: a.target.ID()})
	a.target.Release(uint64(a.id))
	delete(s.attempts, a.id)
	if q.done {
		return
	}
	q.forget(a)
	for _, g := range a.groups {
		state := &q.groups[g]
		state.out--
		if state.phase == groupSent && state.out == 0 {
			state.phase = groupIdle
			state.tried = 0
		}
	}
	s.dispatch(q)
}

// setTimer sets the search's timer to its next due time.
func (s *State) setTimer(q *search) {
	if q.done {
		return
	}
	at := q.deadline.Add(-answerMargin)
	if !s.baseline() && len(q.outstanding) > 0 && q.hedgeAt.Before(at) {
		at = q.hedgeAt
	}
	if q.waits() && q.notBefore.After(s.now) && q.notBefore.Before(at) {
		at = q.notBefore
	}
	s.emit(SetTimer{Query: q.id, At: at})
}
