package forward

import "time"

// BudgetRule limits the retries and hedges sent to a pool by all entry nodes
// together, within any window.
type BudgetRule struct {
	// Ratio is the number of extra requests allowed per first request.
	Ratio float64
	// Slack is the number of extra requests allowed in addition, for all nodes together.
	Slack float64
	// Window is the length of the windows in which requests are counted.
	Window time.Duration
}

const (
	// budgetBuckets is the number of buckets that a window is counted in.
	budgetBuckets = 10
	// ratioFraction and slackFraction are the fractions of the rule's ratio and slack
	// that the nodes use together. The rest covers inaccuracies: nodes count requests
	// when they send them, each by its own clock, whereas targets count them on arrival,
	// and a node that restarts loses the count of what it has spent.
	ratioFraction = 0.85
	slackFraction = 0.6
	// unspendable is the part of a request that a node's share holds on average beyond
	// whole requests. With hundreds of nodes that adds up to much of the budget.
	unspendable = 0.5
	// maxSlackFraction is the fraction of the slack that the nodes may use together
	// with what none of them can spend alone.
	maxSlackFraction = 0.9
	// hedgeReserve is the fraction of the budget that hedges leave for retries.
	// Without a retry a failed part is lost. So is a late part of a gather without a hedge,
	// and with many nodes the share of each is a few requests, so the fraction is small.
	hedgeReserve = 0.05
	// earlyHedgeReserve is the fraction that hedges leave if they are sent before they
	// have to be, so that the budget lasts for those that are necessary.
	earlyHedgeReserve = 0.4
)

// budget is one node's share of a pool's budget, counted in a sliding window: the
// rule's ratio of the node's own first requests, and an equal share of the slack.
type budget struct {
	// epoch is the time of the first use, from which buckets are numbered. Elapsed
	// time is monotonic, so setting the wall clock does not move the window.
	epoch time.Time
	// initial and extra count first requests, and hedges and retries, by bucket.
	// current is the number of the newest bucket.
	initial [budgetBuckets]float64
	extra   [budgetBuckets]float64
	current int64
}

// advance moves the window to now and clears the buckets that have expired.
func (b *budget) advance(rule BudgetRule, now time.Time) {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	bucket := int64(now.Sub(b.epoch) / (rule.Window / budgetBuckets))
	steps := min(bucket-b.current, budgetBuckets)
	for i := range steps {
		slot := (bucket - i) % budgetBuckets
		b.initial[slot], b.extra[slot] = 0, 0
	}
	b.current = max(b.current, bucket)
}

// recordInitial counts the first send of a part, which adds to the budget.
func (b *budget) recordInitial(rule BudgetRule, now time.Time) {
	b.advance(rule, now)
	b.initial[b.current%budgetBuckets]++
}

// remaining returns how many extra requests may be sent now. The current bucket is
// incomplete, so the buckets span less than the rule's window and never earn more
// than a full window would.
func (b *budget) remaining(rule BudgetRule, now time.Time, nodes int) float64 {
	b.advance(rule, now)
	initialSends, spent := 0.0, 0.0
	for i := range budgetBuckets {
		initialSends += b.initial[i]
		spent += b.extra[i]
	}
	return b.total(rule, initialSends, nodes) - spent
}

// total returns the budget for a window with the given number of first requests.
func (b *budget) total(rule BudgetRule, initialSends float64, nodes int) float64 {
	share := rule.Slack / float64(max(1, nodes))
	slack := min(slackFraction*share+unspendable, maxSlackFraction*share)
	return ratioFraction*rule.Ratio*initialSends + slack
}

// spend takes one extra request from the budget and reports whether the budget
// allowed it.
func (b *budget) spend(rule BudgetRule, now time.Time, nodes int) bool {
	if b.remaining(rule, now, nodes) < 1 {
		return false
	}
	b.extra[b.current%budgetBuckets]++
	return true
}

// spendOnHedge is like spend but leaves hedgeReserve of the budget untouched.
func (b *budget) spendOnHedge(rule BudgetRule, now time.Time, nodes int) bool {
	return b.leaves(hedgeReserve, rule, now, nodes) && b.spend(rule, now, nodes)
}

// allowsEarlyHedge reports whether a hedge may be sent before it is necessary.
func (b *budget) allowsEarlyHedge(rule BudgetRule, now time.Time, nodes int) bool {
	return b.leaves(earlyHedgeReserve, rule, now, nodes)
}

// leaves reports whether a fraction of the budget is left after one more extra request.
func (b *budget) leaves(fraction float64, rule BudgetRule, now time.Time, nodes int) bool {
	initialSends := 0.0
	b.advance(rule, now)
	for i := range budgetBuckets {
		initialSends += b.initial[i]
	}
	return b.remaining(rule, now, nodes) >= 1+fraction*b.total(rule, initialSends, nodes)
}
