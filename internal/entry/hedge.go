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
	// minHedgeDelay is the shortest hedge delay, so that no hedge is sent before
	// a reply could arrive.
	minHedgeDelay = time.Millisecond
	// minHedgeQuantile and maxHedgeQuantile bound the quantile of the
	// service's reply times after which a request is hedged.
	minHedgeQuantile = 0.90
	maxHedgeQuantile = 0.99
	// connectionCheckFactor times the hedge delay is the age from which a
	// request has its target's idle connections checked. If they are silent, the
	// request's own connection may be silent too.
	connectionCheckFactor = 2
	// defaultHedgeDivisor is the divisor of the time left until the deadline
	// that gives the hedge delay while the service's reply times aren't known.
	defaultHedgeDivisor = 4
)

// hedgeDelay returns the time after which an unanswered request is sent to a
// second replica: the quantile of the service's reply times that is exceeded by
// as many requests as the extra-load budget allows to hedge ("The Tail at
// Scale", Dean and Barroso 2013).
func (s *State) hedgeDelay(q *search) time.Duration {
	quantile := 1 - q.service.config.ExtraLoadPercent/100
	quantile = min(max(quantile, minHedgeQuantile), maxHedgeQuantile)
	delay, known := q.service.replyTimes.Quantile(s.now, quantile)
	if !known {
		delay = q.deadline.Sub(s.now) / defaultHedgeDivisor
	}
	return max(minHedgeDelay, delay)
}

// handleTimerFired ends a search or submit whose deadline is reached. Otherwise
// it hedges late requests of the search and sends retries that are due.
func (s *State) handleTimerFired(ev TimerFired) {
	if sub := s.submits[ev.Query]; sub != nil {
		s.handleSubmitTimeout(sub)
		return
	}
	q := s.searches[ev.Query]
	if q == nil {
		return
	}
	if !s.now.Before(q.deadline.Add(-answerMargin)) {
		s.finishEarly(q, api.MissingDeadline)
		return
	}
	if !s.baseline() && !s.now.Before(q.hedgeAt) {
		s.handleLateRequests(q)
	}
	if !q.done && q.hasIdleGroups() && !s.now.Before(q.notBefore) {
		s.dispatchWaiting(q.service)
	}
	if !q.done {
		s.setTimer(q)
	}
}

// handleLateRequests resends the search's requests that are on silent
// connections, and then sends its other late requests to a second replica
// within the extra-load budget.
func (s *State) handleLateRequests(q *search) {
	delay := s.hedgeDelay(q)
	q.hedgeAt = s.now.Add(delay)
	for _, a := range slices.Clone(q.outstanding) {
		if a.target.SilentConnection(uint64(a.id), s.now) {
			s.resend(q, a)
		}
	}
	if q.done {
		return
	}
	var requests []plannedRequest
	for _, a := range q.outstanding {
		if s.now.Sub(a.started) >= delay {
			requests = s.planHedge(q, a, requests)
		}
		s.checkIdleConnections(a, delay)
	}
	s.clearPlans(requests)
	for _, r := range requests {
		s.counters.Hedges++
		s.sendRequest(q, r)
	}
}

// checkIdleConnections has the idle connections to the target of a very late
// request checked, once per request. The target does not count the pings as
// work.
func (s *State) checkIdleConnections(a *attempt, delay time.Duration) {
	if a.connectionsChecked || s.now.Sub(a.started) < connectionCheckFactor*delay {
		return
	}
	a.connectionsChecked = true
	s.emit(CheckConnections{Target: a.target.ID()})
}

// handleConnectionsChecked resends the very late requests to a target after idle
// connections to it were found silent. The connections of these requests have
// most likely lost their state in the same middlebox.
func (s *State) handleConnectionsChecked(ev ConnectionsChecked) {
	t := s.targets[ev.Target]
	if t == nil {
		return
	}
	for _, q := range s.veryLateSearches(t) {
		for _, a := range slices.Clone(q.outstanding) {
			if a.target == t && s.isVeryLate(a) {
				s.resend(q, a)
			}
		}
		s.setTimer(q)
	}
}

// veryLateSearches returns the searches with a very late request to a target, in
// the order of their arrival.
func (s *State) veryLateSearches(t *route.Target) []*search {
	var late []*search
	for _, a := range s.attempts {
		if a.target == t && a.search != nil && s.isVeryLate(a) && !slices.Contains(late, a.search) {
			late = append(late, a.search)
		}
	}
	slices.SortFunc(late, func(x, y *search) int { return cmp.Compare(x.id, y.id) })
	return late
}

// isVeryLate reports whether a request is old enough for a check of its target's
// idle connections.
func (s *State) isVeryLate(a *attempt) bool {
	return a.search != nil && s.now.Sub(a.started) >= connectionCheckFactor*s.hedgeDelay(a.search)
}

// planHedge chooses second replicas for a's unanswered groups. It plans none
// while searches wait in the queue, because extra work would add to the
// overload.
func (s *State) planHedge(q *search, a *attempt, requests []plannedRequest) []plannedRequest {
	if len(q.service.waiting) > 0 {
		return requests
	}
	for _, g := range a.groups {
		state := &q.groups[g]
		if state.phase != groupSent || state.hedged {
			continue
		}
		criteria := s.criteria(q, g)
		i := route.Choose(&q.placement.Groups[g], criteria)
		if i < 0 {
			continue
		}
		t := q.placement.Groups[g].Replicas[i]
		if t.Ejected() || !t.Reachable() {
			continue
		}
		if !t.CanAddToPlanned(uint64(q.id)) && !q.service.extra.TryWithdraw() {
			return requests
		}
		requests = addGroup(requests, q, t, g)
		state.hedged = true
		state.tried = state.tried.With(i)
	}
	return requests
}

// resend cancels a request whose connection is silent and sends its groups
// again. The failure is not attributed to the target.
func (s *State) resend(q *search, a *attempt) {
	s.counters.SilentConnection++
	s.emit(CancelAttempt{Attempt: a.id})
	s.emit(CheckConnections{Target: a.target.ID()})
	s.emit(LogEvent{Kind: LogSilentConnection, Target: a.target.ID()})
	a.target.Release(uint64(a.id))
	delete(s.attempts, a.id)
	if q.done {
		return
	}
	q.removeAttempt(a)
	for _, g := range a.groups {
		state := &q.groups[g]
		state.pendingRequests--
		if state.phase == groupSent && state.pendingRequests == 0 {
			state.phase = groupIdle
			state.tried = 0
		}
	}
	s.dispatch(q)
}

// setTimer sets the search's timer to the earliest of its deadline, its next
// hedge and the end of its backoff.
func (s *State) setTimer(q *search) {
	if q.done {
		return
	}
	at := q.deadline.Add(-answerMargin)
	if !s.baseline() && len(q.outstanding) > 0 && q.hedgeAt.Before(at) {
		at = q.hedgeAt
	}
	if q.hasIdleGroups() && q.notBefore.After(s.now) && q.notBefore.Before(at) {
		at = q.notBefore
	}
	s.emit(SetTimer{Query: q.id, At: at})
}
