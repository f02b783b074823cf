package forward

import (
	"net/http"
	"slices"
	"time"

	"wigeonbay/internal/entry/quota"
)

// A request of an account with a quota needs a token, which package quota keeps. It waits for
// one before anything is sent to a target or a peer; a peer that it is passed on to needs none.
// The token is used when the request is first sent, and taken back if it is certain that the
// request has not run.

const (
	// 1/quotaWaitDivisor of a route's goal is how long a request waits for a token, and
	// 1/quotaContactDivisor if the leader of the control group has replied lately: a call
	// that has just begun is then followed by the request's own one.
	quotaWaitDivisor    = 4
	quotaContactDivisor = 2
	// overQuotaPause is how long an account must have been within its quota before it is
	// reported again that it is above.
	overQuotaPause = 10 * time.Second
)

// requestQuota is what a request has to do with quotas.
type requestQuota struct {
	// account is that of the token or, if waiting is set, the one whose token it waits for.
	account string
	waiting bool
	until   time.Time
	token   quota.Token
	held    bool
	used    bool
}

// use marks the token as used, as the request is sent to a target or a peer.
func (q *requestQuota) use() { q.used = true }

// quotas holds this node's tokens and the requests that wait for some.
type quotas struct {
	node *quota.Node
	// now is the time on a clock that counts suspension.
	now time.Duration
	// limited reports that an account of the table in force has a quota.
	limited bool
	waiting map[string][]*request
	// dueAt is the time of the last SetQuotaTimer, 0 for none.
	dueAt time.Duration
	// over holds the time of the last refusal of each account that was above its quota.
	over map[string]time.Duration
}

func newQuotas(options Options) *quotas {
	return &quotas{
		node:    quota.NewNode(options.Node, options.Quota),
		waiting: map[string][]*request{},
		over:    map[string]time.Duration{},
	}
}

// SetSinceBoot sets the time on a clock that counts suspension. It is called before each event
// while HasQuotas reports true.
func (s *State) SetSinceBoot(now time.Duration) { s.quotas.now = now }

// HasQuotas reports whether an account of the table in force has a quota.
func (s *State) HasQuotas() bool { return s.quotas.limited }

// QuotaCounters returns the counts of calls to the leader and of requests with quotas.
func (s *State) QuotaCounters() quota.Counters { return s.quotas.node.Counters() }

// QuotaUses describes the accounts with quotas that are in use.
func (s *State) QuotaUses() []quota.Use { return s.quotas.node.Uses(s.quotas.now) }

// QuotaOf returns the quota of an account in the table in force, 0 for none.
func (s *State) QuotaOf(name string) (rate, burst float64) {
	if a := s.accounts.named(name); a != nil {
		return a.config.Rate, a.config.Burst
	}
	return 0, 0
}

// needsToken reports whether a request needs a token of its account.
func (r *request) needsToken() bool {
	return r.account != nil && r.account.config.Rate > 0 && r.fromPeer == nil
}

// awaitsToken takes a token for a new request if it needs one, and reports whether the request
// waits or was refused.
func (s *State) awaitsToken(r *request) bool {
	if !r.needsToken() {
		return false
	}
	name := r.account.name()
	r.quota = requestQuota{account: name}
	token, verdict := s.quotas.node.Arrive(s.quotas.now, name)
	switch verdict {
	case quota.Granted:
		r.quota.token, r.quota.held = token, true
		return false
	case quota.Over:
		s.refuseOverQuota(r)
		return true
	case quota.Unknown:
		s.refuseUnsettled(r)
		return true
	}
	r.quota.waiting = true
	r.quota.until = s.quotaWaitEnd(r)
	s.requests[r.id] = r
	s.quotas.waiting[name] = append(s.quotas.waiting[name], r)
	s.emit(SetTimer{Request: r.id, At: r.quota.until})
	return true
}

// quotaWaitEnd returns until when a request waits for a token.
func (s *State) quotaWaitEnd(r *request) time.Time {
	goal := r.route.config.Goal
	if goal <= 0 {
		goal = min(defaultOverloadGoal, r.route.config.Timeout)
	}
	wait := goal / quotaWaitDivisor
	if s.quotas.node.InContact(s.quotas.now) {
		wait = goal / quotaContactDivisor
	}
	return earlier(r.arrived.Add(wait), r.deadline.Add(-answerMargin))
}

// refuseOverQuota refuses a request of an account that is above its quota.
func (s *State) refuseOverQuota(r *request) {
	name := r.quota.account
	now := s.quotas.now
	if last, known := s.quotas.over[name]; !known || now-last > overQuotaPause {
		s.emit(QuotaExceeded{Account: name})
	}
	s.quotas.over[name] = now
	s.refuse(r, http.StatusTooManyRequests, ReasonOverQuota, s.quotas.node.RetryAfter(now, name, r.seed))
}

// refuseUnsettled refuses a request of an account of which the leader doesn't know yet whether
// it is above its quota.
func (s *State) refuseUnsettled(r *request) {
	after := s.quotas.node.RetryAfter(s.quotas.now, r.quota.account, r.seed)
	s.refuse(r, http.StatusServiceUnavailable, ReasonNoQuota, after)
}

// handleQuotaTimer refuses a request that has waited too long for a token.
func (s *State) handleQuotaTimer(r *request) {
	if s.now.Before(r.quota.until) {
		s.emit(SetTimer{Request: r.id, At: r.quota.until})
		return
	}
	s.leaveQuotaQueue(r, true)
	s.refuse(r, http.StatusServiceUnavailable, ReasonNoQuota, s.quotas.node.OutageRetryAfter(s.quotas.now, r.seed))
}

// handleQuotaAnswer applies the leader's reply, nil for none, and decides on the requests that
// wait.
func (s *State) handleQuotaAnswer(ev QuotaAnswered) {
	if ev.Reply == nil {
		s.quotas.node.Failed(s.quotas.now, ev.Seed)
		return
	}
	s.quotas.node.Replied(s.quotas.now, ev.Reply)
	for _, name := range s.quotas.node.Waiting() {
		s.serveQuotaQueue(name)
	}
}

// serveQuotaQueue decides on the requests that wait for tokens of an account, oldest first.
func (s *State) serveQuotaQueue(name string) {
	for len(s.quotas.waiting[name]) > 0 {
		r := s.quotas.waiting[name][0]
		token, verdict := s.quotas.node.Retry(s.quotas.now, name)
		if verdict == quota.Wait {
			return
		}
		s.removeFromQuotaQueue(r)
		switch verdict {
		case quota.Over:
			s.refuseOverQuota(r)
		case quota.Unknown:
			s.refuseUnsettled(r)
		default:
			r.quota.token, r.quota.held = token, true
			s.place(r)
		}
	}
}

func (s *State) removeFromQuotaQueue(r *request) {
	name := r.quota.account
	r.quota.waiting = false
	left := slices.DeleteFunc(s.quotas.waiting[name], func(other *request) bool { return other == r })
	if len(left) == 0 {
		delete(s.quotas.waiting, name)
		return
	}
	s.quotas.waiting[name] = left
}

// leaveQuotaQueue ends the wait of a request that gets no token.
func (s *State) leaveQuotaQueue(r *request, noLeader bool) {
	s.removeFromQuotaQueue(r)
	s.quotas.node.WaitEnded(r.quota.account, noLeader)
}

// endQuota takes back what a request that has ended has of its account's quota.
func (s *State) endQuota(r *request) {
	switch {
	case r.quota.waiting:
		s.leaveQuotaQueue(r, false)
	case r.quota.held && !r.quota.used:
		s.quotas.node.GiveBack(s.quotas.now, r.quota.account, r.quota.token)
	}
	r.quota.held = false
}

// unuseToken takes back that a request has used its token, if the status by which it is refused
// says that it has not run.
func (r *request) unuseToken(status int) {
	if status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
		r.quota.used = false
	}
}

// lacksToken reports whether the token of a request that has not been sent has expired, and
// there is no other one. A node may have been suspended while the request was queued.
func (s *State) lacksToken(r *request) bool {
	if !r.quota.held || r.quota.used || r.quota.token.Valid(s.quotas.now) {
		return false
	}
	token, ok := s.quotas.node.Renew(s.quotas.now, r.quota.account)
	if ok {
		r.quota.token = token
	}
	return !ok
}

// installQuotas applies a new routing table. Requests that wait are decided on by what their
// accounts are now.
func (s *State) installQuotas() {
	s.quotas.limited = false
	for i := range s.table.Accounts {
		s.quotas.limited = s.quotas.limited || s.table.Accounts[i].Rate > 0
	}
	s.quotas.node.QuotasChanged()
	clear(s.quotas.over)
	var waiting []*request
	for _, list := range s.quotas.waiting {
		waiting = append(waiting, list...)
	}
	slices.SortFunc(waiting, func(a, b *request) int { return int(a.id) - int(b.id) })
	for _, r := range waiting {
		if r.done || !r.quota.waiting || r.needsToken() && r.account.name() == r.quota.account {
			continue
		}
		s.leaveQuotaQueue(r, false)
		if !s.awaitsToken(r) {
			s.place(r)
		}
	}
}

// askForQuota asks the leader for tokens if that is due.
func (s *State) askForQuota() {
	ask, at := s.quotas.node.Poll(s.quotas.now, s.TableVersion())
	switch {
	case ask != nil:
		s.emit(AcquireQuota{Ask: ask})
	case at > 0 && at != s.quotas.dueAt:
		s.quotas.dueAt = at
		s.emit(SetQuotaTimer{After: at - s.quotas.now})
	}
}
