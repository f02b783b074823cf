package searcher

import (
	"slices"

	"wigeonbay/internal/api"
)

// find returns the holding of a snapshot.
func find(holdings []api.Holding, snapshot api.Snapshot) (api.Holding, bool) {
	for _, h := range holdings {
		if h.Snapshot == snapshot {
			return h, true
		}
	}
	return api.Holding{}, false
}

// holdsAll reports whether h has each of the shards.
func holdsAll(h api.Holding, shards []api.ShardID) bool {
	for _, shard := range shards {
		if !slices.Contains(h.Shards, shard) {
			return false
		}
	}
	return true
}

// with returns the holdings with h added, in place of one of the same
// snapshot. The argument is left as it is: announcements may still use it.
func with(holdings []api.Holding, h api.Holding) []api.Holding {
	return append(without(holdings, h.Snapshot), h)
}

// without returns the holdings but for those of the snapshot.
func without(holdings []api.Holding, snapshot api.Snapshot) []api.Holding {
	kept := make([]api.Holding, 0, len(holdings)+1)
	for _, h := range holdings {
		if h.Snapshot != snapshot {
			kept = append(kept, h)
		}
	}
	return kept
}
