package forward

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// deploymentLoad is the load of one pool, spread over the nodes of a deployment.
type deploymentLoad struct {
	name      string
	nodes     int
	perSecond float64
	slack     float64
	// lost is the fraction of first attempts whose reply is lost.
	lost float64
}

// play sends the load for a minute and returns the fraction of the lost parts that were
// retried, and the largest number of retries beyond the rule in any of its windows.
func (l deploymentLoad) play(random *rand.Rand) (retried, excess float64) {
	rule := BudgetRule{Ratio: 0.2, Slack: l.slack, Window: 10 * time.Second}
	budgets := make([]budget, l.nodes)
	start := time.Unix(1_000_000, 0)
	var initial, extra []time.Time
	lost := 0
	for at := time.Duration(0); at < time.Minute; {
		at += time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second))
		now := start.Add(at)
		b := &budgets[random.IntN(l.nodes)]
		b.recordInitial(rule, now)
		initial = append(initial, now)
		if random.Float64() >= l.lost {
			continue
		}
		lost++
		if b.spend(rule, now, l.nodes) {
			extra = append(extra, now)
		}
	}
	for _, from := range extra {
		allowed := rule.Ratio*float64(countSorted(initial, from, rule.Window)) + rule.Slack
		excess = max(excess, float64(countSorted(extra, from, rule.Window))-allowed)
	}
	return float64(len(extra)) / float64(lost), excess
}

// countSorted returns the number of times in the window that begins at start, in a sorted
// list.
func countSorted(times []time.Time, start time.Time, window time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, start, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, start.Add(window), time.Time.Compare)
	return end - first
}

// TestBudgetIsOfUseInLargeDeployments plays lost replies in deployments of several sizes.
// Whatever the size, the nodes together must keep the rule. Dividing the budget among
// nodes may cost at most a fifth of the retries that one node would make: a part that
// isn't retried is missing from its gather.
//
// fault: failing-target x forward
func TestBudgetIsOfUseInLargeDeployments(t *testing.T) {
	const maxCostOfSize = 0.2
	for _, load := range []deploymentLoad{
		{"6 nodes", 6, 180, 52, 0.2},
		{"72 nodes", 72, 129, 184, 0.2},
		{"294 nodes", 294, 96, 628, 0.2},
		{"294 nodes, all replies lost", 294, 96, 628, 1},
		{"294 nodes, a burst, all replies lost", 294, 173, 628, 1},
		{"1,000 nodes", 1000, 300, 2000, 0.2},
	} {
		t.Run(load.name, func(t *testing.T) {
			alone := load
			alone.nodes = 1
			for seed := range uint64(3) {
				wanted, _ := alone.play(rand.New(rand.NewPCG(seed, 0)))
				retried, excess := load.play(rand.New(rand.NewPCG(seed, 0)))
				assert.Check(t, excess <= 0, fmt.Sprint("requests beyond the rule: ", excess))
				assert.Check(t, retried >= wanted-maxCostOfSize, fmt.Sprintf("%.3f of the lost parts were retried, %.3f by one node", retried, wanted))
			}
		})
	}
}
