package route

import (
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

var newerSnapshot = api.Snapshot{Layout: 1, Version: 2}

// newHoldingTarget returns a target that holds the single shard of each of the
// given snapshots.
func newHoldingTarget(name string, warm bool, snapshots ...api.Snapshot) *Target {
	t := newTestTarget(name)
	t.Announced.Holdings = nil
	for _, s := range snapshots {
		t.Announced.Holdings = append(t.Announced.Holdings, api.Holding{
			Snapshot: s, LayoutShards: 1, Shards: []api.ShardID{0}, Warm: warm,
		})
	}
	return t
}

func TestPin(t *testing.T) {
	tests := []struct {
		name    string
		targets []*Target
		want    api.Snapshot
	}{
		{"one of three replicas holds the new version", []*Target{
			newHoldingTarget("a", true, newerSnapshot), newHoldingTarget("b", true, snapshot), newHoldingTarget("c", true, snapshot),
		}, snapshot},
		{"two of three replicas hold the new version", []*Target{
			newHoldingTarget("a", true, newerSnapshot), newHoldingTarget("b", true, newerSnapshot), newHoldingTarget("c", true, snapshot),
		}, newerSnapshot},
		{"all replicas hold both versions", []*Target{
			newHoldingTarget("a", true, snapshot, newerSnapshot), newHoldingTarget("b", true, snapshot, newerSnapshot),
		}, newerSnapshot},
		{"each version has half of the replicas", []*Target{
			newHoldingTarget("a", true, newerSnapshot), newHoldingTarget("b", true, snapshot),
		}, newerSnapshot},
		{"the new version is not warm", []*Target{
			newHoldingTarget("a", false, newerSnapshot), newHoldingTarget("b", false, newerSnapshot), newHoldingTarget("c", true, snapshot),
		}, snapshot},
		{"no version is warm", []*Target{newHoldingTarget("a", false, newerSnapshot), newHoldingTarget("b", false, snapshot)}, newerSnapshot},
		{"the old version has no replica", []*Target{newHoldingTarget("a", true, newerSnapshot)}, newerSnapshot},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, BuildIndex(tt.targets).Pin().Snapshot, tt.want)
		})
	}
}
