package forward

import (
	"net/http"
	"slices"
	"time"

	"wigeonbay/internal/quarantine"
)

// The queues of a node whose routing table has client accounts are served by fairness.go, and
// new requests are admitted by when that would send them. Without accounts the order is that
// of precedes.

// sharesFairly reports whether pools are divided among client accounts.
func (s *State) sharesFairly() bool { return s.accounts != nil }

// priority returns the rank of a request; 0 is the most urgent.
func (r *request) priority() int { return priorityOf(r.route, r.account) }

// flowOf returns the flow of a part in its pool.
func (s *State) flowOf(p *part) *flow {
	if p.flow == nil {
		p.flow = p.pool.fairness.flowOf(s.now, flowKey{p.request.account.name(), p.request.priority()})
	}
	return p.flow
}

// offerParts counts the parts of a request that has arrived. One that comes again was counted
// when it came first, here or at another node.
func (s *State) offerParts(r *request) {
	if !s.sharesFairly() || r.returning {
		return
	}
	for _, p := range r.parts {
		p.pool.fairness.offer(s.now, s.flowOf(p))
	}
}

// recordShare counts the first send of a part.
func (s *State) recordShare(p *part) {
	if s.sharesFairly() {
		p.pool.fairness.serve(s.now, s.flowOf(p), len(p.pool.waiting) > 0)
	}
}

// isTooLate reports whether a part sent now would usually be answered too late: past its goal, or
// for a returning caller past its deadline.
func (s *State) isTooLate(p *part) bool {
	r := p.request
	if r.returning {
		return !s.now.Add(s.usualWork(r.route)).Before(r.deadline.Add(-answerMargin))
	}
	return !s.isTimely(p)
}

// nextFair returns the queued part to send next, nil if all are blocked.
func (s *State) nextFair(p *pool, blocked *blockedParts) *part {
	var best *part
	var bestTurn turn
	p.fairness.round++
	optionalFirst := p.isOptionalTurn()
	for _, w := range p.waiting {
		if blocked.contains(w) {
			continue
		}
		t := p.fairness.turnOf(s.now, s.flowOf(w))
		t.fresh, t.last = !w.request.returning, w.isOptional() != optionalFirst
		t.late = s.isTooLate(w) || t.fresh && s.isLate(w)
		if best == nil || t.before(bestTurn) {
			best, bestTurn = w, t
		}
	}
	return best
}

// fairWait estimates how long a part would queue.
func (s *State) fairWait(p *part) time.Duration {
	if len(p.pool.waiting) == 0 {
		return 0
	}
	of, own, optional := s.flowOf(p), 0, 0
	gather := p.request.route.config.IsGather()
	p.pool.fairness.beginCount()
	for _, w := range p.pool.waiting {
		if s.isTooLate(w) {
			continue
		}
		if !gather && w.isOptional() {
			optional++
			continue
		}
		switch other := s.flowOf(w); {
		case other != of:
			p.pool.fairness.count(other)
		case w.request.returning || !p.request.returning:
			own++
		}
	}
	ahead, least := p.pool.fairness.waitOf(s.now, of, own)
	ahead += min(optional, optionalAmong(ahead))
	if ahead > 0 {
		least = max(least, p.pool.admission.EstimateWait(ahead+1))
	}
	return least
}

// shedAt returns when a request of which nothing has been sent is refused, so that its caller
// can be told to retry, or for a returning caller when it is decided again whether it will be
// served in time. It is the zero time for a request that isn't decided on any more.
func (s *State) shedAt(r *request) time.Time {
	goal := r.route.config.Goal
	if !s.sharesFairly() || goal <= 0 || r.shedChecked || r.mayHaveRunNow() || r.mayHaveArrived() {
		return time.Time{}
	}
	return r.arrived.Add(goal / maxUnsentDivisor)
}

// shed refuses a request of which nothing has been sent and that won't be served in time.
func (s *State) shed(r *request) {
	if at := s.shedAt(r); r.done || r.handedOver || at.IsZero() || s.now.Before(at) {
		return
	}
	r.shedChecked = true
	if !r.returning || !s.willBeSent(r) {
		s.fail(r, ReasonOverload)
	}
}

// willBeSent reports whether enough queued parts of a request whose caller returns are expected
// to be sent early enough, also if they wait shedCaution times as long as estimated.
func (s *State) willBeSent(r *request) bool {
	latest := r.deadline.Add(-answerMargin - s.usualReplyTime(r.route))
	inTime := 0
	for _, p := range r.parts {
		if p.phase != partWaiting || !s.now.Add(shedCaution*s.fairWait(p)).After(latest) {
			inTime++
		}
	}
	return inTime >= r.neededParts()
}

// shedCaution allows for parts that arrive later and are sent before. Without it one in twenty
// refusals of returning callers came only at the deadline.
const shedCaution = 2

// Callers that don't wait for their retry time must not take the place of those that do.

const (
	// maxRefusals limits the refusals that are kept.
	maxRefusals = 2048
	// sameDeadline is the greatest difference between the deadlines of two attempts of one
	// request: both are computed from milliseconds that the caller has left.
	sameDeadline = 30 * time.Millisecond
	// earlyPenalty is how much later a request may be sent again for each time that it came
	// too early. A caller that sends again and again would otherwise be the first at the end
	// of its retry time.
	earlyPenalty = 100 * time.Millisecond
	// retryTolerance is how much too early a retry may come.
	retryTolerance = 20 * time.Millisecond
)

// refusals holds the latest requests that were refused for overload, by content.
type refusals struct {
	byContent map[quarantine.Fingerprint]refusal
	order     []quarantine.Fingerprint
	next      int
}

// refusal is the deadline of a refused request and when it may be sent again.
type refusal struct{ deadline, until time.Time }

// record keeps a refusal in place of the oldest one.
func (f *refusals) record(content quarantine.Fingerprint, r refusal) {
	if f.byContent == nil {
		f.byContent = map[quarantine.Fingerprint]refusal{}
	}
	if _, known := f.byContent[content]; !known {
		if len(f.order) < maxRefusals {
			f.order = append(f.order, content)
		} else {
			delete(f.byContent, f.order[f.next])
			f.order[f.next] = content
			f.next = (f.next + 1) % maxRefusals
		}
	}
	f.byContent[content] = r
}

// early returns when a request may be sent again, and whether now is too early. Requests with
// the same content belong to the same caller if they have the same deadline.
func (f *refusals) early(now time.Time, content quarantine.Fingerprint, deadline time.Time) (time.Time, bool) {
	r, known := f.byContent[content]
	return r.until, known && now.Before(r.until.Add(-retryTolerance)) && deadline.Sub(r.deadline).Abs() <= sameDeadline
}

// refuseEarlyRetry refuses a request that was refused before and comes again too early while
// others wait, and reports whether it has.
func (s *State) refuseEarlyRetry(r *request) bool {
	if !s.sharesFairly() {
		return false
	}
	until, early := s.refusals.early(s.now, r.fingerprint, r.deadline)
	if !early || !slices.ContainsFunc(r.parts, func(p *part) bool { return len(p.pool.waiting) > 0 }) {
		return false
	}
	s.counters.EarlyRetries++
	until = until.Add(earlyPenalty)
	s.refusals.record(r.fingerprint, refusal{r.deadline, until})
	s.refuse(r, http.StatusServiceUnavailable, ReasonOverload, max(minRetryAfter, until.Sub(s.now)))
	return true
}

// recordRefusal keeps when the caller of a request that is refused for overload may retry.
func (s *State) recordRefusal(r *request, reason Reason, retryAfter time.Duration) {
	if !s.sharesFairly() || reason != ReasonOverload || retryAfter <= 0 {
		return
	}
	if _, early := s.refusals.early(s.now, r.fingerprint, r.deadline); !early {
		s.refusals.record(r.fingerprint, refusal{r.deadline, s.now.Add(retryAfter)})
	}
}

// hasWaited reports whether a returning caller may have waited for the retry time of an overload
// refusal. One that may not doesn't come before new callers.
func (s *State) hasWaited(r *request, left time.Duration) bool {
	return !s.sharesFairly() || r.route.stats.usualTimeLeft-left >= overloadRetryGoals*r.route.config.Goal-retryTolerance
}
