package entry

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/route"
)

const (
	// retryBackoff is the wait before a search asks replicas again that have
	// all shed its request.
	retryBackoff = 5 * time.Millisecond
	// maxRounds bounds how often a search asks all replicas of a shard.
	maxRounds = 3
	// maxRestarts bounds how often a search starts again on a newer snapshot.
	maxRestarts = 2
)

// sending is a request being put together: the groups that go to one target.
type sending struct {
	target *route.Target
	groups []int
	// extra tells that the request is a hedge, a retry or a trial.
	extra bool
}

// dispatch sends requests for every group that has none and finds a replica
// with room. What finds none waits in the service's queue.
func (s *State) dispatch(q *search) {
	if s.now.Before(q.notBefore) {
		return
	}
	requests, trials, stuck := s.plan(q)
	for _, r := range requests {
		s.send(q, r)
	}
	for _, r := range trials {
		s.counters.Trials++
		s.send(q, r).trial = true
	}
	s.decideStuck(q, stuck)
	if !q.done && q.waits() {
		s.enqueue(q)
	}
}

// plan chooses a replica for each idle group, in a request of its own where
// the replica has room for one: a target runs the shards of one request one
// after the other, and those of several requests at the same time. It also
// returns the groups for which no replica can be chosen now or later.
func (s *State) plan(q *search) (requests, trials []sending, stuck []int) {
	q.service.roundRobin++
	for g := range q.groups {
		if q.groups[g].phase != groupIdle {
			continue
		}
		group := &q.placement.Groups[g]
		choice := s.choice(q, g)
		i := route.Choose(group, choice)
		if i < 0 {
			if !route.HasEligible(group, choice) {
				stuck = append(stuck, g)
			}
			continue
		}
		requests = addTo(requests, q, group.Replicas[i], g)
		q.groups[g].tried = q.groups[g].tried.With(i)
		if trial, ok := s.planTrial(q, g); ok {
			trials = append(trials, trial)
		}
	}
	s.endPlan(requests)
	return requests, trials, stuck
}

// planTrial returns a copy of a group's request for a replica that is set
// aside and due for a trial, within the extra-load budget.
func (s *State) planTrial(q *search, g int) (sending, bool) {
	if s.baseline() {
		return sending{}, false
	}
	group := &q.placement.Groups[g]
	i := route.DueTrial(group, s.choice(q, g))
	if i < 0 || !q.service.extra.Spend() {
		return sending{}, false
	}
	t := group.Replicas[i]
	t.RecordTrialSent(s.now)
	q.groups[g].tried = q.groups[g].tried.With(i)
	return sending{target: t, groups: []int{g}, extra: true}, true
}

func (s *State) choice(q *search, g int) route.Criteria {
	return route.Criteria{
		Now:        s.now,
		Snapshot:   q.placement.Snapshot,
		SearchID:   uint64(q.id),
		Tried:      q.groups[g].tried,
		Policy:     s.options.Policy,
		RoundRobin: q.service.roundRobin,
	}
}

// addTo adds a group to a new request for the target, or to the planned one
// when the target has no room for another.
func addTo(requests []sending, q *search, t *route.Target, g int) []sending {
	shards := len(q.placement.Groups[g].Shards)
	if position, ok := t.AddToPlanned(uint64(q.id), shards); ok {
		requests[position].groups = append(requests[position].groups, g)
		return requests
	}
	t.PlanRequest(uint64(q.id), len(requests), shards)
	return append(requests, sending{target: t, groups: []int{g}, extra: q.groups[g].asked})
}

// endPlan forgets what was planned for the targets: from now on it counts as
// sent.
func (s *State) endPlan(requests []sending) {
	for _, r := range requests {
		r.target.ClearPlan()
	}
}

// send sends one request.
func (s *State) send(q *search, r sending) *attempt {
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
	s.countRequest(q.service, r.extra)
	for _, g := range r.groups {
		q.groups[g].phase = groupSent
		q.groups[g].asked = true
		q.groups[g].out++
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

// countRequest counts a request; only those that aren't extra earn extra ones.
func (s *State) countRequest(svc *service, extra bool) {
	s.counters.TargetRequests++
	if extra {
		s.counters.ExtraRequests++
		return
	}
	svc.extra.Earn(1)
}

// decideStuck deals with groups that no replica can serve: the search starts
// again on another snapshot, asks once more after a pause, or goes without.
func (s *State) decideStuck(q *search, stuck []int) {
	for _, g := range stuck {
		if q.done || q.groups[g].phase != groupIdle {
			continue
		}
		switch {
		case s.lostSnapshot(q, g):
			if s.restart(q) {
				return
			}
			s.miss(q, g, api.MissingNoSnapshot)
		case s.mayAskAgain(q, g):
			s.askAgain(q, g)
		default:
			s.miss(q, g, s.missingReason(q, g))
		}
	}
}

// lostSnapshot reports whether no replica of the group holds the search's
// snapshot any more.
func (s *State) lostSnapshot(q *search, g int) bool {
	for _, t := range q.placement.Groups[g].Replicas {
		if t.AcceptsWork() && t.Holds(q.placement.Snapshot) {
			return false
		}
	}
	return true
}

// restart begins the search anew on the snapshot that is now the best one.
// Replies of the old one are dropped: merging them would mix two snapshots.
func (s *State) restart(q *search) bool {
	next := q.service.indexOf().Pin()
	typical, _ := q.service.durations.Quantile(s.now, 0.5)
	timeLeft := q.deadline.Sub(s.now) - answerMargin
	if next == nil || next.Snapshot == q.placement.Snapshot || q.restarts >= maxRestarts || timeLeft < typical {
		return false
	}
	s.counters.Restarts++
	q.restarts++
	s.abandonAttempts(q)
	for _, part := range q.accepted {
		s.emit(DiscardReply{Attempt: part.Attempt})
	}
	s.pin(q)
	s.dispatch(q)
	return true
}

// mayAskAgain reports whether the group's replicas may be asked once more:
// when they shed the request, or when coverage is preferred and the extra-load
// budget allows.
func (s *State) mayAskAgain(q *search, g int) bool {
	if q.rounds >= maxRounds || q.deadline.Sub(s.now) < answerMargin+retryBackoff {
		return false
	}
	if q.groups[g].shed {
		return true
	}
	return q.service.config.Prefer == api.PreferCoverage && s.hasReplica(q, g) && q.service.extra.Spend()
}

func (s *State) hasReplica(q *search, g int) bool {
	for _, t := range q.placement.Groups[g].Replicas {
		if t.AcceptsWork() && t.Holds(q.placement.Snapshot) {
			return true
		}
	}
	return false
}

func (s *State) askAgain(q *search, g int) {
	if !s.now.Before(q.notBefore) {
		q.rounds++
		backoff := retryBackoff << q.rounds
		q.notBefore = s.now.Add(spread(backoff, q.seed))
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

// waits reports whether some group still has to be sent.
func (q *search) waits() bool {
	for _, g := range q.groups {
		if g.phase == groupIdle {
			return true
		}
	}
	return false
}

// shardsOf returns the shards of some groups. Those of a single group are the
// placement's own slice, which nobody may change.
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
