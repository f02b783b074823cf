package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

func TestIncompleteServicesCountsServicesWithoutAWholeSnapshot(t *testing.T) {
	h := newHarness(t, api.Service{DeadlineMS: 1000})
	assert.Equal(t, h.state.IncompleteServices(), 1)
	h.announceShards("s1", api.TargetReady, []api.ShardID{0}, api.Snapshot{Layout: 1, Version: 1})
	assert.Equal(t, h.state.IncompleteServices(), 1, "one of two shards has a replica")
	h.announceShards("s2", api.TargetReady, []api.ShardID{0, 1}, api.Snapshot{Layout: 1, Version: 1})
	assert.Equal(t, h.state.IncompleteServices(), 0)
}
