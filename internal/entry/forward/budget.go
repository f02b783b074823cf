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
	// began is the time of the first use. Buckets count from it, and not by the
	// time of day, which may be set meanwhile.
	began time.Time
	first [budgetBuckets]float64
	extra [budgetBuckets]float64
	at    int64
}

func (b *budget) turn(rule BudgetRule, now time.Time) {
	if b.began.IsZero() {
		b.began = now
	}
	bucket := int64(now.Sub(b.began) / (rule.Window / budgetBuckets))
	steps := min(bucket-b.at, budgetBuckets)
	for i := range steps {
		slot := (bucket - i) % budgetBuckets
		b.first[slot], b.extra[slot] = 0, 0
	}
	b.at = max(b.at, bucket)
}

// earn notes the first request of a part.
func (b *budget) earn(rule BudgetRule, now time.Time) {
	b.turn(rule, now)
	b.first[b.at%budgetBuckets]++
}

// left returns how many further requests may be sent now. The window looks
// back one bucket less than the rule's for what was earned, so that it earns no
// more than any window of the rule.
func (b *budget) left(rule BudgetRule, now time.Time, nodes int) float64 {
	b.turn(rule, now)
	earned, spent := 0.0, 0.0
	for i := range budgetBuckets {
		earned += b.first[i]
		spent += b.extra[i]
	}
	return b.whole(rule, earned, nodes) - spent
}

func (b *budget) whole(rule BudgetRule, earned float64, nodes int) float64 {
	return ratioMargin*rule.Ratio*earned + slackMargin*rule.Slack/float64(max(1, nodes))
}

// spend takes a further request from the budget and reports whether it was
// there.
func (b *budget) spend(rule BudgetRule, now time.Time, nodes int) bool {
	if b.left(rule, now, nodes) < 1 {
		return false
	}
	b.extra[b.at%budgetBuckets]++
	return true
}

// spendOnHedge is spend for a hedge.
func (b *budget) spendOnHedge(rule BudgetRule, now time.Time, nodes int) bool {
	earned := 0.0
	b.turn(rule, now)
	for i := range budgetBuckets {
		earned += b.first[i]
	}
	if b.left(rule, now, nodes) < 1+hedgeReserve*b.whole(rule, earned, nodes) {
		return false
	}
	return b.spend(rule, now, nodes)
}
