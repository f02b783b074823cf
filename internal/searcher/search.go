package searcher

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/wait"
)

func (s *Searcher) handleSearch(w http.ResponseWriter, r *http.Request) {
	s.counters.searches.Add(1)
	wait.Sleep(r.Context(), s.cfg.NetworkDelay)
	var request api.ShardRequest
	if refused := decodeBody(w, r, &request); refused != nil {
		s.writeRefusal(w, r, request.RequestID, refused)
		return
	}
	s.counters.shards.Add(int64(len(request.Shards)))
	if refused := s.beginRequest(); refused != nil {
		s.writeRefusal(w, r, request.RequestID, refused)
		return
	}
	defer s.endRequest()
	reply, refused := s.search(r, request)
	if refused != nil {
		s.writeRefusal(w, r, request.RequestID, refused)
		return
	}
	s.writeReply(w, r, http.StatusOK, reply)
}

// search runs one request in a slot. The slot is released on return, also if
// the request is cancelled.
func (s *Searcher) search(r *http.Request, request api.ShardRequest) (*api.ShardReply, *refusal) {
	ctx, cancel := withDeadline(r, s.cfg.NetworkDelay)
	defer cancel()
	holding, refused := s.holding(request)
	if refused != nil {
		return nil, refused
	}
	if refused := s.acquireSlot(ctx); refused != nil {
		return nil, refused
	}
	defer s.slots.release()
	if !wait.Sleep(ctx, s.searchTime(request, holding)) {
		return nil, s.refuseCancelled(ctx)
	}
	s.counters.ran.Add(int64(len(request.Shards)))
	return s.searchShards(request, holding), nil
}

// searchTime returns how long the request occupies its slot. Shards are searched
// sequentially, each in a time proportional to its size.
func (s *Searcher) searchTime(request api.ShardRequest, holding api.Holding) time.Duration {
	perShard := s.times.draw(time.Now(), holding.Warm)
	if len(s.cfg.Holdings) > 0 {
		perShard = perShard * time.Duration(s.cfg.Holdings[0].LayoutShards) / time.Duration(holding.LayoutShards)
	}
	return time.Duration(len(request.Shards)) * perShard
}

// refuseCancelled counts a search that was cancelled while it occupied a slot
// and returns the refusal for it.
func (s *Searcher) refuseCancelled(ctx context.Context) *refusal {
	s.counters.cancelled.Add(1)
	return newRefusal(http.StatusGatewayTimeout, api.TargetDeadline, false, fmt.Sprintf("the request was given up: %v", ctx.Err()))
}

// holding returns the holding to search, or a refusal unless it contains all
// requested shards.
func (s *Searcher) holding(request api.ShardRequest) (api.Holding, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := findHolding(s.holdings, request.Snapshot)
	if !ok || !hasShards(h, request.Shards) {
		s.counters.noSnapshot.Add(1)
		detail := fmt.Sprintf("snapshot %s or one of the shards is not held", request.Snapshot)
		return h, newRefusal(http.StatusConflict, api.TargetNoSnapshot, true, detail)
	}
	return h, nil
}

// searchShards searches the shards of the request's snapshot. Holdings that were
// added or removed since the request began don't matter, so a reply never mixes
// versions.
func (s *Searcher) searchShards(request api.ShardRequest, holding api.Holding) *api.ShardReply {
	hits := []api.Hit{}
	totals := make([]int, 0, len(request.Shards))
	for _, shard := range request.Shards {
		found := s.cfg.Catalogue.Search(holding.LayoutShards, request.Snapshot.Version, shard, request.Query)
		totals = append(totals, len(found))
		hits = append(hits, topHits(found, request.Limit)...)
	}
	return &api.ShardReply{
		RequestID: request.RequestID,
		Attempt:   request.Attempt,
		Snapshot:  request.Snapshot,
		Shards:    request.Shards,
		Totals:    totals,
		Hits:      hits,
	}
}

// topHits returns the best hits of one shard, at most limit unless that is 0.
// The limit applies to each shard separately: the entry node may use only some
// shards of a reply, and hits of the other shards must not displace theirs.
func topHits(found []api.Hit, limit int) []api.Hit {
	if limit > 0 && len(found) > limit {
		return found[:limit]
	}
	return found
}
