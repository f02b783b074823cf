package forward

import (
	"math"
	"net/http"
	"time"
)

const (
	// answerMargin is the part of each deadline reserved for returning the answer to
	// the caller.
	answerMargin = 10 * time.Millisecond
	// 1/goalMarginDivisor of a route's goal, between minGoalMargin and maxGoalMargin,
	// is reserved for merging and for the network between the caller and this node:
	// the goal counts from the caller's first attempt.
	goalMarginDivisor = 8
	minGoalMargin     = 10 * time.Millisecond
	maxGoalMargin     = 25 * time.Millisecond
	// answerTime and partTime for each part are reserved beside a caller's network
	// delay, for reading the last replies, merging, and writing the answer.
	answerTime = 5 * time.Millisecond
	partTime   = 60 * time.Microsecond
	// noTableRetry is the least retry time that a node without a routing table
	// returns. After a restart of the whole system a node gets its table once the
	// control group has elected a leader and targets have announced themselves.
	noTableRetry = 900 * time.Millisecond
	// ShutdownRetry is the retry time of a request refused during shutdown. It is
	// short, as another node accepts the caller's next connection.
	ShutdownRetry = 50 * time.Millisecond
	// maxAttempts is the greatest number of attempts taken from a route. It keeps numbers
	// computed from it from overflowing.
	maxAttempts = 1 << 20
	// minRetryAfter is the least retry time of a request without usable targets, and
	// the least time that a plain request may wait unsent.
	minRetryAfter = 50 * time.Millisecond
)

// handleArrival admits a new request, or keeps it until there is a routing table.
func (s *State) handleArrival(ev RequestArrived) {
	s.counters.Requests++
	s.checkIsolation()
	r := &request{id: ev.Request, seed: ev.Seed, arrived: s.now, callerDelay: ev.Delay, fingerprint: ev.Fingerprint, key: ev.Key, path: ev.Path, fromPeer: ev.FromPeer}
	if ev.FromPeer != nil {
		s.counters.Taken++
		if reason := s.rejectFromPeer(ev.FromPeer); reason != "" {
			s.refuse(r, http.StatusServiceUnavailable, reason, s.addJitter(r, minRetryAfter))
			return
		}
	}
	switch {
	case s.shutDown:
		s.refuse(r, http.StatusServiceUnavailable, ReasonShutdown, ShutdownRetry)
	case s.routes != nil:
		s.admit(r, ev)
	case s.keepsForTable(ev):
		s.keepForTable(r, ev)
	default:
		s.refuseWithoutTable(r)
	}
}

// admit routes a request and dispatches its parts, or refuses it.
func (s *State) admit(r *request, ev RequestArrived) {
	r.route = s.routes.find(ev.Host, ev.Path)
	if r.route == nil {
		s.refuse(r, http.StatusNotFound, ReasonNoRoute, 0)
		return
	}
	r.deadline = r.arrived.Add(r.route.config.Timeout)
	if !ev.Deadline.IsZero() && ev.Deadline.Before(r.deadline) {
		r.deadline = ev.Deadline
	}
	if !s.identify(r) || s.refuseQuarantined(r) {
		return
	}
	if r.deadline.Sub(s.now) <= answerMargin {
		s.refuse(r, http.StatusRequestTimeout, ReasonExpired, 0)
		return
	}
	if !ev.Deadline.IsZero() {
		left := ev.Deadline.Sub(r.arrived)
		if ev.FromPeer != nil {
			left += ev.FromPeer.Age
		}
		r.returning = r.route.stats.isReturning(left) && s.hasWaited(r, left)
	}
	s.makeParts(r)
	if r.bound.isEmpty() {
		s.refuse(r, http.StatusServiceUnavailable, ReasonNoRegion, s.noTargetRetryAfter(r))
		return
	}
	if !s.awaitsToken(r) {
		s.place(r)
	}
}

// place passes a request on to a peer or dispatches it here, or refuses it.
func (s *State) place(r *request) {
	if s.needsPeer(r) && s.delegate(r) {
		return
	}
	if s.isolation.Isolated() && len(s.peers) > 0 {
		s.refuseIsolated(r)
		return
	}
	s.admitHere(r)
}

// admitHere dispatches the parts of a request to this node's targets, or refuses it.
func (s *State) admitHere(r *request) {
	if s.neededAvailableIn(r) > 0 {
		r.returning = r.returning || s.mayReturnAfterStart(r)
	}
	if s.neededAvailableIn(r) > 0 {
		s.refuse(r, http.StatusServiceUnavailable, ReasonNoTarget, s.noTargetRetryAfter(r))
		return
	}
	if s.refuseEarlyRetry(r) {
		return
	}
	s.offerParts(r)
	if s.overloaded(r) {
		s.refuse(r, http.StatusServiceUnavailable, ReasonOverload, s.overloadRetryAfter(r))
		return
	}
	s.requests[r.id] = r
	s.dispatchParts(r)
	if !r.done && !r.handedOver {
		s.setTimer(r)
	}
}

// dispatchParts dispatches the parts of a request, those that have to be queued last: whether
// the request can do without one of them depends on how many of the others are sent.
func (s *State) dispatchParts(r *request) {
	for _, queue := range []bool{false, true} {
		for _, p := range r.parts {
			if r.done || r.handedOver {
				return
			}
			if p.phase == partIdle && (queue || len(p.pool.waiting) == 0) {
				s.dispatch(p)
			}
		}
	}
}

// makeParts creates a part for each pool of a gather route, or one for the pool that
// the split selects, and sets when the answer is due.
func (s *State) makeParts(r *request) {
	pools := r.route.pools
	if !r.route.config.IsGather() {
		i := r.route.split.next()
		pools = pools[i : i+1]
	}
	parts := make([]part, len(pools))
	r.parts = make([]*part, len(pools))
	for i, p := range pools {
		parts[i] = part{request: r, pool: p}
		r.parts[i] = &parts[i]
	}
	r.pending = len(r.parts)
	r.attempts = min(max(1, r.route.config.Attempts), maxAttempts)
	arrived := r.arrived
	if d := r.fromPeer; d != nil {
		r.attempts = max(1, min(r.attempts, d.Attempts))
		arrived = arrived.Add(-d.Age)
	}
	r.due = r.deadline
	if goal := r.route.config.Goal; goal > 0 {
		r.due = earlier(r.deadline, arrived.Add(goal-goalMargin(goal, r.callerDelay+answerTime+time.Duration(len(pools))*partTime)))
	}
}

// goalMargin returns the part of a goal that is not available to targets, if at least a
// given time is needed beside them. At most half of the goal is kept back for that.
func goalMargin(goal, needed time.Duration) time.Duration {
	usual := min(max(goal/goalMarginDivisor, minGoalMargin), maxGoalMargin)
	return max(usual, min(needed, goal/2))
}

// neededParts returns how many parts an answer needs to reach the least coverage.
func (r *request) neededParts() int {
	const rounding = 1e-9
	least := int(math.Ceil(r.route.config.LeastCoverage*float64(len(r.parts)) - rounding))
	return max(1, least)
}

// noTargetRetryAfter returns the retry time for a request that too few pools can
// answer: by then enough of them may have a target.
func (s *State) noTargetRetryAfter(r *request) time.Duration {
	return s.addJitter(r, max(minRetryAfter, s.neededAvailableIn(r)))
}

// addJitter returns a time between d and 1.5 d, so that callers refused together do
// not retry together.
func (s *State) addJitter(r *request, d time.Duration) time.Duration {
	return d + time.Duration(r.seed%uint64(d/2+1))
}

// expired reports whether it is too late to send anything for a request, or its token has expired. After a pause of
// the process other events may come before the request's timer.
func (s *State) expired(r *request) bool {
	return !s.now.Before(r.deadline.Add(-answerMargin)) || s.lacksToken(r)
}

// dispatch sends a part to the best target, queues it if targets have no room, or
// marks it missing.
func (s *State) dispatch(p *part) {
	if s.expired(p.request) {
		s.timeOut(p.request)
		return
	}
	t, wait := s.choose(p)
	switch {
	case t != nil && len(p.pool.waiting) > 0:
		// Time alone may have given the target room. What waits for it comes first.
		s.enqueue(p)
		s.sendWaiting(p.pool)
	case t != nil:
		s.send(p, t, false)
	case wait:
		s.enqueue(p)
	default:
		p.setPhase(partIdle)
		s.markMissing(p)
	}
}

// send starts an attempt of a part at a target.
func (s *State) send(p *part, t *target, hedge bool) {
	r := p.request
	r.quota.use()
	s.lastAttempt++
	a := &attempt{
		id: s.lastAttempt, part: p, target: t, sent: s.now, hedge: hedge,
		expectedWork: s.usualWork(r.route), load: t.load(s.now) + 1,
	}
	s.attempts[a.id] = a
	if !p.counted {
		p.counted = true
		s.recordShare(p)
		if r.fromPeer == nil || !r.fromPeer.Repeated {
			p.pool.budget.recordInitial(s.options.Budget, s.now)
		}
	}
	p.sends++
	p.runs++
	p.setPhase(partSent)
	p.tried = append(p.tried, t)
	s.scheduleHedge(p, t)
	p.outstanding = append(p.outstanding, a)
	t.outstanding = append(t.outstanding, a)
	t.limit.recordSend(s.now)
	t.warmup.recordSend(s.now)
	s.isolation.RecordSend(&t.unansweredIn, a.expectedWork)
	r.sends = append(r.sends, a)
	s.counters.Sends++
	s.emit(Send{
		Request: r.id, Attempt: a.id, Target: t.id(), Deadline: r.deadline.Add(-answerMargin / 2), VerifyConnection: s.mustVerifyConnection(r),
		Account: r.account.name(), HasAccounts: s.accounts != nil,
	})
}

// startVerifyTime is how long a node verifies new connections after its start. A
// target may still count the connections of the node's previous process and be at
// its limit; after a power failure most of those are gone within this time.
const startVerifyTime = 5 * time.Second

// mustVerifyConnection reports whether a new connection has to be verified before the
// request is sent on it. After a reset a request that isn't idempotent can't be sent
// again, and any other one would spend a retry from the budget.
func (s *State) mustVerifyConnection(r *request) bool {
	return !r.route.config.Idempotent || s.now.Sub(s.started) < startVerifyTime
}
