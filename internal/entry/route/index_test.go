package route

import (
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

var newer = api.Snapshot{Layout: 1, Version: 2}

// holder returns a target of the only shard of the given snapshots.
func holder(name string, warm bool, snapshots ...api.Snapshot) *Target {
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
		{"the first of three replicas has the new version", []*Target{
			holder("a", true, newer), holder("b", true, snapshot), holder("c", true, snapshot),
		}, snapshot},
		{"most replicas have it", []*Target{
			holder("a", true, newer), holder("b", true, newer), holder("c", true, snapshot),
		}, newer},
		{"all hold both", []*Target{
			holder("a", true, snapshot, newer), holder("b", true, snapshot, newer),
		}, newer},
		{"half have it, and the old one lost as many", []*Target{
			holder("a", true, newer), holder("b", true, snapshot),
		}, newer},
		{"the new version is cold", []*Target{
			holder("a", false, newer), holder("b", false, newer), holder("c", true, snapshot),
		}, snapshot},
		{"nothing is warm", []*Target{holder("a", false, newer), holder("b", false, snapshot)}, newer},
		{"the old one has no replica left", []*Target{holder("a", true, newer)}, newer},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, BuildIndex(tt.targets).Pin().Snapshot, tt.want)
		})
	}
}
