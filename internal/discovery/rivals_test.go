package discovery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

// rivals returns the records of a target in its own service and, as another writer has announced
// it later with the same address, in another one.
func rivals() *Targets {
	targets := NewTargets()
	targets.Hear(time.Unix(1000, 0), announcement("a", 5, 10, api.TargetReady, departedAddress))
	targets.Hear(time.Unix(1001, 0), rivalOf(9, 1))
	return targets
}

func rivalOf(incarnation, sequence uint64) api.Announcement {
	rival := announcement("a", incarnation, sequence, api.TargetReady, departedAddress)
	rival.Service = "other"
	return rival
}

// own returns the record of the target in its own service.
func own(targets *Targets) api.Announcement {
	return targets.record("a", announcement("a", 5, 1, api.TargetReady, departedAddress).Service).announcement
}

// TestTargetThatGoesOnIsReinstated guards against a target that another writer's announcement takes out of use.
//
// fault: other-writer x announce
func TestTargetThatGoesOnIsReinstated(t *testing.T) {
	targets, watcher := rivals(), rivals()
	before := targets.Checksum()
	assert.Equal(t, len(targets.Hear(time.Unix(1002, 0), announcement("a", 5, 11, api.TargetReady, departedAddress))), 0)
	changed := targets.Hear(time.Unix(1004, 0), announcement("a", 5, 12, api.TargetReady, departedAddress))
	assert.Equal(t, len(changed), 1)
	assert.Equal(t, changed[0].Reinstated, uint32(1))
	assert.Assert(t, targets.Checksum() != before, "watchers compare checksums")
	assert.Equal(t, len(targets.Hear(time.Unix(1006, 0), announcement("a", 5, 13, api.TargetReady, departedAddress))), 0, "once is enough")
	assert.Equal(t, len(merge(watcher, changed...)), 1)
	assert.Equal(t, watcher.Checksum(), targets.Checksum())

	// A start that follows counts as much, until the target goes on after it.
	assert.Equal(t, len(targets.Hear(time.Unix(1007, 0), rivalOf(9, 2))), 0, "the same word again changes nothing")
	third := announcement("a", 12, 1, api.TargetReady, departedAddress)
	third.Service = "third"
	assert.Equal(t, targets.Hear(time.Unix(1008, 0), third)[0].Reinstated, uint32(1))
	assert.Equal(t, targets.Hear(time.Unix(1009, 0), rivalOf(13, 1))[0].Reinstated, uint32(1), "a start in the other service")
}

// TestNoProofThatATargetGoesOn checks what must not outrank a later incarnation in another service.
func TestNoProofThatATargetGoesOn(t *testing.T) {
	ready := func(sequence uint64) api.Announcement {
		return announcement("a", 5, sequence, api.TargetReady, departedAddress)
	}
	for name, tc := range map[string]struct {
		announcements []api.Announcement
		apart         time.Duration
	}{
		"late ones that come together": {[]api.Announcement{ready(11), ready(12), ready(13)}, continuationTime / 10},
		"one":                          {[]api.Announcement{ready(11)}, continuationTime},
		"old ones":                     {[]api.Announcement{ready(8), ready(9), ready(10)}, continuationTime},
		"the same one again":           {[]api.Announcement{ready(11), ready(11), ready(11)}, continuationTime},
		"one that leaves":              {[]api.Announcement{announcement("a", 5, 11, api.TargetDraining, departedAddress), ready(12), ready(13)}, continuationTime},
	} {
		t.Run(name, func(t *testing.T) {
			targets := rivals()
			now := time.Unix(1002, 0)
			for _, a := range tc.announcements {
				targets.Hear(now, a)
				now = now.Add(tc.apart)
			}
			assert.Equal(t, own(targets).Reinstated, uint32(0))
		})
	}
	t.Run("after a departure that named the incarnation", func(t *testing.T) {
		targets := rivals()
		merge(targets, targets.Departures("a", 5)...)
		for i := range uint64(5) {
			targets.Hear(time.Unix(int64(1002+2*i), 0), ready(12+i))
		}
		assert.Equal(t, own(targets).State, api.TargetGone)
	})
	t.Run("before the other one came", func(t *testing.T) {
		targets := NewTargets()
		targets.Hear(time.Unix(1000, 0), ready(10))
		targets.Hear(time.Unix(1002, 0), ready(11))
		targets.Hear(time.Unix(1004, 0), rivalOf(9, 1))
		targets.Hear(time.Unix(1004, 0), ready(12))
		assert.Equal(t, own(targets).Reinstated, uint32(0))
	})
}
