package discovery

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

const departedAddress = "10.0.0.1:80"

// departed returns the records of a control process that has heard of a target up to a
// sequence number and then got a departure that names no incarnation.
func departed(sequence uint64) *Targets {
	targets := NewTargets()
	targets.Hear(time.Unix(1000, 0), announcement("a", 5, sequence, api.TargetReady, departedAddress))
	merge(targets, targets.Departures("a", 0)...)
	return targets
}

func stateOf(targets *Targets) api.TargetState {
	a, _ := targets.Find("a")
	return a.State
}

// TestLateDepartureIsWithdrawn guards against searchers that are out of use for good after a
// departure of their previous process, or of another writer, has come late.
func TestLateDepartureIsWithdrawn(t *testing.T) {
	targets := departed(10)
	assert.Equal(t, stateOf(targets), api.TargetGone, "a departure holds at once")
	now := time.Unix(1001, 0)
	for sequence := uint64(11); sequence <= 12; sequence++ {
		now = now.Add(1200 * time.Millisecond)
		assert.Equal(t, len(targets.Hear(now, announcement("a", 5, sequence, api.TargetReady, departedAddress))), 0)
	}
	now = now.Add(1200 * time.Millisecond)
	changed := targets.Hear(now, announcement("a", 5, 13, api.TargetReady, departedAddress))
	assert.Equal(t, len(changed), 1)
	assert.Equal(t, stateOf(targets), api.TargetReady)

	t.Run("other processes follow", func(t *testing.T) {
		other := departed(7)
		merge(other, changed...)
		assert.Equal(t, stateOf(other), api.TargetReady)
		merge(other, departed(10).Since(0, math.MaxInt)...)
		assert.Equal(t, stateOf(other), api.TargetReady, "the departure may arrive after its end")
		assert.Equal(t, len(other.Hear(now, announcement("a", 5, 14, api.TargetDraining, departedAddress))), 1)
	})
	t.Run("it may leave after all", func(t *testing.T) {
		assert.Equal(t, len(merge(targets, targets.Departures("a", 5)...)), 1)
		for sequence := uint64(14); sequence < 20; sequence++ {
			now = now.Add(2 * time.Second)
			targets.Hear(now, announcement("a", 5, sequence, api.TargetReady, departedAddress))
		}
		assert.Equal(t, stateOf(targets), api.TargetGone, "a departure that names the incarnation is final")
	})
}

// TestDepartureOutlastsDelayedAnnouncements checks that what a target has sent before its
// departure doesn't bring it back, however late it comes.
func TestDepartureOutlastsDelayedAnnouncements(t *testing.T) {
	now := time.Unix(1001, 0)
	hear := func(targets *Targets, sequence uint64, state api.TargetState) {
		now = now.Add(1200 * time.Millisecond)
		targets.Hear(now, announcement("a", 5, sequence, state, departedAddress))
	}
	t.Run("known ones and the one in flight", func(t *testing.T) {
		targets := departed(10)
		for range 3 {
			for sequence := uint64(8); sequence <= 11; sequence++ {
				hear(targets, sequence, api.TargetReady)
			}
		}
		assert.Equal(t, stateOf(targets), api.TargetGone)
	})
	t.Run("a single one", func(t *testing.T) {
		targets := departed(10)
		for range 3 {
			hear(targets, 19, api.TargetReady)
		}
		assert.Equal(t, stateOf(targets), api.TargetGone)
	})
	t.Run("several at once", func(t *testing.T) {
		targets := departed(10)
		for sequence := uint64(15); sequence < 20; sequence++ {
			targets.Hear(now, announcement("a", 5, sequence, api.TargetReady, departedAddress))
		}
		assert.Equal(t, stateOf(targets), api.TargetGone)
	})
	t.Run("those that another process knows", func(t *testing.T) {
		// The departure came to a process that had not heard of the target for long.
		near, far := departed(3), NewTargets()
		far.Hear(now, announcement("a", 5, 20, api.TargetReady, departedAddress))
		merge(far, near.Since(0, math.MaxInt)...)
		merge(near, far.Since(0, math.MaxInt)...)
		for sequence := uint64(15); sequence <= 21; sequence++ {
			hear(near, sequence, api.TargetReady)
			hear(far, sequence, api.TargetReady)
		}
		assert.Equal(t, stateOf(near), api.TargetGone)
		assert.Equal(t, stateOf(far), api.TargetGone)
		assert.Equal(t, len(merge(far, near.Since(0, math.MaxInt)...)), 0, "processes must not tell each other for ever")
	})
	t.Run("a target that goes on leaving", func(t *testing.T) {
		targets := departed(10)
		for sequence := uint64(12); sequence < 18; sequence++ {
			hear(targets, sequence, api.TargetDraining)
		}
		assert.Equal(t, stateOf(targets), api.TargetGone)
	})
	t.Run("one that has said in a reply that it leaves", func(t *testing.T) {
		targets := NewTargets()
		targets.Merge(announcement("a", 5, api.FinalSequence, api.TargetDraining, departedAddress))
		merge(targets, targets.Departures("a", 0)...)
		for sequence := uint64(12); sequence < 18; sequence++ {
			hear(targets, sequence, api.TargetReady)
		}
		assert.Equal(t, stateOf(targets), api.TargetGone)
	})
}

// TestNewIncarnationNeedsNoContinuation checks that a target which starts again is used at
// once after its departure.
func TestNewIncarnationNeedsNoContinuation(t *testing.T) {
	targets := departed(10)
	assert.Equal(t, len(targets.Hear(time.Unix(1001, 0), announcement("a", 6, 1, api.TargetReady, departedAddress))), 1)
	assert.Equal(t, stateOf(targets), api.TargetReady)
}

// TestOfferOfAWithdrawnDeparture has a watcher that knows of a departure get the offer of the
// record that ends it.
func TestOfferOfAWithdrawnDeparture(t *testing.T) {
	watcher, control := departed(10), departed(10)
	for i := range uint64(3) {
		control.Hear(time.Unix(int64(1002+2*i), 0), announcement("a", 5, 12+i, api.TargetReady, departedAddress))
	}
	_, offers := control.Offers(0, 0, nil)
	assert.Equal(t, len(offers), 1)
	assert.Assert(t, !watcher.MergeOffer(offers[0]))
	records, _ := control.Offers(0, 0, []api.TargetID{"a"})
	assert.Equal(t, len(merge(watcher, records...)), 1)
	assert.Assert(t, watcher.MergeOffer(offers[0]))
	assert.Equal(t, watcher.Checksum(), control.Checksum())
}

// TestDepartureOfAnEarlierBuildIsWithdrawn merges the record that a control process of an
// earlier build makes when another target announces the address: gone, and no more.
func TestDepartureOfAnEarlierBuildIsWithdrawn(t *testing.T) {
	targets := NewTargets()
	targets.Hear(time.Unix(1000, 0), announcement("a", 5, 10, api.TargetReady, departedAddress))
	targets.Merge(announcement("a", 5, 4, api.TargetGone, departedAddress))
	for i := range uint64(3) {
		assert.Equal(t, stateOf(targets), api.TargetGone)
		targets.Hear(time.Unix(int64(1002+2*i), 0), announcement("a", 5, 11+i, api.TargetReady, departedAddress))
	}
	assert.Equal(t, stateOf(targets), api.TargetReady)
}

// TestDepartureIsConfirmedLater has a target name its incarnation in a second departure.
func TestDepartureIsConfirmedLater(t *testing.T) {
	targets := departed(10)
	assert.Equal(t, len(merge(targets, targets.Departures("a", 5)...)), 1)
	assert.Equal(t, len(merge(targets, targets.Departures("a", 0)...)), 0)
	for i := range uint64(5) {
		targets.Hear(time.Unix(int64(1002+2*i), 0), announcement("a", 5, 12+i, api.TargetReady, departedAddress))
	}
	assert.Equal(t, stateOf(targets), api.TargetGone)
}
