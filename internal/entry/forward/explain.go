package forward

import (
	"time"

	"wigeonbay/internal/api"
)

// Reasons why a target can't be chosen.
const (
	excludedLeaving     = "leaving"
	excludedEvacuated   = "data centre evacuated"
	excludedUnreachable = "unreachable"
	excludedFull        = "no room"
	excludedHeldBack    = "held back"
	excludedLimited     = "rate limit"
	excludedCold        = "cold"
	excludedRegion      = "not in an allowed region"
)

// Explain describes how a request of an account, "" for none, would be forwarded at now, and
// returns false if no route matches. It does not affect later decisions.
func (s *State) Explain(now time.Time, host, path, account string) (api.RouteExplanation, bool) {
	if s.routes == nil {
		return api.RouteExplanation{}, false
	}
	r := s.routes.find(host, path)
	if r == nil {
		return api.RouteExplanation{}, false
	}
	out := api.RouteExplanation{
		Route:        routeStatus(&r.config, r.stats),
		TableVersion: s.TableVersion(),
		Pools:        []api.PoolExplanation{},
		Account:      account,
	}
	s.now = now
	b := s.explainAccount(r, account, &out)
	for _, p := range r.pools {
		out.Pools = append(out.Pools, s.explainPool(p, s.usualWork(r), b))
	}
	return out, true
}

// explainAccount describes what the regions and the client accounts mean for a route, and
// returns the bound of the account's requests.
func (s *State) explainAccount(r *route, name string, out *api.RouteExplanation) *bound {
	a := s.accounts.named(name)
	b := s.boundOf(r, a)
	out.Priority, out.NeedsKey = priorityOf(r, a), !s.mayUse(r, nil)
	if b != nil {
		out.Bound, out.Regions = true, b.regions
	}
	switch {
	case name != "" && a == nil:
		out.Refused = string(ReasonNoAccount)
	case b.isEmpty():
		out.Refused = string(ReasonNoRegion)
	}
	out.UnservedCount = s.accounts.countUnserved(s.bounds, r)
	if out.UnservedCount > 0 {
		out.Unserved = s.accounts.unserved(s.bounds, r, api.MaxUnserved)
	}
	return b
}

func (s *State) explainPool(p *pool, work time.Duration, b *bound) api.PoolExplanation {
	out := api.PoolExplanation{Pool: p.name, Candidates: []api.RouteCandidate{}}
	best, leaving := 0.0, s.needsLeaving(p, b)
	for _, t := range p.targets {
		c := s.explainTarget(t, work, b, leaving)
		out.Candidates = append(out.Candidates, c)
		if c.Excluded == "" && (out.Chosen == "" || c.ExpectedMS < best) {
			out.Chosen, best = c.Target, c.ExpectedMS
		}
	}
	return out
}

func (s *State) explainTarget(t *target, work time.Duration, b *bound, leaving bool) api.RouteCandidate {
	c := api.RouteCandidate{
		Target:     t.id(),
		DataCentre: t.announcement.DataCentre,
		State:      t.announcement.State,
		ExpectedMS: inMilliseconds(s.score(t, work)),
		InFlight:   len(t.outstanding),
		Limit:      t.share,
		Slots:      t.announcement.Slots,
		Capacity:   t.capacity(s.now),
		Slowdown:   t.expectedSlowdown(s.now),
		ErrorRate:  t.errorRate(s.now),
	}
	switch {
	case t.evacuated:
		c.Excluded = excludedEvacuated
	case !s.takesRequests(t, leaving):
		c.Excluded = excludedLeaving
	case !b.allows(t.announcement.DataCentre):
		c.Excluded = excludedRegion
	case t.unreachable:
		c.Excluded = excludedUnreachable
	case s.now.Before(t.retryAt):
		c.Excluded = excludedHeldBack
	case s.now.Before(t.limit.allowsAt()):
		c.Excluded = excludedLimited
	case s.now.Before(t.warmupAllowsAt(s.now)):
		c.Excluded = excludedCold
	case !t.hasRoom(s.now):
		c.Excluded = excludedFull
	}
	return c
}
