package forward

import (
	"slices"
	"strings"
	"time"

	"wigeonbay/internal/api"
)

// States of a target in api.PoolStatus.
const (
	targetServing     = "serving"
	targetUnreachable = "unreachable"
	targetLeaving     = "leaving"
	targetEvacuated   = "evacuated"
)

// Pools returns the status of the pools that routes refer to, sorted by name.
func (s *State) Pools() []api.PoolStatus {
	out := []api.PoolStatus{}
	for _, p := range s.pools {
		if !p.routed {
			continue
		}
		status := api.PoolStatus{
			Name: p.name, Waiting: len(p.waiting), Targets: map[string]int{},
			BudgetLeft: p.budget.remaining(s.options.Budget, s.now, s.nodeCount()),
		}
		for _, t := range p.targets {
			switch {
			case t.evacuated:
				status.Targets[targetEvacuated]++
			case !t.acceptsWork():
				status.Targets[targetLeaving]++
			case t.unreachable:
				status.Targets[targetUnreachable]++
			default:
				status.Targets[targetServing]++
			}
		}
		out = append(out, status)
	}
	slices.SortFunc(out, func(a, b api.PoolStatus) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Routes returns the status of the routes in force, in the order of the routing
// table.
func (s *State) Routes() []api.RouteStatus {
	out := []api.RouteStatus{}
	if s.table == nil {
		return out
	}
	for i := range s.table.Routes {
		route := &s.table.Routes[i]
		stats := s.routes.statsOf(route.Host, route.Prefix)
		out = append(out, routeStatus(route, stats))
	}
	return out
}

func routeStatus(r *api.Route, stats *routeStats) api.RouteStatus {
	return api.RouteStatus{
		Name:          r.Name,
		Host:          r.Host,
		Prefix:        r.Prefix,
		Idempotent:    r.Idempotent,
		TimeoutMS:     r.Timeout.Milliseconds(),
		GoalMS:        r.Goal.Milliseconds(),
		Priority:      r.Priority,
		Split:         r.Split,
		Gather:        r.Gather,
		LeastCoverage: r.LeastCoverage,
		WorkMS:        inMilliseconds(stats.work),
	}
}

func inMilliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
