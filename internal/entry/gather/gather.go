// Package gather keeps track of which shards of a snapshot a search has
// covered, and merges the replies of targets into one answer.
package gather

import (
	"slices"
	"sort"

	"wigeonbay/internal/api"
)

// Part is the share of one target's reply that counts: the shards for which it
// was the first reply.
type Part struct {
	Reply  *api.ShardReply
	Shards []api.ShardID
}

// Merge joins parts into hits in the order of score, then shard and id, cut to
// limit when that is above 0, and the number of hits before the cut. A hit of
// a shard that its part does not count is left out: two replies that overlap
// would otherwise return a record twice.
func Merge(parts []Part, limit int) (hits []api.Hit, total int) {
	hits = []api.Hit{}
	for _, part := range parts {
		total += countTotals(part)
		hits = appendCounted(hits, part)
	}
	sort.Slice(hits, func(i, j int) bool { return before(hits[i], hits[j]) })
	if limit > 0 && len(hits) > limit {
		hits = hits[:limit]
	}
	return hits, total
}

// Coverage states which of the snapshot's shards were answered.
func Coverage(shards int, missing []api.MissingShard) api.Coverage {
	slices.SortFunc(missing, func(a, b api.MissingShard) int { return int(a.Shard) - int(b.Shard) })
	answered := shards - len(missing)
	if missing == nil {
		missing = []api.MissingShard{}
	}
	c := api.Coverage{Shards: shards, Answered: answered, Missing: missing}
	if shards > 0 {
		c.Fraction = float64(answered) / float64(shards)
	}
	return c
}

func countTotals(part Part) int {
	total := 0
	for i, shard := range part.Reply.Shards {
		if slices.Contains(part.Shards, shard) {
			total += part.Reply.Totals[i]
		}
	}
	return total
}

func appendCounted(hits []api.Hit, part Part) []api.Hit {
	whole := len(part.Shards) == len(part.Reply.Shards)
	for _, hit := range part.Reply.Hits {
		if whole || slices.Contains(part.Shards, hit.Shard) {
			hits = append(hits, hit)
		}
	}
	return hits
}

func before(a, b api.Hit) bool {
	if a.Score != b.Score {
		return a.Score > b.Score
	}
	if a.Shard != b.Shard {
		return a.Shard < b.Shard
	}
	return a.ID < b.ID
}
