package quota

import (
	"slices"
	"time"

	"wigeonbay/internal/controlrpc"
)

// Ask and Reply are the messages between a node and the leader.
type (
	Ask   = controlrpc.AcquireQuotaArgs
	Reply = controlrpc.AcquireQuotaReply
	Rules = controlrpc.QuotaRules
)

const (
	// urgentInterval is the least time between the end of a call and the start of the next
	// one while requests wait; it makes requests that arrive together share a call.
	// usualInterval is the least time between the starts of two calls otherwise.
	urgentInterval = 8 * time.Millisecond
	usualInterval  = 40 * time.Millisecond
	// minBackoff and maxBackoff limit the pause after a failed call.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
	// contactTime is how long after its last reply the leader counts as reachable.
	contactTime = time.Second
	// idleTime is how long after its last request an account has tokens kept for it,
	// forgetTime how long the node remembers it.
	idleTime   = 3 * time.Second
	forgetTime = time.Minute
	// 1/horizonDivisor of the validity of tokens, between minHorizon and maxHorizon, is the
	// time for which they are kept ahead of demand. Of an account that moves to other nodes
	// the rest is left to return them.
	horizonDivisor = 3
	minHorizon     = 100 * time.Millisecond
	maxHorizon     = time.Second
	// renewMargin is the time beside two round trips by which a call precedes the end of the
	// tokens that a node has.
	renewMargin = 30 * time.Millisecond
	// usualRoundTrip is assumed until a call has been answered.
	usualRoundTrip = 20 * time.Millisecond
	// demandTime is the time constant of the average of the demand. An average that rises
	// faster than it falls would exceed the demand, and tokens would expire unused.
	demandTime = time.Second
	// silentRequests is the number of expected requests after which an account that has sent
	// none is taken to have moved to other nodes.
	silentRequests = 3
	// minDemandSample is the least time over which demand is measured.
	minDemandSample = 50 * time.Millisecond
	// defaultValidity is assumed for an account of which no token has been granted.
	defaultValidity = time.Second
	// returnMargin is the number of tokens beyond the expected need that are kept.
	returnMargin = 1
	// maxPromise limits how far ahead of the next token requests are told to come back, unless
	// a few tokens take longer.
	maxPromise       = 3 * time.Second
	maxPromiseTokens = 3
	// maxRefusal limits the time for which a node refuses requests without asking. A leader
	// elected later, or tokens that another node returned, may allow them earlier.
	maxRefusal = 2 * time.Second
	// maxCoalesced is the number of accounts up to which a call asks for all that need tokens
	// soon. With more, looking at each would cost more than the calls that it saves.
	maxCoalesced = 256
	// maxTokens limits what a node asks for.
	maxTokens = 1 << 16
)

// Verdict is the decision on a request.
type Verdict uint8

// Verdicts.
const (
	// Granted means that the request has a token.
	Granted Verdict = iota
	// Wait means that the request must wait for the leader's reply.
	Wait
	// Over means that the account is above its quota.
	Over
	// Unknown means that the leader grants no tokens now, but the account may be within its
	// quota.
	Unknown
)

// Node holds an entry node's tokens. It is not safe for concurrent use.
type Node struct {
	name     string
	rules    controlrpc.QuotaRules
	accounts map[string]*account
	// epoch is that of the last reply. Tokens of others can't be returned.
	epoch uint64

	// inFlight is the call in progress, nil for none, and sentAt when it was sent.
	inFlight *Ask
	sentAt   time.Duration
	endedAt  time.Duration
	calls    uint64
	failures int
	// backoffUntil is set after a failed call.
	backoffUntil time.Duration
	contact      time.Duration
	hasContact   bool
	roundTrip    time.Duration
	// urgent reports that requests wait. due holds the accounts that a call is due for.
	urgent   bool
	due      []*account
	counters Counters
}

// Counters counts calls to the leader and what became of requests of limited accounts.
type Counters struct {
	Calls    uint64 `json:"calls"`
	Failed   uint64 `json:"failed"`
	Used     uint64 `json:"used"`
	Over     uint64 `json:"over"`
	NoLeader uint64 `json:"no_leader"`
	// Waited counts requests that found no token when they arrived, Expired and Returned
	// tokens that were not used.
	Waited   uint64 `json:"waited"`
	Expired  uint64 `json:"expired"`
	Returned uint64 `json:"returned"`
}

// NewNode returns a node without tokens. The name distinguishes it from others.
func NewNode(name string, rules controlrpc.QuotaRules) *Node {
	return &Node{name: name, rules: rules, accounts: map[string]*account{}, roundTrip: usualRoundTrip}
}

// Counters returns the counts since the process started.
func (n *Node) Counters() Counters { return n.counters }

// Arrive records the arrival of a request of a limited account and decides on it. A request
// that waits is decided on again with Retry, and WaitEnded must be called once it ends.
func (n *Node) Arrive(now time.Duration, name string) (Token, Verdict) {
	a := n.accounts[name]
	if a == nil {
		a = &account{name: name, measured: now, validity: defaultValidity}
		n.accounts[name] = a
	}
	a.arrived++
	a.lastUse = now
	token, verdict := n.decide(now, a)
	if verdict == Wait {
		a.waiting++
		n.markUrgent(a)
		n.counters.Waited++
	}
	return token, verdict
}

// Retry decides again on a request that waits.
func (n *Node) Retry(now time.Duration, name string) (Token, Verdict) {
	a := n.accounts[name]
	if a == nil {
		return Token{}, Wait
	}
	token, verdict := n.decide(now, a)
	if verdict == Wait {
		n.markUrgent(a)
		return token, verdict
	}
	a.waiting--
	return token, verdict
}

// WaitEnded ends the wait of a request that gets no token. noLeader reports that it is refused
// because the leader has not replied in time.
func (n *Node) WaitEnded(name string, noLeader bool) {
	a := n.accounts[name]
	if a == nil {
		return
	}
	a.waiting = max(0, a.waiting-1)
	if noLeader {
		a.noLeader++
		n.counters.NoLeader++
	}
}

func (n *Node) markDue(a *account) {
	if !a.due {
		a.due = true
		n.due = append(n.due, a)
	}
}

func (n *Node) markUrgent(a *account) {
	n.markDue(a)
	n.urgent = true
}

func (n *Node) decide(now time.Duration, a *account) (Token, Verdict) {
	if token, ok := n.take(now, a); ok {
		a.used++
		n.counters.Used++
		return token, Granted
	}
	if now < a.overUntil && a.unsettled {
		a.noLeader++
		n.counters.NoLeader++
		return Token{}, Unknown
	}
	if now < a.overUntil {
		a.over++
		n.counters.Over++
		return Token{}, Over
	}
	return Token{}, Wait
}

// take takes the token that expires first.
func (n *Node) take(now time.Duration, a *account) (Token, bool) {
	for len(a.lots) > 0 {
		first := &a.lots[0]
		if !first.token.Valid(now) {
			n.counters.Expired += uint64(first.tokens)
			a.lots = slices.Delete(a.lots, 0, 1)
			continue
		}
		token := first.token
		if first.tokens--; first.tokens == 0 {
			a.lots = slices.Delete(a.lots, 0, 1)
		}
		if len(a.lots) == 0 || len(a.lots) == 1 && a.lots[0].tokens <= a.low {
			n.markDue(a)
		}
		return token, true
	}
	return Token{}, false
}

// GiveBack takes back the token of a request that was not sent to a target.
func (n *Node) GiveBack(now time.Duration, name string, token Token) {
	a := n.accounts[name]
	if a == nil {
		return
	}
	a.used--
	n.counters.Used--
	if token.Valid(now) {
		a.add(token, 1)
	}
}

// Renew replaces a token that has expired before its use, if there is another one.
func (n *Node) Renew(now time.Duration, name string) (Token, bool) {
	a := n.accounts[name]
	if a == nil {
		return Token{}, false
	}
	return n.take(now, a)
}

// RetryAfter returns when a refused request of an account that is above its quota finds a token
// if the requests refused before it come back too. seed is random.
func (n *Node) RetryAfter(now time.Duration, name string, seed uint64) time.Duration {
	a := n.accounts[name]
	if a == nil {
		return minBackoff
	}
	interval := float64(maxPromise)
	if a.share > 0 {
		interval = min(float64(time.Second)/a.share, float64(time.Hour))
	}
	latest := a.nextToken + max(maxPromise, time.Duration(maxPromiseTokens*interval))
	a.promised = max(a.promised, a.nextToken)
	if a.promised > latest {
		a.promised = a.nextToken
	}
	jitter := time.Duration(float64(seed%1024) / 1024 * interval / 2)
	after := a.promised + jitter - now
	a.promised += time.Duration(interval)
	return max(minBackoff, after)
}

// OutageRetryAfter returns when a request is to come back that was refused because no leader
// has replied.
func (n *Node) OutageRetryAfter(now time.Duration, seed uint64) time.Duration {
	after := max(outageRetry, n.backoffUntil-now)
	return after + time.Duration(seed%uint64(after/2+1))
}

// outageRetry is about the time in which a leader is elected.
const outageRetry = 300 * time.Millisecond

// InContact reports whether the leader has replied lately.
func (n *Node) InContact(now time.Duration) bool {
	return n.hasContact && now-n.contact <= contactTime
}

// Poll returns the next call to make, nil if none is due. In that case, if a call will be due
// at a time, it returns that time, else 0.
func (n *Node) Poll(now time.Duration, tableVersion uint64) (*Ask, time.Duration) {
	if n.inFlight != nil || len(n.due) == 0 {
		return nil, 0
	}
	earliest := max(n.backoffUntil, n.sentAt+usualInterval)
	if n.urgent {
		earliest = max(n.backoffUntil, n.endedAt+urgentInterval)
	}
	if n.calls > 0 && now < earliest {
		return nil, earliest
	}
	if len(n.accounts) <= maxCoalesced {
		for _, a := range n.accounts {
			n.markDue(a)
		}
	}
	ask := &Ask{Node: n.name, Rules: n.rules, Epoch: n.epoch, TableVersion: tableVersion}
	for _, a := range n.due {
		a.due = false
		if want, ok := n.want(now, a); ok {
			ask.Wants = append(ask.Wants, want)
		}
	}
	clear(n.due)
	n.urgent, n.due = false, n.due[:0]
	if len(ask.Wants) == 0 {
		return nil, 0
	}
	n.inFlight, n.sentAt = ask, now
	n.calls++
	n.counters.Calls++
	return ask, 0
}

// want returns what an account needs, and false for nothing.
func (n *Node) want(now time.Duration, a *account) (controlrpc.QuotaWant, bool) {
	a.measure(now)
	if now < a.overUntil && len(a.lots) == 0 {
		return controlrpc.QuotaWant{}, false // the leader has named a time before which there is nothing
	}
	need := a.need(now, n.horizon(a))
	held := a.held(now + 2*n.roundTrip)
	want := controlrpc.QuotaWant{Account: a.name, Waiting: a.waiting, Demand: a.demand}
	switch {
	case now < a.overUntil:
	case a.waiting > 0:
		// Demand may rise faster than its average: more requests will come while this
		// call is answered.
		want.Tokens = a.waiting + max(need, a.waiting)
	case held < need:
		want.Tokens = need - held
	default:
		want.Returned = n.takeBack(now, a, n.excess(now, a, held))
	}
	want.Tokens = min(want.Tokens, maxTokens)
	a.low = a.need(now, 2*n.roundTrip+renewMargin)
	return want, want.Tokens > 0 || len(want.Returned) > 0
}

// horizon returns the time for which the tokens of an account are to last.
func (n *Node) horizon(a *account) time.Duration {
	return min(max(a.validity/horizonDivisor, minHorizon), maxHorizon) + 2*n.roundTrip
}

// excess returns how many of the tokens held are to be returned.
func (n *Node) excess(now time.Duration, a *account, held int) int {
	need := a.need(now, n.horizon(a))
	if held > need+returnMargin || need == 0 {
		return held - need
	}
	return 0
}

// takeBack removes tokens to return, those that expire last.
func (n *Node) takeBack(now time.Duration, a *account, tokens int) []controlrpc.QuotaReturn {
	var returned []controlrpc.QuotaReturn
	for i := len(a.lots) - 1; i >= 0 && tokens > 0; i-- {
		l := &a.lots[i]
		if l.token.epoch != n.epoch || !l.token.Valid(now) {
			continue
		}
		taken := min(tokens, l.tokens)
		returned = append(returned, controlrpc.QuotaReturn{At: l.token.at, Tokens: taken})
		l.tokens -= taken
		tokens -= taken
		n.counters.Returned += uint64(taken)
	}
	a.lots = slices.DeleteFunc(a.lots, func(l lot) bool { return l.tokens == 0 })
	return returned
}

// Replied applies the reply to the call in progress.
func (n *Node) Replied(now time.Duration, reply *Reply) {
	ask := n.inFlight
	if ask == nil {
		return
	}
	n.inFlight, n.endedAt = nil, now
	n.failures, n.backoffUntil = 0, 0
	n.contact, n.hasContact = now, true
	n.roundTrip += (now - n.sentAt - n.roundTrip) / 4
	n.epoch = reply.Epoch
	for i := range ask.Wants {
		a := n.accounts[ask.Wants[i].Account]
		if a == nil || i >= len(reply.Grants) {
			continue
		}
		n.apply(now, a, &reply.Grants[i], reply.Epoch)
	}
}

func (n *Node) apply(now time.Duration, a *account, grant *controlrpc.QuotaGrant, epoch uint64) {
	if grant.Unknown {
		return
	}
	if grant.Validity > 0 {
		a.validity = grant.Validity
	}
	for _, l := range grant.Lots {
		token := Token{until: n.sentAt + l.Validity, at: l.At, epoch: epoch}
		if l.Tokens > 0 && token.Valid(now) {
			a.add(token, l.Tokens)
		}
	}
	a.share, a.unsettled = grant.Share, grant.Unsettled
	if grant.RetryAfter > 0 {
		a.nextToken = now + grant.RetryAfter
		a.overUntil = now + min(grant.RetryAfter, maxRefusal)
	}
}

// Failed records that the call in progress got no grants. Tokens that it returned are lost.
func (n *Node) Failed(now time.Duration, seed uint64) {
	ask := n.inFlight
	if ask == nil {
		return
	}
	n.inFlight, n.endedAt = nil, now
	n.counters.Failed++
	n.failures++
	pause := min(maxBackoff, minBackoff<<min(n.failures-1, 6))
	n.backoffUntil = now + pause/2 + time.Duration(seed%uint64(pause/2))
	for _, want := range ask.Wants {
		if a := n.accounts[want.Account]; a != nil && a.waiting > 0 {
			n.markUrgent(a)
		} else if a != nil {
			n.markDue(a)
		}
	}
}

// QuotasChanged makes the node ask again for accounts that were above their quotas.
func (n *Node) QuotasChanged() {
	for _, a := range n.accounts {
		a.nextToken, a.overUntil, a.promised = 0, 0, 0
	}
}

// Waiting returns the accounts of which requests wait, sorted. A call is due for those that
// still wait after they were decided on.
func (n *Node) Waiting() []string {
	var names []string
	for name, a := range n.accounts {
		if a.waiting > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Tick marks the accounts of which tokens will run out or are to be returned, and forgets those
// that are idle. It is called a few times a second.
func (n *Node) Tick(now time.Duration) {
	for name, a := range n.accounts {
		if a.waiting > 0 {
			n.markUrgent(a)
			continue
		}
		a.measure(now)
		idle := now - a.lastUse
		if idle > forgetTime && !a.due {
			delete(n.accounts, name)
			continue
		}
		held := a.held(now + 2*n.roundTrip + renewMargin)
		short := now >= a.overUntil && held < a.need(now, 2*n.roundTrip+renewMargin)
		if short || n.excess(now, a, held) > 0 {
			n.markDue(a)
		}
	}
}
