// Package gather merges the replies of targets into one answer and computes
// the shard coverage of that answer.
package gather

import (
	"slices"
	"sort"

	"wigeonbay/internal/api"
)

// AcceptedReply is a target's reply together with the shards for which it was
// the first reply. Only hits of these shards enter the answer.
type AcceptedReply struct {
	Reply  *api.ShardReply
	Shards []api.ShardID
}

// Merge returns the hits of replies ordered by descending score, then by shard
// and ID, and the total number of matches in the accepted shards. A limit
// above 0 bounds the number of hits returned. Hits of shards outside a reply's
// accepted shards are dropped, because replies that overlap would otherwise
// return a hit twice.
func Merge(replies []AcceptedReply, limit int) (hits []api.Hit, total int) {
	hits = []api.Hit{}
	for _, accepted := range replies {
		total += countHits(accepted)
		hits = appendHits(hits, accepted)
	}
	sort.Slice(hits, func(i, j int) bool { return ranksBefore(hits[i], hits[j]) })
	if limit > 0 && len(hits) > limit {
		hits = hits[:limit]
	}
	return hits, total
}

// Coverage returns the coverage of a snapshot with the given number of shards.
// It sorts missing by shard in place.
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

func countHits(accepted AcceptedReply) int {
	total := 0
	for i, shard := range accepted.Reply.Shards {
		if slices.Contains(accepted.Shards, shard) {
			total += accepted.Reply.Totals[i]
		}
	}
	return total
}

func appendHits(hits []api.Hit, accepted AcceptedReply) []api.Hit {
	allAccepted := len(accepted.Shards) == len(accepted.Reply.Shards)
	for _, hit := range accepted.Reply.Hits {
		if allAccepted || slices.Contains(accepted.Shards, hit.Shard) {
			hits = append(hits, hit)
		}
	}
	return hits
}

func ranksBefore(a, b api.Hit) bool {
	if a.Score != b.Score {
		return a.Score > b.Score
	}
	if a.Shard != b.Shard {
		return a.Shard < b.Shard
	}
	return a.ID < b.ID
}
