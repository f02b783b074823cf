package discovery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

// announcement returns an announcement with the given fields and fixed others.
func announcement(id string, incarnation, sequence uint64, state api.TargetState, address string) api.Announcement {
	return api.Announcement{
		Target: api.TargetID(id), Incarnation: incarnation, Sequence: sequence, State: state,
		Service: "s", Address: address, DataCentre: "d", Slots: 3,
	}
}

func TestMergeIgnoresOlderAnnouncements(t *testing.T) {
	const here, there = "10.0.0.1:80", "10.0.0.2:80"
	known := announcement("a", 5, 10, api.TargetReady, here)
	cases := []struct {
		name         string
		announcement api.Announcement
		changes      bool
		state        api.TargetState
	}{
		{"delayed announcement", announcement("a", 5, 9, api.TargetDraining, here), false, api.TargetReady},
		{"renewal", announcement("a", 5, 11, api.TargetReady, here), false, api.TargetReady},
		{"draining", announcement("a", 5, 11, api.TargetDraining, here), true, api.TargetDraining},
		{"gone with a lower sequence", announcement("a", 5, 0, api.TargetGone, here), true, api.TargetGone},
		{"earlier incarnation", announcement("a", 4, 99, api.TargetDraining, here), false, api.TargetReady},
		{"later incarnation with a lower sequence", announcement("a", 6, 1, api.TargetWarming, there), true, api.TargetWarming},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			targets := NewTargets()
			targets.Merge(known)
			before := targets.Revision()
			changed := targets.Merge(tc.announcement)
			assert.Equal(t, len(changed) > 0, tc.changes)
			assert.Equal(t, targets.Revision() > before, tc.changes)
			got, _ := targets.Find("a")
			assert.Equal(t, got.State, tc.state)
		})
	}
}

func TestGoneIsFinalForAnIncarnation(t *testing.T) {
	targets := NewTargets()
	targets.Merge(announcement("a", 5, 10, api.TargetReady, "10.0.0.1:80"))
	targets.Merge(targets.GoneAnnouncement("a", 0))
	assert.Equal(t, len(targets.Merge(announcement("a", 5, 11, api.TargetReady, "10.0.0.1:80"))), 0)
	assert.Equal(t, len(targets.Merge(announcement("a", 6, 1, api.TargetReady, "10.0.0.1:80"))), 1)
}

func TestAddressBelongsToTheLaterIncarnation(t *testing.T) {
	const address = "10.0.0.1:80"
	targets := NewTargets()
	targets.Merge(announcement("old", 5, 10, api.TargetReady, address))
	changed := targets.Merge(announcement("new", 8, 1, api.TargetReady, address))
	assert.Equal(t, len(changed), 2)
	old, _ := targets.Find("old")
	assert.Equal(t, old.State, api.TargetGone)
	assert.Equal(t, len(targets.Merge(announcement("old", 5, 11, api.TargetReady, address))), 0, "delayed renewal of the earlier incarnation")
	assert.Equal(t, len(targets.Merge(announcement("older", 4, 11, api.TargetReady, address))), 0, "delayed announcement of an unknown target with an earlier incarnation")
	assert.Equal(t, len(targets.AcceptingWork()), 1)
}

func TestSinceReturnsEachChangedTargetOnce(t *testing.T) {
	targets := NewTargets()
	targets.Merge(announcement("a", 1, 1, api.TargetReady, "10.0.0.1:80"))
	targets.Merge(announcement("b", 1, 1, api.TargetReady, "10.0.0.2:80"))
	at := targets.Revision()
	targets.Merge(announcement("a", 1, 2, api.TargetDraining, "10.0.0.1:80"))
	assert.Equal(t, len(targets.Since(0)), 2)
	since := targets.Since(at)
	assert.Equal(t, len(since), 1)
	assert.Equal(t, since[0].State, api.TargetDraining)
	assert.Equal(t, len(targets.Since(targets.Revision())), 0)
}

// TestEntryRanksAreDense checks that live entry nodes of a data centre have the ranks from 0
// on, without regard to others.
func TestEntryRanksAreDense(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	w := NewWatchers(time.Second)
	for _, name := range []string{"c", "a", "b"} {
		w.RecordPoll(start, name, WatcherEntry, "d", 0)
	}
	w.RecordPoll(start, "aa", WatcherEntry, "e", 0)
	w.RecordPoll(start, "ab", WatcherControl, "d", 0)
	for rank, name := range []string{"a", "b", "c"} {
		assert.Equal(t, w.EntryRank(start, "d", name), rank)
	}
	assert.Equal(t, w.EntryRank(start, "e", "aa"), 0)
	later := start.Add(1100 * time.Millisecond)
	w.RecordPoll(later, "c", WatcherEntry, "d", 0)
	assert.Equal(t, w.EntryRank(later, "d", "c"), 0, "expired nodes must not count")
}

func TestBehindIgnoresExpiredWatchers(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	w := NewWatchers(time.Second)
	w.RecordPoll(start, "near", WatcherEntry, "d", 7)
	w.RecordPoll(start, "far", WatcherEntry, "e", 6)
	assert.DeepEqual(t, w.Behind(start, 7), []string{"far"})
	w.RecordPoll(start.Add(time.Second/2), "near", WatcherEntry, "d", 7)
	later := start.Add(1100 * time.Millisecond)
	assert.Equal(t, len(w.Behind(later, 7)), 0, "an expired watcher must not count")
	assert.DeepEqual(t, w.EntryNodes(later), map[string]int{"d": 1})
	assert.DeepEqual(t, w.Expire(later), []string{"far"})
}
