package discovery

import (
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

func TestMergeOfferAcceptsOnlyKnownRecords(t *testing.T) {
	const here, there = "10.0.0.1:80", "10.0.0.2:80"
	ready := announcement("a", 5, 10, api.TargetReady, here)
	for _, c := range []struct {
		name     string
		known    []api.Announcement
		other    api.Announcement
		accepted bool
	}{
		{"unknown target", nil, ready, false},
		{"the same record", []api.Announcement{ready}, ready, true},
		{"a later renewal", []api.Announcement{ready}, announcement("a", 5, 14, api.TargetReady, here), true},
		{"an earlier change", []api.Announcement{ready}, announcement("a", 5, 8, api.TargetWarming, here), true},
		{"a later change", []api.Announcement{ready}, announcement("a", 5, 11, api.TargetDraining, here), false},
		{"another address", []api.Announcement{ready}, announcement("a", 5, 11, api.TargetReady, there), false},
		{"a later incarnation", []api.Announcement{ready}, announcement("a", 6, 1, api.TargetReady, here), false},
		{"gone", []api.Announcement{ready}, announcement("a", 5, 0, api.TargetGone, here), false},
		{"gone, known", []api.Announcement{announcement("a", 5, 9, api.TargetGone, here)}, announcement("a", 5, 12, api.TargetGone, here), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			receiver, sender := NewTargets(), NewTargets()
			for _, a := range c.known {
				receiver.Merge(a)
			}
			sender.Merge(c.other)
			_, offers := sender.Offers(0, 0, nil)
			assert.Equal(t, len(offers), 1)
			revision := receiver.Revision()
			assert.Equal(t, receiver.MergeOffer(offers[0]), c.accepted)
			assert.Equal(t, receiver.Revision(), revision, "an offer must not change a record")
			changed := receiver.Merge(c.other)
			if c.accepted {
				assert.Equal(t, len(changed), 0, "a known record must change nothing")
			}
		})
	}
}

// TestMergedOfferSupersedesOlderAnnouncements merges an offered renewal and then a
// delayed announcement with a lower sequence number, which must be ignored.
func TestMergedOfferSupersedesOlderAnnouncements(t *testing.T) {
	const here = "10.0.0.1:80"
	near, far := NewTargets(), NewTargets()
	near.Merge(announcement("a", 5, 10, api.TargetReady, here))
	far.Merge(announcement("a", 5, 14, api.TargetReady, here))
	_, offers := far.Offers(0, 0, nil)
	assert.Assert(t, near.MergeOffer(offers[0]))
	assert.Equal(t, len(near.Merge(announcement("a", 5, 12, api.TargetDraining, here))), 0)
}

func TestOffersReturnsMissingRecordsInFull(t *testing.T) {
	targets := NewTargets()
	targets.Merge(announcement("a", 1, 1, api.TargetReady, "10.0.0.1:80"))
	targets.Merge(announcement("b", 1, 1, api.TargetReady, "10.0.0.2:80"))
	targets.Merge(announcement("c", 1, 1, api.TargetReady, "10.0.0.3:80"))
	targets.Merge(announcement("d", 1, 1, api.TargetReady, "10.0.0.4:80"))
	records, offers := targets.Offers(1, 3, []api.TargetID{"a", "c"})
	assert.Equal(t, len(records), 1)
	assert.Equal(t, records[0].Target, api.TargetID("c"), "a has not changed since the revision")
	assert.Equal(t, len(offers), 1)
	assert.Equal(t, offers[0].Target, api.TargetID("d"), "b is already known")
}

func TestChecksumIdentifiesTheRecords(t *testing.T) {
	const here, there = "10.0.0.1:80", "10.0.0.2:80"
	sum := func(announcements ...api.Announcement) uint64 {
		targets := NewTargets()
		for _, a := range announcements {
			targets.Merge(a)
		}
		return targets.Checksum()
	}
	a, b := announcement("a", 1, 1, api.TargetReady, here), announcement("b", 1, 1, api.TargetReady, there)
	whole := sum(a, b)
	assert.Equal(t, whole, sum(b, a), "order must not matter")
	assert.Equal(t, whole, sum(a, b, announcement("a", 1, 9, api.TargetReady, here)), "a renewal must not change the checksum")
	assert.Equal(t, sum(), uint64(0))
	assert.Equal(t, sum(a), sum(a, b, announcement("b", 1, 0, api.TargetGone, there)), "a gone target must count as an unknown one")
	later := announcement("c", 2, 1, api.TargetReady, here)
	assert.Equal(t, sum(a, later), sum(later, a), "order must not matter for a shared address either")
	assert.Assert(t, sum(a, later) != sum(a) && sum(a, later) != sum(later), "targets that share an address")
	moved := announcement("a", 1, 1, api.TargetReady, here)
	moved.Service = "another"
	assert.Equal(t, sum(a, moved), sum(moved, a))
	assert.Assert(t, sum(a, moved) != sum(a), "a target in two services")
	for name, other := range map[string]uint64{
		"another target":      sum(a),
		"another state":       sum(a, announcement("b", 1, 2, api.TargetDraining, there)),
		"a later incarnation": sum(a, announcement("b", 2, 1, api.TargetReady, there)),
		"another address":     sum(a, announcement("b", 1, 2, api.TargetReady, "10.0.0.3:80")),
	} {
		assert.Assert(t, other != whole, name)
	}
}

func TestDrainRevisionTracksTheLastDrain(t *testing.T) {
	targets := NewTargets()
	targets.Merge(announcement("a", 1, 1, api.TargetReady, "10.0.0.1:80"))
	assert.Equal(t, targets.DrainRevision(), uint64(0))
	targets.Merge(announcement("a", 1, 2, api.TargetDraining, "10.0.0.1:80"))
	targets.Merge(announcement("b", 1, 1, api.TargetReady, "10.0.0.2:80"))
	assert.Equal(t, targets.DrainRevision(), uint64(2))
}
