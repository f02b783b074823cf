package forward

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/latency"
)

// routes finds the route of a request.
type routes struct {
	// byHost holds each host's routes, those with the longest prefix first.
	byHost map[string][]*route
}

// route is a route in force with what was learned of its requests.
type route struct {
	config api.Route
	pools  []*pool
	split  splitter
	stats  *routeStats
}

// routeStats is what was learned of a route's requests. It outlives changes of
// the routing table.
type routeStats struct {
	// work is the moving average of the time that targets take, without the
	// way there and back; 0 while unknown.
	work time.Duration
	// replies are the times of the parts' first replies. It is made with the
	// first reply: most routes of a large table get no requests.
	replies *latency.Window
	// usualTimeLeft is the time that callers of the route usually begin with: a high
	// quantile of the times that they had left, of callers so far.
	usualTimeLeft time.Duration
	callers       int
}

const (
	// returningFraction of the usual time is what a caller that was refused before
	// has at most: it was told when to come back, and the way took time besides.
	returningFraction = 0.98
	// usualTimeRise and patienceFall are the parts by which the usual time follows a
	// longer and a shorter one. Their ratio makes it the 80th percentile: neither a
	// few callers with much time nor a crowd that comes back moves it far.
	usualTimeRise = 0.008
	usualTimeFall = 0.002
	// usualTimeStart is the number of callers after the start of whom the one with
	// the most time counts: the first ones after a restart may all be returning.
	usualTimeStart = 20
)

// isReturning notes how long a caller still waits, and reports whether it has
// tried before. Callers of a route are held to begin with much the same time.
func (s *routeStats) isReturning(left time.Duration) bool {
	s.callers++
	switch usual := float64(s.usualTimeLeft); {
	case s.callers <= usualTimeStart:
		s.usualTimeLeft = max(s.usualTimeLeft, left)
	case left > s.usualTimeLeft:
		s.usualTimeLeft = min(left, time.Duration(usual*(1+usualTimeRise)))
	default:
		s.usualTimeLeft = max(left, time.Duration(usual*(1-usualTimeFall)))
	}
	return left < time.Duration(returningFraction*float64(s.usualTimeLeft))
}

// workWeight is the weight of the newest reply in a route's average work.
const workWeight = 0.05

func (s *routeStats) observeReply(now time.Time, took, work time.Duration) {
	if s.replies == nil {
		s.replies = latency.NewWindow()
	}
	s.replies.Record(now, took)
	if s.work == 0 {
		s.work = work
		return
	}
	s.work += time.Duration(workWeight * float64(work-s.work))
}

// newRoutes builds the index of a checked table. Statistics of routes that keep
// their place are kept.
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
		for _, part := range config.Split {
			added.pools = append(added.pools, poolNamed(part.Pool))
			added.split.weights = append(added.split.weights, part.Weight)
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

// find returns the route of a request, or nil.
func (r *routes) find(host, path string) *route {
	for _, candidate := range r.byHost[host] {
		if strings.HasPrefix(path, candidate.config.Prefix) {
			return candidate
		}
	}
	return nil
}

// splitter divides requests by weight, as evenly as a smooth weighted round
// robin can: a short count of requests is already close to the weights, which
// random choice is not.
type splitter struct {
	weights []float64
	credit  []float64
}

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
