package entry

import (
	"strings"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/route"
)

// Explain returns how a search on a service would be served now, without
// sending anything. It returns false if no such service is configured.
func (s *State) Explain(now time.Time, name, caller string, seed uint64) (api.Explanation, bool) {
	s.now = now
	servedBy, rules := s.applyRules(name, caller, seed)
	svc := s.services[servedBy]
	if svc == nil || !svc.configured {
		return api.Explanation{}, false
	}
	out := api.Explanation{Service: name, Rule: strings.Join(rules, ", "), ServedBy: servedBy}
	index := svc.currentIndex()
	out.NewestVersion = index.Newest
	placement := index.Pin()
	if placement == nil {
		out.Why = "no target accepts work"
		return out, true
	}
	out.Snapshot = placement.Snapshot
	out.Why = pinReason(placement)
	criteria := route.Criteria{Now: now, Snapshot: placement.Snapshot, Policy: s.options.Policy, RoundRobin: svc.roundRobin}
	for g := range placement.Groups {
		out.Shards = append(out.Shards, explainGroup(&placement.Groups[g], criteria)...)
	}
	for _, shard := range placement.Uncovered {
		out.Shards = append(out.Shards, api.ShardExplanation{Shard: shard})
	}
	return out, true
}

func pinReason(p *route.Placement) string {
	switch {
	case p.Warm():
		return "the newest snapshot that is whole and warm"
	case p.Whole():
		return "the newest snapshot that is whole; none is warm"
	default:
		return "no snapshot is whole; this one has the greatest coverage"
	}
}

func explainGroup(g *route.Group, criteria route.Criteria) []api.ShardExplanation {
	chosen := route.Choose(g, criteria)
	var candidates []api.CandidateExplanation
	for i, t := range g.Replicas {
		candidates = append(candidates, api.CandidateExplanation{
			Target:    t.ID(),
			Score:     criteria.Score(t),
			Excluded:  string(criteria.Exclude(i, t)),
			InFlight:  t.InFlight,
			Limit:     t.Limit.MaxInFlight(),
			LatencyMS: milliseconds(t.Latency()),
			Local:     t.Local,
		})
	}
	var out []api.ShardExplanation
	for _, shard := range g.Shards {
		e := api.ShardExplanation{Shard: shard, Candidates: candidates}
		if chosen >= 0 {
			e.Chosen = g.Replicas[chosen].ID()
		}
		out = append(out, e)
	}
	return out
}

// Targets returns the status of each target as the node sees it, in no
// particular order.
func (s *State) Targets() []api.TargetStatus {
	out := make([]api.TargetStatus, 0, len(s.targets))
	for _, t := range s.targets {
		a := t.Announced
		status := api.TargetStatus{
			Target:           a.Target,
			Service:          a.Service,
			DataCentre:       a.DataCentre,
			Address:          a.Address,
			State:            a.State,
			InFlight:         t.InFlight,
			ConcurrencyLimit: t.Limit.MaxInFlight(),
			ConnectionBudget: t.Connections.Current(),
			LatencyMS:        milliseconds(t.Latency()),
			Ejected:          t.Ejected(),
		}
		for _, h := range a.Holdings {
			status.Snapshots = append(status.Snapshots, h.Snapshot)
		}
		out = append(out, status)
	}
	return out
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
