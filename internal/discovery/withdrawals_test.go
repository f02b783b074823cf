package discovery

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

// TestWithdrawnTargetIsNotTakenBack gives the withdrawn records of one process to another
// that has lost its own, and then a delayed announcement.
//
// fault: kill x announce
func TestWithdrawnTargetIsNotTakenBack(t *testing.T) {
	const address = "10.0.0.1:80"
	for _, state := range []api.TargetState{api.TargetDraining, api.TargetGone} {
		before, after := NewTargets(), NewTargets()
		before.Merge(announcement("a", 5, 10, api.TargetReady, address))
		before.Merge(announcement("a", 5, 11, state, address))
		before.Merge(announcement("b", 5, 10, api.TargetReady, "10.0.0.2:80"))
		withdrawn := before.Withdrawn(10)
		assert.Equal(t, len(withdrawn), 1)
		after.Merge(announcement("a", 5, 9, api.TargetReady, address))
		after.Merge(withdrawn[0])
		after.Merge(announcement("a", 5, 10, api.TargetReady, address))
		got, _ := after.Find("a")
		assert.Equal(t, got.State, state)
	}
}

// TestFinalSequenceOutlastsRenewals checks an announcement that a target's reply has
// caused: only the end of the target or a new incarnation supersedes it.
func TestFinalSequenceOutlastsRenewals(t *testing.T) {
	const address = "10.0.0.1:80"
	targets := NewTargets()
	targets.Merge(announcement("a", 5, api.FinalSequence, api.TargetDraining, address))
	assert.Equal(t, len(targets.Merge(announcement("a", 5, 99, api.TargetReady, address))), 0)
	offer := Offer{Target: "a", Incarnation: 5, Sequence: 100}
	assert.Assert(t, targets.MergeOffer(offer), "there is nothing newer to fetch")
	assert.Equal(t, len(targets.Merge(announcement("a", 6, 1, api.TargetReady, address))), 1)
	targets.Merge(announcement("a", 6, api.FinalSequence, api.TargetDraining, address))
	assert.Equal(t, len(targets.Merge(announcement("a", 6, 3, api.TargetGone, address))), 1)
}

func TestWithdrawnIsLimitedToTheLastChanges(t *testing.T) {
	targets := NewTargets()
	for i := range 5 {
		targets.Merge(announcement(fmt.Sprint(i), 1, 1, api.TargetDraining, fmt.Sprint("10.0.0.1:", i)))
	}
	last := targets.Withdrawn(2)
	assert.Equal(t, len(last), 2)
	assert.Equal(t, last[1].Target, api.TargetID("4"))
}
