package forward

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/latency"
)

// routes is the index of the routes in force.
type routes struct {
	// byHost holds each host's routes, longest prefix first.
	byHost map[string][]*route
}

// route is a route in force with the statistics of its requests.
type route struct {
	config api.Route
	pools  []*pool
	split  splitter
	stats  *routeStats
	bound  *bound
}

// routeStats holds statistics of a route's requests. They are kept across changes of
// the routing table.
type routeStats struct {
	// work is the moving average of the time that targets take, without the network;
	// 0 while unknown.
	work time.Duration
	// median estimates the median of that time. Unlike the average it doesn't contain
	// the pauses that hedges are for.
	median time.Duration
	// replies holds the recent times of successful attempts. It is created with the
	// first one, as most routes of a large table get no requests.
	replies *latency.Window
	// usualTimeLeft is the time to the deadline that callers of the route usually
	// start with, estimated as a high quantile of the times observed.
	usualTimeLeft time.Duration
	// callers is the number of times observed.
	callers int
}

const (
	// returningFraction of the usual time left is the threshold below which a caller
	// counts as returning. One that was refused before has less time left, because it
	// waited for its retry time and the network took time too.
	returningFraction = 0.98
	// usualTimeRise and usualTimeFall are the largest relative changes of the usual
	// time left after a longer and a shorter one. Their ratio makes it converge to the
	// 80th percentile, so that neither a few callers with much time nor many returning
	// ones move it far.
	usualTimeRise = 0.008
	usualTimeFall = 0.002
	// startupCallers is the number of a route's first callers for which the usual time
	// left is the longest one observed, because the first callers after a restart may
	// all be returning.
	startupCallers = 20
)

// isReturning records the time that a caller has left, and reports whether the caller
// was probably refused before. It assumes that callers of a route start with about
// the same time.
func (s *routeStats) isReturning(left time.Duration) bool {
	s.callers++
	switch usual := float64(s.usualTimeLeft); {
	case s.callers <= startupCallers:
		s.usualTimeLeft = max(s.usualTimeLeft, left)
	case left > s.usualTimeLeft:
		s.usualTimeLeft = min(left, time.Duration(usual*(1+usualTimeRise)))
	default:
		s.usualTimeLeft = max(left, time.Duration(usual*(1-usualTimeFall)))
	}
	return left < time.Duration(returningFraction*float64(s.usualTimeLeft))
}

const (
	// workWeight is the weight of the newest reply in the moving average of a route's work.
	workWeight = 0.05
	// gatherWorkWeight divided by the number of parts is the greatest such weight for a
	// gather. Its slowest replies come last, so an average over fewer replies than a few
	// gathers have would mostly reflect those.
	gatherWorkWeight = 0.3
)

// observeReply records the time until a reply and the time that the target worked on
// it.
func (r *route) observeReply(now time.Time, took, work time.Duration) {
	s := r.stats
	if s.replies == nil {
		s.replies = latency.NewWindow()
	}
	s.replies.Record(now, took)
	if s.work == 0 {
		s.work, s.median = work, work
		return
	}
	weight := workWeight
	if r.config.IsGather() {
		weight = min(weight, gatherWorkWeight/float64(len(r.pools)))
	}
	s.work += time.Duration(weight * float64(work-s.work))
	step := time.Duration(weight * float64(s.median))
	if work < s.median {
		step = -step
	}
	s.median += step
}

// newRoutes builds the index of a valid table. Routes whose host and prefix are in the
// previous index keep their statistics.
func newRoutes(table *api.RoutingTable, previous *routes, poolNamed func(string) *pool) *routes {
	r := &routes{byHost: map[string][]*route{}}
	for i := range table.Routes {
		config := table.Routes[i]
		added := &route{config: config, stats: previous.statsOf(config.Host, config.Prefix)}
		if added.stats == nil {
			added.stats = &routeStats{}
		}
		for _, name := range config.Gather {
			added.pools = append(added.pools, poolNamed(name))
		}
		added.split = newSplitter(config.Split)
		for _, weighted := range config.Split {
			added.pools = append(added.pools, poolNamed(weighted.Pool))
		}
		r.byHost[config.Host] = append(r.byHost[config.Host], added)
	}
	for _, list := range r.byHost {
		slices.SortStableFunc(list, func(a, b *route) int {
			return cmp.Compare(len(b.config.Prefix), len(a.config.Prefix))
		})
	}
	return r
}

// statsOf returns the statistics of the route with a host and prefix, or nil. It may be
// called on nil.
func (r *routes) statsOf(host, prefix string) *routeStats {
	if r == nil {
		return nil
	}
	for _, candidate := range r.byHost[host] {
		if candidate.config.Prefix == prefix {
			return candidate.stats
		}
	}
	return nil
}

// find returns the route of the host with the longest prefix that matches the path, or
// nil.
func (r *routes) find(host, path string) *route {
	for _, candidate := range r.byHost[host] {
		if strings.HasPrefix(path, candidate.config.Prefix) {
			return candidate
		}
	}
	return nil
}

// splitter divides requests among pools by smooth weighted round robin. Unlike random
// choice it comes close to the weights after few requests.
type splitter struct {
	weights []float64
	credit  []float64
}

// newSplitter divides the weights by the greatest one, so that sums of them are finite.
func newSplitter(split []api.WeightedPool) splitter {
	greatest := 0.0
	for _, weighted := range split {
		greatest = max(greatest, weighted.Weight)
	}
	s := splitter{weights: make([]float64, len(split))}
	for i, weighted := range split {
		s.weights[i] = weighted.Weight / greatest
	}
	return s
}

// next returns the index of the pool for the next request.
func (s *splitter) next() int {
	if len(s.weights) == 1 {
		return 0
	}
	if s.credit == nil {
		s.credit = make([]float64, len(s.weights))
	}
	best, total := -1, 0.0
	for i, weight := range s.weights {
		s.credit[i] += weight
		total += weight
		if weight > 0 && (best < 0 || s.credit[i] > s.credit[best]) {
			best = i
		}
	}
	s.credit[best] -= total
	return best
}
