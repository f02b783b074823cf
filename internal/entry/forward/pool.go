package forward

import (
	"slices"
	"strings"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/limit"
)

// pool is a set of targets that answer the same requests equally well.
type pool struct {
	name    string
	config  api.Pool
	targets []*target
	budget  budget
	// routed tells that the routing table in force sends requests to it.
	routed bool
	// waiting are the parts that found no connection, in the order in which
	// they are to be served.
	waiting []*part
	// admission is how fast parts that wait are served.
	admission limit.Admission
	// cursor turns the order in which equal targets are tried.
	cursor int
}

func (p *pool) add(t *target) {
	t.pool = p
	p.targets = append(p.targets, t)
	slices.SortFunc(p.targets, func(a, b *target) int {
		return strings.Compare(string(a.id()), string(b.id()))
	})
}

func (p *pool) remove(t *target) {
	p.targets = slices.DeleteFunc(p.targets, func(other *target) bool { return other == t })
}

// usable reports whether some target accepts work and is reachable.
func (p *pool) usable() bool {
	for _, t := range p.targets {
		if t.acceptsWork() && !t.unreachable {
			return true
		}
	}
	return false
}

// hasTargetIn reports whether a data centre has a target that accepts work.
func (p *pool) hasTargetIn(dataCentre string) bool {
	for _, t := range p.targets {
		if t.announcement.DataCentre == dataCentre && t.acceptsWork() {
			return true
		}
	}
	return false
}

// unblocksAt returns when the first target without a connection may be tried again,
// and whether there is such a target.
func (p *pool) unblocksAt(now time.Time) (until time.Time, blocked bool) {
	for _, t := range p.targets {
		if t.acceptsWork() && !t.unreachable && now.Before(t.blockedUntil) && (!blocked || t.blockedUntil.Before(until)) {
			until, blocked = t.blockedUntil, true
		}
	}
	return until, blocked
}

const (
	// loadCost is the part of a request's work that each request per slot
	// adds to a target's score while slots are free: it spreads requests over
	// equal targets.
	loadCost = 0.3
	// errorCost times a request's work is the cost of a failure: another target
	// is asked, and what was done is lost.
	errorCost = 8.0
	// remotePenaltyFactor times the way there and back is what a target in another data
	// centre must be faster by beside it, at most maxRemotePenalty: traffic between
	// regions is dear, that between data centres of a region is not.
	remotePenaltyFactor = 0.7
	maxRemotePenalty    = 12 * time.Millisecond
)

// score is the time that a request with some work is expected to take at t.
func (s *State) score(t *target, work time.Duration) time.Duration {
	slots := float64(max(1, t.announcement.Slots))
	load := t.load(s.now)
	expected := float64(work) * t.expectedSlowdown(s.now)
	expected += loadCost * expected * load / slots
	if queue := load + 1 - slots; queue > 0 {
		expected += float64(work) * t.expectedSlowdown(s.now) * queue / slots
	}
	expected += errorCost * float64(work) * t.errorRate(s.now)
	roundTrip := s.roundTrip(t)
	if !t.local {
		expected += min(float64(maxRemotePenalty), remotePenaltyFactor*float64(roundTrip))
	}
	return roundTrip + time.Duration(expected) + t.stallTime(s.now, roundTrip)
}

// choose returns the target that is expected to answer a part first, and
// whether another one may have room later. Unreachable targets are not chosen:
// health checks bring them back.
func (s *State) choose(p *part) (best *target, wait bool) {
	work := s.usualWork(p.request.route)
	var bestScore time.Duration
	targets := p.pool.targets
	p.pool.cursor++
	for i := range targets {
		t := targets[(i+p.pool.cursor)%len(targets)]
		if !t.acceptsWork() || t.unreachable || p.tried(t) {
			continue
		}
		if !t.hasRoom(s.now) {
			wait = true
			continue
		}
		score := s.score(t, work)
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best, wait
}

// usualWork is the time that a request of the route is expected to take at a
// target.
func (s *State) usualWork(r *route) time.Duration {
	if r.stats.work > 0 {
		return r.stats.work
	}
	return max(minUnknownWork, r.config.Goal/unknownWorkDivisor)
}

const (
	// unknownWorkDivisor of the goal is the work of a route without replies.
	unknownWorkDivisor = 8
	minUnknownWork     = 5 * time.Millisecond
	// defaultRoundTrip is the round trip to another data centre before it is
	// measured: between regions it takes some ten milliseconds.
	defaultRoundTrip = 20 * time.Millisecond
	// localRoundTrip is the same within a data centre.
	localRoundTrip = 500 * time.Microsecond
)

// roundTrip is the round trip to a target.
func (s *State) roundTrip(t *target) time.Duration {
	if known, ok := s.roundTrips[t.announcement.DataCentre]; ok {
		return known
	}
	if t.local {
		return localRoundTrip
	}
	return defaultRoundTrip
}

// observeRoundTrip takes the time that a connection took to open: the shortest
// seen is the round trip.
func (s *State) observeRoundTrip(t *target, dialed time.Duration) {
	if dialed <= 0 {
		return
	}
	known, ok := s.roundTrips[t.announcement.DataCentre]
	if !ok || dialed < known {
		s.roundTrips[t.announcement.DataCentre] = dialed
	}
}
