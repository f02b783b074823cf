package entry

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/route"
)

const (
	// retryBackoff is the base of the exponential backoff before a search sends
	// to replicas again that it has already tried.
	retryBackoff = 5 * time.Millisecond
	// maxRetryRounds bounds how often a search backs off and tries the replicas
	// of its groups again.
	maxRetryRounds = 3
	// maxRestarts bounds how often a search restarts on another snapshot.
	maxRestarts = 2
)

// plannedRequest is a request that has not been sent yet: one or more groups
// for one target.
type plannedRequest struct {
	target *route.Target
	groups []int
	// extra is set if the request is a hedge, a retry or a trial.
	extra bool
}

// dispatch sends requests for every idle group for which a replica has
// capacity. If idle groups remain, the search waits in the service's queue. It
// does nothing during a backoff.
func (s *State) dispatch(q *search) {
	if s.now.Before(q.notBefore) {
		return
	}
	requests, trials, unservable := s.planRequests(q)
	for _, r := range requests {
		s.sendRequest(q, r)
	}
	for _, r := range trials {
		s.counters.Trials++
		s.sendRequest(q, r).trial = true
	}
	s.resolveUnservable(q, unservable)
	if !q.done && q.hasIdleGroups() {
		s.enqueue(q)
	}
}

// planRequests chooses a replica for each idle group. Each group gets a request
// of its own if the replica has capacity for it, because a target runs the
// shards of one request sequentially and separate requests concurrently.
// planRequests also returns the groups without an eligible replica.
func (s *State) planRequests(q *search) (requests, trials []plannedRequest, unservable []int) {
	q.service.roundRobin++
	for g := range q.groups {
		if q.groups[g].phase != groupIdle {
			continue
		}
		group := &q.placement.Groups[g]
		criteria := s.criteria(q, g)
		i := route.Choose(group, criteria)
		if i < 0 {
			if !route.HasEligible(group, criteria) {
				unservable = append(unservable, g)
			}
			continue
		}
		requests = addGroup(requests, q, group.Replicas[i], g)
		q.groups[g].tried = q.groups[g].tried.With(i)
		if trial, ok := s.planTrial(q, g); ok {
			trials = append(trials, trial)
		}
	}
	s.clearPlans(requests)
	return requests, trials, unservable
}

// planTrial returns a duplicate of a group's request for an ejected or
// unreachable replica that is due for a trial, if the extra-load budget allows
// one.
func (s *State) planTrial(q *search, g int) (plannedRequest, bool) {
	if s.baseline() {
		return plannedRequest{}, false
	}
	group := &q.placement.Groups[g]
	i := route.DueTrial(group, s.criteria(q, g))
	if i < 0 || !q.service.extra.TryWithdraw() {
		return plannedRequest{}, false
	}
	t := group.Replicas[i]
	t.RecordTrialSent(s.now)
	q.groups[g].tried = q.groups[g].tried.With(i)
	return plannedRequest{target: t, groups: []int{g}, extra: true}, true
}

func (s *State) criteria(q *search, g int) route.Criteria {
	return route.Criteria{
		Now:        s.now,
		Snapshot:   q.placement.Snapshot,
		SearchID:   uint64(q.id),
		Tried:      q.groups[g].tried,
		Policy:     s.options.Policy,
		RoundRobin: q.service.roundRobin,
	}
}

// addGroup adds a group to a new request for the target, or to the planned one
// if the target has no capacity for another.
func addGroup(requests []plannedRequest, q *search, t *route.Target, g int) []plannedRequest {
	shards := len(q.placement.Groups[g].Shards)
	if index, ok := t.AddToPlanned(uint64(q.id), shards); ok {
		requests[index].groups = append(requests[index].groups, g)
		return requests
	}
	t.PlanRequest(uint64(q.id), len(requests), shards)
	return append(requests, plannedRequest{target: t, groups: []int{g}, extra: q.groups[g].requested})
}

// clearPlans clears the plans of the targets of requests. It is called before
// the requests are sent and counted as in flight.
func (s *State) clearPlans(requests []plannedRequest) {
	for _, r := range requests {
		r.target.ClearPlan()
	}
}

// sendRequest sends one planned request and returns its attempt.
func (s *State) sendRequest(q *search, r plannedRequest) *attempt {
	shards := q.shardsOf(r.groups)
	s.lastAttempt++
	a := &attempt{
		id:       s.lastAttempt,
		target:   r.target,
		service:  q.service,
		search:   q,
		snapshot: q.placement.Snapshot,
		groups:   r.groups,
		shards:   len(shards),
		started:  s.now,
	}
	s.attempts[a.id] = a
	q.outstanding = append(q.outstanding, a)
	r.target.RecordSent(uint64(a.id), s.now, len(shards))
	s.recordSent(r.target.ID(), s.expectedExecution(q.service))
	s.countRequest(q.service, r.extra)
	for _, g := range r.groups {
		q.groups[g].phase = groupSent
		q.groups[g].requested = true
		q.groups[g].pendingRequests++
	}
	q.hedgeAt = s.now.Add(s.hedgeDelay(q))
	s.emit(SendShards{
		Attempt:  a.id,
		Query:    q.id,
		Target:   r.target.ID(),
		Service:  q.service.config.Name,
		Snapshot: a.snapshot,
		Shards:   shards,
		Deadline: q.deadline.Add(-answerMargin),
		Extra:    r.extra,
	})
	return a
}

// countRequest counts a request. Only requests that aren't extra add to the
// extra-load budget.
func (s *State) countRequest(svc *service, extra bool) {
	s.counters.TargetRequests++
	if extra {
		s.counters.ExtraRequests++
		return
	}
	svc.extra.Deposit(1)
}

// resolveUnservable handles groups without an eligible replica: the search
// restarts on another snapshot, retries after a backoff, or marks the group as
// missing.
func (s *State) resolveUnservable(q *search, unservable []int) {
	for _, g := range unservable {
		if q.done || q.groups[g].phase != groupIdle {
			continue
		}
		switch {
		case s.snapshotLost(q, g):
			if s.restart(q) {
				return
			}
			s.markMissing(q, g, api.MissingNoSnapshot)
		case s.mayRetrySameReplicas(q, g):
			s.scheduleRetry(q, g)
		default:
			s.markMissing(q, g, s.missingReason(q, g))
		}
	}
}

// snapshotLost reports whether no replica of the group that accepts work holds
// the search's snapshot any more.
func (s *State) snapshotLost(q *search, g int) bool {
	for _, t := range q.placement.Groups[g].Replicas {
		if t.AcceptsWork() && t.Holds(q.placement.Snapshot) {
			return false
		}
	}
	return true
}

// restart starts the search over on the snapshot that a new search would be
// pinned to. Replies received so far are dropped, because merging them would
// mix two snapshots. It returns false if there is no other snapshot, the
// restart limit is reached, or less time is left than a search usually takes.
func (s *State) restart(q *search) bool {
	next := q.service.currentIndex().Pin()
	typical, _ := q.service.searchTimes.Quantile(s.now, 0.5)
	timeLeft := q.deadline.Sub(s.now) - answerMargin
	if next == nil || next.Snapshot == q.placement.Snapshot || q.restarts >= maxRestarts || timeLeft < typical {
		return false
	}
	s.counters.Restarts++
	q.restarts++
	s.cancelAttempts(q)
	for _, reply := range q.accepted {
		s.emit(DiscardReply{Attempt: reply.Attempt})
	}
	s.pinSnapshot(q)
	s.dispatch(q)
	return true
}

// mayRetrySameReplicas reports whether the search may send to the group's
// replicas again: if one of them shed the request, or if the service prefers
// coverage and the extra-load budget allows it.
func (s *State) mayRetrySameReplicas(q *search, g int) bool {
	if q.retryRounds >= maxRetryRounds || q.deadline.Sub(s.now) < answerMargin+retryBackoff {
		return false
	}
	if q.groups[g].shed {
		return true
	}
	return q.service.config.Prefer == api.PreferCoverage && s.hasReplica(q, g) && q.service.extra.TryWithdraw()
}

func (s *State) hasReplica(q *search, g int) bool {
	for _, t := range q.placement.Groups[g].Replicas {
		if t.AcceptsWork() && t.Holds(q.placement.Snapshot) {
			return true
		}
	}
	return false
}

// scheduleRetry allows the group's replicas to be tried again after a backoff.
// It starts a backoff unless the search is in one already.
func (s *State) scheduleRetry(q *search, g int) {
	if !s.now.Before(q.notBefore) {
		q.retryRounds++
		backoff := retryBackoff << q.retryRounds
		q.notBefore = s.now.Add(addJitter(backoff, q.seed))
	}
	q.groups[g].tried = 0
	q.groups[g].shed = false
}

func (s *State) missingReason(q *search, g int) api.MissingReason {
	if q.groups[g].reason != "" {
		return q.groups[g].reason
	}
	return api.MissingNoReplica
}

// hasIdleGroups reports whether a group still has to be sent.
func (q *search) hasIdleGroups() bool {
	for _, g := range q.groups {
		if g.phase == groupIdle {
			return true
		}
	}
	return false
}

// shardsOf returns the shards of the given groups. For a single group it
// returns the placement's slice, which callers must not modify.
func (q *search) shardsOf(groups []int) []api.ShardID {
	if len(groups) == 1 {
		return q.placement.Groups[groups[0]].Shards
	}
	var shards []api.ShardID
	for _, g := range groups {
		shards = append(shards, q.placement.Groups[g].Shards...)
	}
	return shards
}
