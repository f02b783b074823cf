package discovery

import (
	"math"
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
	merge(targets, targets.Departures("a", 5)...)
	assert.Equal(t, len(targets.Merge(announcement("a", 5, 11, api.TargetReady, "10.0.0.1:80"))), 0)
	assert.Equal(t, len(targets.Merge(announcement("a", 6, 1, api.TargetReady, "10.0.0.1:80"))), 1)
}

func merge(targets *Targets, announcements ...api.Announcement) (changed []api.Announcement) {
	for _, a := range announcements {
		changed = append(changed, targets.Merge(a)...)
	}
	return changed
}

// TestDepartureOfAnUnknownIncarnation checks that a departure which comes before any
// announcement of its incarnation holds for the announcements that come late, and for no
// other incarnation.
func TestDepartureOfAnUnknownIncarnation(t *testing.T) {
	const here = "10.0.0.1:80"
	targets := NewTargets()
	assert.Equal(t, len(merge(targets, targets.Departures("a", 5)...)), 1)
	assert.Equal(t, len(targets.Merge(announcement("a", 5, 9, api.TargetReady, here))), 0)
	assert.Equal(t, len(targets.Merge(announcement("a", 4, 9, api.TargetReady, here))), 1)
	assert.Equal(t, len(targets.Merge(announcement("a", 6, 1, api.TargetReady, here))), 1)
	// A process that knows the incarnation is told of the departure by one that does not.
	other := NewTargets()
	other.Merge(announcement("a", 5, 9, api.TargetReady, here))
	merge(other, targets.Since(0, math.MaxInt)[0])
	got, _ := other.Find("a")
	assert.Equal(t, got.State, api.TargetGone)
	assert.Equal(t, len(targets.Departures("unknown", 0)), 0)
}

// TestAnnouncementsConcernNoOtherRecord guards against another writer that takes searchers
// out of use by announcing something with their addresses or in their names.
func TestAnnouncementsConcernNoOtherRecord(t *testing.T) {
	const here, there = "10.0.0.1:80", "10.0.0.2:80"
	for name, other := range map[string]api.Announcement{
		"address of the target":      announcement("other", 9, 1, api.TargetReady, here),
		"departed at the address":    announcement("other", 9, 1, api.TargetGone, here),
		"ID of the target":           announcement("a", 9, 1, api.TargetReady, there),
		"both":                       announcement("a", 9, 1, api.TargetReady, here),
		"ID, draining":               announcement("a", 9, 1, api.TargetDraining, here),
		"greatest incarnation":       announcement("a", 1<<63, 1, api.TargetReady, there),
		"its incarnation, great seq": announcement("a", 5, 1<<63, api.TargetGone, here),
	} {
		t.Run(name, func(t *testing.T) {
			other.Service = "another"
			for _, otherFirst := range []bool{true, false} {
				targets := NewTargets()
				own := announcement("a", 5, 10, api.TargetReady, here)
				if otherFirst {
					merge(targets, other, own)
				} else {
					merge(targets, own, other)
				}
				assert.Equal(t, targets.record("a", "s").announcement.State, api.TargetReady)
				draining := announcement("a", 5, 11, api.TargetDraining, here)
				assert.DeepEqual(t, targets.Merge(draining), []api.Announcement{draining})
			}
		})
	}
}

func TestSinceReturnsEachChangedTargetOnce(t *testing.T) {
	targets := NewTargets()
	targets.Merge(announcement("a", 1, 1, api.TargetReady, "10.0.0.1:80"))
	targets.Merge(announcement("b", 1, 1, api.TargetReady, "10.0.0.2:80"))
	at := targets.Revision()
	targets.Merge(announcement("a", 1, 2, api.TargetDraining, "10.0.0.1:80"))
	assert.Equal(t, len(targets.Since(0, math.MaxInt)), 2)
	since := targets.Since(at, math.MaxInt)
	assert.Equal(t, len(since), 1)
	assert.Equal(t, since[0].State, api.TargetDraining)
	assert.Equal(t, len(targets.Since(targets.Revision(), math.MaxInt)), 0)
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
