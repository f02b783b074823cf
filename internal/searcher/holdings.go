package searcher

import (
	"slices"

	"wigeonbay/internal/api"
)

// findHolding returns the holding of a snapshot and whether there is one.
func findHolding(holdings []api.Holding, snapshot api.Snapshot) (api.Holding, bool) {
	for _, h := range holdings {
		if h.Snapshot == snapshot {
			return h, true
		}
	}
	return api.Holding{}, false
}

// hasShards reports whether h contains all of the shards.
func hasShards(h api.Holding, shards []api.ShardID) bool {
	for _, shard := range shards {
		if !slices.Contains(h.Shards, shard) {
			return false
		}
	}
	return true
}

// withHolding returns a copy of holdings in which h replaces any holding of the
// same snapshot. It doesn't modify its argument, because announcements may
// still use that.
func withHolding(holdings []api.Holding, h api.Holding) []api.Holding {
	return append(withoutSnapshot(holdings, h.Snapshot), h)
}

// withoutSnapshot returns a copy of holdings without those of the snapshot.
func withoutSnapshot(holdings []api.Holding, snapshot api.Snapshot) []api.Holding {
	remaining := make([]api.Holding, 0, len(holdings)+1)
	for _, h := range holdings {
		if h.Snapshot != snapshot {
			remaining = append(remaining, h)
		}
	}
	return remaining
}
