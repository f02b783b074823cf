package quota

import (
	"math"
	"slices"
	"strings"
	"time"

	"wigeonbay/internal/controlrpc"
)

const (
	// demandExpiry is how long a node's demand counts after its last request for tokens.
	demandExpiry = 3 * time.Second
	// minReturnValidity is the least remaining validity of a returned token that is granted
	// again. A shorter one would expire on its way.
	minReturnValidity = 150 * time.Millisecond
	// maxReturnedLots limits the lots of returned tokens of an account.
	maxReturnedLots = 16
	// maxTokens limits a grant to one node, so that sums can't overflow.
	maxTokens = 1 << 20
	// minRetryAfter is the least time for which a node doesn't ask again. It bounds the
	// calls that an account above its quota costs.
	minRetryAfter = 100 * time.Millisecond
	// unlimitedValidity is that of tokens for an account without a quota. It is short, as the
	// account may get one.
	unlimitedValidity = time.Second
	// maxRetryAfter limits the time named to a node whose account has a very low rate.
	maxRetryAfter = time.Hour
)

// Leader grants tokens while its process leads the control group. It is not safe for
// concurrent use.
type Leader struct {
	rules   controlrpc.QuotaRules
	limits  map[string]Limit
	buckets map[string]*bucket
	// epoch identifies the time in office, and fillFrom is when buckets begin to fill.
	epoch    uint64
	fillFrom time.Duration
	// version is that of the routing table that limits are from, 0 for none in this time in
	// office.
	version uint64
}

// bucket is the token bucket of an account.
type bucket struct {
	limit Limit
	plan  plan
	level float64
	at    time.Duration
	// returned holds unused tokens that nodes have returned.
	returned []lot
	// demands holds the demand of the nodes that asked lately, total their sum.
	demands  map[string]*demand
	total    float64
	sweepAt  time.Duration
	granted  uint64
	withheld uint64
}

// lot is a number of tokens that were granted at the same time.
type lot struct {
	at     time.Duration
	tokens int
}

// demand is that of a node.
type demand struct {
	perSecond float64
	at        time.Duration
	// credit is the number of tokens that the node may have while the nodes' demand exceeds
	// the rate. It grows by the node's share of the rate.
	credit float64
}

// NewLeader returns a leader that is not in office: Elected must be called first.
func NewLeader() *Leader {
	return &Leader{limits: map[string]Limit{}, buckets: map[string]*bucket{}}
}

// Epoch returns that of Elected.
func (l *Leader) Epoch() uint64 { return l.epoch }

// Elected starts a time in office. Until fillFrom, by when the previous leader certainly
// grants nothing any more, buckets don't fill and nodes share a small allowance.
func (l *Leader) Elected(epoch uint64, fillFrom time.Duration) {
	l.epoch, l.fillFrom = epoch, fillFrom
	clear(l.buckets)
	l.version = 0
}

// Version returns the version of the routing table whose quotas are in force, 0 if none is.
func (l *Leader) Version() uint64 { return l.version }

// Configure sets the quotas of the accounts in a routing table. Tokens granted before run out
// by their validity.
func (l *Leader) Configure(now time.Duration, version uint64, limits map[string]Limit) {
	for name, b := range l.buckets {
		b.fill(now)
		limit, known := limits[name]
		switch {
		case known && limit.Rate > 0:
			l.change(b, limit)
		case known || b.level >= b.plan.capacity:
			delete(l.buckets, name)
		}
		// A bucket that isn't full is kept though its account is gone: if the next table
		// has it again, it must not get a full one.
	}
	for name, limit := range limits {
		if l.version > 0 && l.limits[name].Rate <= 0 && limit.Rate > 0 && l.buckets[name] == nil {
			b := l.newBucket(limit)
			b.level, b.at = b.plan.capacity, now
			l.buckets[name] = b
		}
	}
	l.limits, l.version = limits, version
}

// change applies another limit to a bucket.
func (l *Leader) change(b *bucket, limit Limit) {
	if b.limit == limit {
		return
	}
	b.limit, b.plan = limit, newPlan(limit, l.rules)
	b.level = min(b.level, b.plan.capacity)
	b.returned = nil
}

// newBucket returns a bucket as it was when the leader took office.
func (l *Leader) newBucket(limit Limit) *bucket {
	p := newPlan(limit, l.rules)
	return &bucket{limit: limit, plan: p, level: min(p.start, p.capacity), at: l.fillFrom, demands: map[string]*demand{}}
}

// observeRules adopts the strictest rules that nodes have named.
func (l *Leader) observeRules(now time.Duration, rules controlrpc.QuotaRules) {
	strictest := rules
	if l.rules.Window > 0 {
		strictest = controlrpc.QuotaRules{
			Window:    min(l.rules.Window, rules.Window),
			Overshoot: min(l.rules.Overshoot, rules.Overshoot),
			Slack:     min(l.rules.Slack, rules.Slack),
		}
	}
	if strictest == l.rules {
		return
	}
	l.rules = strictest
	for _, b := range l.buckets {
		b.fill(now)
		b.plan = newPlan(b.limit, l.rules)
		b.level = min(b.level, b.plan.capacity)
	}
}

// Grant answers a node's request for tokens.
func (l *Leader) Grant(now time.Duration, args *controlrpc.AcquireQuotaArgs) []controlrpc.QuotaGrant {
	if args.Rules.Window <= 0 {
		return make([]controlrpc.QuotaGrant, len(args.Wants))
	}
	l.observeRules(now, args.Rules)
	grants := make([]controlrpc.QuotaGrant, len(args.Wants))
	for i := range args.Wants {
		grants[i] = l.grant(now, args, &args.Wants[i])
	}
	return grants
}

func (l *Leader) grant(now time.Duration, args *controlrpc.AcquireQuotaArgs, want *controlrpc.QuotaWant) controlrpc.QuotaGrant {
	limit := l.limits[want.Account]
	if limit.Rate <= 0 {
		return l.grantUnlimited(now, args, want)
	}
	b := l.buckets[want.Account]
	if b == nil {
		b = l.newBucket(limit)
		l.buckets[want.Account] = b
	}
	b.fill(now)
	if args.Epoch == l.epoch {
		b.takeBack(now, want.Returned)
	}
	d, share := b.observe(now, args.Node, want.Demand)
	grant := controlrpc.QuotaGrant{Validity: b.plan.validity, Share: b.plan.rate * share}
	tokens := b.tokensFor(want, d)
	grant.Lots = b.take(now, tokens)
	b.granted += uint64(tokens)
	if tokens < want.Waiting {
		b.withheld += uint64(want.Waiting - tokens)
		grant.RetryAfter = b.retryAfter(now, d, grant.Share)
		grant.Unsettled = l.isUnsettled(now, b)
	}
	return grant
}

// grantUnlimited answers a request for tokens of an account that has no quota. If the node
// has a newer routing table than the leader, the account may have one.
func (l *Leader) grantUnlimited(now time.Duration, args *controlrpc.AcquireQuotaArgs, want *controlrpc.QuotaWant) controlrpc.QuotaGrant {
	if args.TableVersion > l.version {
		return controlrpc.QuotaGrant{Unknown: true}
	}
	tokens := min(max(want.Waiting, want.Tokens), maxTokens)
	if tokens <= 0 {
		return controlrpc.QuotaGrant{Validity: unlimitedValidity}
	}
	// Returned after the account has got a quota, these tokens must count as expired.
	at := now - maxValidity
	return controlrpc.QuotaGrant{
		Validity: unlimitedValidity,
		Lots:     []controlrpc.QuotaLot{{Tokens: tokens, Validity: unlimitedValidity, At: at}},
	}
}

// isUnsettled reports whether a bucket could not yet fill since the leader took office, and at
// most for a window.
func (l *Leader) isUnsettled(now time.Duration, b *bucket) bool {
	seconds := min(b.plan.capacity/b.plan.rate, l.rules.Window.Seconds())
	return now < l.fillFrom+time.Duration(seconds*float64(time.Second))
}

// fill adds the tokens of the time since the last call.
func (b *bucket) fill(now time.Duration) {
	if now <= b.at {
		return
	}
	b.level = min(b.plan.capacity, b.level+b.plan.rate*(now-b.at).Seconds())
	b.at = now
}

// takeBack keeps returned tokens for other nodes. They keep the time of their original grant:
// as tokens of the bucket they would be valid again for the whole validity, and more could be
// used in a window than the rules allow.
func (b *bucket) takeBack(now time.Duration, returned []controlrpc.QuotaReturn) {
	b.dropExpired(now)
	for _, r := range returned {
		if r.Tokens <= 0 || r.Tokens > maxTokens || r.At > now || len(b.returned) >= maxReturnedLots {
			continue
		}
		if b.remaining(now, r.At) >= minReturnValidity {
			b.returned = append(b.returned, lot{at: r.At, tokens: r.Tokens})
		}
	}
}

// remaining returns how long tokens granted at a time are still valid.
func (b *bucket) remaining(now, at time.Duration) time.Duration { return b.plan.validity - (now - at) }

func (b *bucket) dropExpired(now time.Duration) {
	kept := b.returned[:0]
	for _, r := range b.returned {
		if b.remaining(now, r.at) >= minReturnValidity {
			kept = append(kept, r)
		}
	}
	b.returned = kept
}

// observe records a node's demand and returns it, with its share of that of all nodes.
func (b *bucket) observe(now time.Duration, node string, perSecond float64) (*demand, float64) {
	if !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		perSecond = 0
	}
	// A node that asks has some demand, though its average may still be 0.
	perSecond = max(perSecond, leastDemand)
	if now >= b.sweepAt {
		b.sweep(now)
	}
	d := b.demands[node]
	if d == nil {
		d = &demand{at: now, credit: 1}
		b.demands[node] = d
	}
	b.total += perSecond - d.perSecond
	d.perSecond = perSecond
	share := min(1, perSecond/max(b.total, perSecond))
	d.credit += share * b.plan.rate * (now - d.at).Seconds()
	d.credit = min(d.credit, max(1, share*b.plan.capacity))
	d.at = now
	return d, share
}

// sweep forgets the demand of nodes that have not asked lately.
func (b *bucket) sweep(now time.Duration) {
	b.sweepAt = now + demandExpiry/3
	b.total = 0
	for name, d := range b.demands {
		if now-d.at > demandExpiry {
			delete(b.demands, name)
			continue
		}
		b.total += d.perSecond
	}
}

// leastDemand is the least demand of a node that asks, in requests per second.
const leastDemand = 0.1

// keptForShares is the part of a bucket that is kept for requests that wait, and divided by
// demand. What it holds beyond that goes to whoever asks: the demand that nodes report exceeds
// the rate at times although the account keeps within its quota.
const keptForShares = 0.25

// tokensFor returns how many tokens a node gets. If the bucket is low and the nodes' demand
// exceeds the rate, each gets its share of the rate. Tokens for expected requests are granted
// only from what the bucket holds beyond keptForShares.
func (b *bucket) tokensFor(want *controlrpc.QuotaWant, d *demand) int {
	left := b.level
	for _, r := range b.returned {
		left += float64(r.tokens)
	}
	waiting := min(max(0, want.Waiting), maxTokens)
	wanted := min(max(waiting, want.Tokens), maxTokens)
	if waiting < wanted {
		wanted = max(waiting, min(wanted, int(left-max(1, keptForShares*b.plan.capacity))))
	}
	if b.total > b.plan.rate {
		left = min(left, d.credit+max(0, left-keptForShares*b.plan.capacity))
	}
	tokens := min(wanted, int(left))
	d.credit = max(0, d.credit-float64(tokens))
	return tokens
}

// take removes tokens, first those that were returned.
func (b *bucket) take(now time.Duration, tokens int) []controlrpc.QuotaLot {
	if tokens <= 0 {
		return nil
	}
	var lots []controlrpc.QuotaLot
	for len(b.returned) > 0 && tokens > 0 {
		r := &b.returned[0]
		n := min(tokens, r.tokens)
		lots = append(lots, controlrpc.QuotaLot{Tokens: n, Validity: b.remaining(now, r.at), At: r.at})
		tokens -= n
		r.tokens -= n
		if r.tokens == 0 {
			b.returned = b.returned[1:]
		}
	}
	if tokens > 0 {
		b.level -= float64(tokens)
		lots = append(lots, controlrpc.QuotaLot{Tokens: tokens, Validity: b.plan.validity, At: now})
	}
	return lots
}

// retryAfter returns when there is a token for a node that gets a share of the rate.
func (b *bucket) retryAfter(now time.Duration, d *demand, share float64) time.Duration {
	seconds := max(0, 1-b.level) / b.plan.rate
	if b.total > b.plan.rate {
		seconds = max(seconds, (1-d.credit)/share)
	}
	wait := time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	if b.level < 1 && b.at > now {
		wait += b.at - now // buckets don't fill at the start of a time in office
	}
	return max(minRetryAfter, wait)
}

// Use describes an account for operators.
type Use struct {
	Account string
	Limit   Limit
	// Level is the number of tokens that the bucket holds.
	Level    float64
	Validity time.Duration
	// Granted and Withheld count tokens since the leader took office: those granted, and
	// those that waiting requests asked for in vain.
	Granted  uint64
	Withheld uint64
	// Nodes is the number of nodes that asked lately, Demand the sum of their demands.
	Nodes  int
	Demand float64
}

// Uses describes the accounts that nodes have asked for, sorted by name.
func (l *Leader) Uses(now time.Duration) []Use {
	uses := make([]Use, 0, len(l.buckets))
	for name, b := range l.buckets {
		b.fill(now)
		use := Use{Account: name, Limit: b.limit, Level: b.level, Validity: b.plan.validity, Granted: b.granted, Withheld: b.withheld}
		for _, d := range b.demands {
			if now-d.at <= demandExpiry {
				use.Nodes++
				use.Demand += d.perSecond
			}
		}
		uses = append(uses, use)
	}
	slices.SortFunc(uses, func(a, b Use) int { return strings.Compare(a.Account, b.Account) })
	return uses
}
