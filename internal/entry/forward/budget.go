package forward

import "time"

// BudgetRule bounds the requests that a pool gets beyond the first of each of
// its callers' requests, over all entry nodes and any window.
type BudgetRule struct {
	// Ratio is the part of the pool's requests that may be sent again.
	Ratio float64
	// Slack is what may be sent again besides.
	Slack float64
	// Window is the length of the windows in which both are counted.
	Window time.Duration
}

const (
	// budgetBuckets divides the window.
	budgetBuckets = 10
	// ratioMargin and slackMargin are the parts of the rule that the nodes use up
	// together. They count requests when they are sent and by their own clocks,
	// targets when they arrive, and a node that restarts forgets what it has
	// spent.
	ratioMargin = 0.85
	slackMargin = 0.6
	// hedgeReserve is the part of the budget that hedges leave for retries: a
	// part that failed is lost without one, a late one only late.
	hedgeReserve = 0.3
)

// budget is one node's share of a pool's budget: the ratio of its own requests,
// and an equal part of the slack. It counts in a sliding window.
type budget struct {
	// epoch is the time of the first use. Buckets count from it, and not by the
	// time of day, which may be set meanwhile.
	epoch   time.Time
	initial [budgetBuckets]float64
	extra   [budgetBuckets]float64
	current int64
}

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

// recordInitial notes the first request of a part.
func (b *budget) recordInitial(rule BudgetRule, now time.Time) {
	b.advance(rule, now)
	b.initial[b.current%budgetBuckets]++
}

// remaining returns how many further requests may be sent now. The window looks
// back one bucket less than the rule's for what was earned, so that it earns no
// more than any window of the rule.
func (b *budget) remaining(rule BudgetRule, now time.Time, nodes int) float64 {
	b.advance(rule, now)
	earned, spent := 0.0, 0.0
	for i := range budgetBuckets {
		earned += b.initial[i]
		spent += b.extra[i]
	}
	return b.total(rule, earned, nodes) - spent
}

func (b *budget) total(rule BudgetRule, earned float64, nodes int) float64 {
	return ratioMargin*rule.Ratio*earned + slackMargin*rule.Slack/float64(max(1, nodes))
}

// spend takes a further request from the budget and reports whether it was
// there.
func (b *budget) spend(rule BudgetRule, now time.Time, nodes int) bool {
	if b.remaining(rule, now, nodes) < 1 {
		return false
	}
	b.extra[b.current%budgetBuckets]++
	return true
}

// spendOnHedge is spend for a hedge.
func (b *budget) spendOnHedge(rule BudgetRule, now time.Time, nodes int) bool {
	earned := 0.0
	b.advance(rule, now)
	for i := range budgetBuckets {
		earned += b.initial[i]
	}
	if b.remaining(rule, now, nodes) < 1+hedgeReserve*b.total(rule, earned, nodes) {
		return false
	}
	return b.spend(rule, now, nodes)
}
