package discovery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

func news(id string, incarnation, sequence uint64, state api.TargetState, address string) api.Announcement {
	return api.Announcement{
		Target: api.TargetID(id), Incarnation: incarnation, Sequence: sequence, State: state,
		Service: "s", Address: address, DataCentre: "d", Slots: 3,
	}
}

func TestMergeTakesOnlyNewerNews(t *testing.T) {
	const here, there = "10.0.0.1:80", "10.0.0.2:80"
	known := news("a", 5, 10, api.TargetReady, here)
	cases := []struct {
		name    string
		news    api.Announcement
		changes bool
		state   api.TargetState
	}{
		{"late call", news("a", 5, 9, api.TargetDraining, here), false, api.TargetReady},
		{"renewal", news("a", 5, 11, api.TargetReady, here), false, api.TargetReady},
		{"draining", news("a", 5, 11, api.TargetDraining, here), true, api.TargetDraining},
		{"gone whatever its sequence", news("a", 5, 0, api.TargetGone, here), true, api.TargetGone},
		{"earlier incarnation", news("a", 4, 99, api.TargetDraining, here), false, api.TargetReady},
		{"started again, counts anew", news("a", 6, 1, api.TargetWarming, there), true, api.TargetWarming},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			targets := NewTargets()
			targets.Merge(known)
			before := targets.Revision()
			changed := targets.Merge(tc.news)
			assert.Equal(t, len(changed) > 0, tc.changes)
			assert.Equal(t, targets.Revision() > before, tc.changes)
			got, _ := targets.Find("a")
			assert.Equal(t, got.State, tc.state)
		})
	}
}

func TestGoneIsFinalForAnIncarnation(t *testing.T) {
	targets := NewTargets()
	targets.Merge(news("a", 5, 10, api.TargetReady, "10.0.0.1:80"))
	targets.Merge(targets.Leaving("a", 0))
	assert.Equal(t, len(targets.Merge(news("a", 5, 11, api.TargetReady, "10.0.0.1:80"))), 0)
	assert.Equal(t, len(targets.Merge(news("a", 6, 1, api.TargetReady, "10.0.0.1:80"))), 1)
}

func TestAddressGoesToTheLaterStart(t *testing.T) {
	const address = "10.0.0.1:80"
	targets := NewTargets()
	targets.Merge(news("old", 5, 10, api.TargetReady, address))
	changed := targets.Merge(news("new", 8, 1, api.TargetReady, address))
	assert.Equal(t, len(changed), 2)
	old, _ := targets.Find("old")
	assert.Equal(t, old.State, api.TargetGone)
	assert.Equal(t, len(targets.Merge(news("old", 5, 11, api.TargetReady, address))), 0, "a late check-in of the old start")
	assert.Equal(t, len(targets.Merge(news("older", 4, 11, api.TargetReady, address))), 0, "a late one that was never heard of")
	assert.Equal(t, len(targets.Live()), 1)
}

func TestSinceReturnsEachChangedTargetOnce(t *testing.T) {
	targets := NewTargets()
	targets.Merge(news("a", 1, 1, api.TargetReady, "10.0.0.1:80"))
	targets.Merge(news("b", 1, 1, api.TargetReady, "10.0.0.2:80"))
	at := targets.Revision()
	targets.Merge(news("a", 1, 2, api.TargetDraining, "10.0.0.1:80"))
	assert.Equal(t, len(targets.Since(0)), 2)
	since := targets.Since(at)
	assert.Equal(t, len(since), 1)
	assert.Equal(t, since[0].State, api.TargetDraining)
	assert.Equal(t, len(targets.Since(targets.Revision())), 0)
}

func TestLeavingTargetWaitsForLiveWatchersOnly(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	w := NewWatchers(time.Second)
	w.Polled(start, "near", WatcherEntry, "d", 7)
	w.Polled(start, "far", WatcherEntry, "e", 6)
	assert.DeepEqual(t, w.Behind(start, 7), []string{"far"})
	w.Polled(start.Add(time.Second/2), "near", WatcherEntry, "d", 7)
	later := start.Add(1100 * time.Millisecond)
	assert.Equal(t, len(w.Behind(later, 7)), 0, "a dead watcher holds up nothing")
	assert.DeepEqual(t, w.EntryNodes(later), map[string]int{"d": 1})
	assert.DeepEqual(t, w.Expire(later), []string{"far"})
}
