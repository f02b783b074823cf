package forward

import (
	"slices"
	"strings"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/limit"
)

// pool is a set of interchangeable targets of one service.
type pool struct {
	name    string
	config  api.Pool
	targets []*target
	budget  budget
	// routed reports that a route in force refers to the pool.
	routed bool
	// named reports that the routing table in force names the pool's service.
	named bool
	// gathered reports that a gather of the routing table needs the pool.
	gathered bool
	// waiting is the queue of parts that found no target with room, ordered by
	// precedes.
	waiting []*part
	// sentBeforeOptional counts the parts that were sent while optional ones waited, since the last
	// optional one.
	sentBeforeOptional int
	replyEstimate      replyEstimate
	// admission estimates how fast the queue is served.
	admission limit.Admission
	// fairness divides the pool among client accounts.
	fairness fairness
	// lackedUntil is the time until which peers are taken to lack targets of the pool too.
	lackedUntil time.Time
	// cursor rotates the order in which targets are compared, so that requests are
	// spread over targets with equal scores.
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

// hasTargetIn reports whether a data centre has a target that accepts work.
func (p *pool) hasTargetIn(dataCentre string) bool {
	for _, t := range p.targets {
		if t.announcement.DataCentre == dataCentre && t.acceptsWork() {
			return true
		}
	}
	return false
}

// countLeaving returns the number of targets that leave.
func (p *pool) countLeaving() int {
	count := 0
	for _, t := range p.targets {
		if t.leaving || t.announcement.State.Withdrawn() {
			count++
		}
	}
	return count
}

// isUnreachable reports whether the pool has targets that accept work and may get a request,
// but this node reaches none of them.
func (p *pool) isUnreachable(r *request) bool {
	unreachable := false
	for _, t := range p.targets {
		if !t.acceptsWork() || !r.mayReach(t) {
			continue
		}
		if !t.unreachable {
			return false
		}
		unreachable = true
	}
	return unreachable
}

// unblocksAt returns when the first of the blocked targets that may get a request may be
// tried again, and whether there is one.
func (p *pool) unblocksAt(r *request, now time.Time) (until time.Time, blocked bool) {
	for _, t := range p.targets {
		held := t.heldUntil(now)
		if r.mayReach(t) && t.acceptsWork() && !t.unreachable && now.Before(held) && (!blocked || held.Before(until)) {
			until, blocked = held, true
		}
	}
	return until, blocked
}

const (
	// loadCost is the fraction of a request's expected work that each request per
	// slot adds to a target's score, also while slots are free. It spreads requests
	// over otherwise equal targets.
	loadCost = 0.3
	// errorCost times a request's work is the cost of a failed attempt, whose work is
	// lost and has to be repeated at another target.
	errorCost = 8.0
	// remotePenaltyFactor times the round trip, at most maxRemotePenalty, is added to
	// the score of a target in another data centre beside the round trip itself.
	// Traffic between regions is expensive; that between data centres of a region is
	// not, and its short round trip makes the penalty small.
	remotePenaltyFactor = 0.7
	maxRemotePenalty    = 12 * time.Millisecond
)

// score returns the time that a request with the given work is expected to take at t,
// with a penalty for targets in other data centres. Lower is better.
func (s *State) score(t *target, work time.Duration) time.Duration {
	expected := s.expectedTime(t, work)
	if !t.local {
		expected += min(maxRemotePenalty, time.Duration(remotePenaltyFactor*float64(s.roundTrip(t))))
	}
	return expected
}

// expectedTime returns the time that a request with the given work is expected to take
// at t.
func (s *State) expectedTime(t *target, work time.Duration) time.Duration {
	load, slowdown := t.load(s.now), t.expectedSlowdown(s.now)
	expected := float64(work) * slowdown
	slots := t.capacity(s.now)
	expected += loadCost * expected * load / slots
	if queue := load + 1 - slots; queue > 0 {
		expected += float64(work) * slowdown * queue / slots
	}
	expected += errorCost * float64(work) * t.errorRate(s.now)
	roundTrip := s.roundTrip(t)
	if len(t.outstanding) >= t.usable(s.now) {
		expected += float64(roundTrip + newConnectionWork)
	}
	return roundTrip + time.Duration(expected) + t.stallTime(s.now, roundTrip)
}

// choose returns the target with room that is expected to answer a part first, nil if
// there is none, and whether some target without room may have room early enough.
// Unreachable targets are left out until they are reachable again.
func (s *State) choose(p *part) (best *target, wait bool) {
	wait = s.awaitsTargets(p.request, p.pool)
	room, ahead := 0, -1
	work := s.usualWork(p.request.route)
	var bestScore time.Duration
	targets := p.pool.targets
	p.pool.cursor++
	leaving := s.needsLeaving(p.pool, p.request.bound)
	for i := range targets {
		t := targets[(i+p.pool.cursor)%len(targets)]
		if !s.takesRequests(t, leaving) || t.unreachable || !p.request.mayReach(t) || p.hasTried(t) {
			continue
		}
		if !t.hasRoom(s.now) {
			if wait {
				continue
			}
			if ahead < 0 {
				ahead = s.queuedBefore(p)
			}
			room += s.roomInTime(p.request, t)
			wait = room > ahead
			continue
		}
		score := s.score(t, work)
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best, wait
}

// usualWork returns the time that a target usually takes for a part of the route,
// without the network.
func (s *State) usualWork(r *route) time.Duration {
	if r.stats.work > 0 {
		return r.stats.work
	}
	return max(minUnknownWork, r.config.Goal/unknownWorkDivisor)
}

const (
	// 1/unknownWorkDivisor of the goal, at least minUnknownWork, is taken as the usual
	// work of a route without replies.
	unknownWorkDivisor = 8
	minUnknownWork     = 5 * time.Millisecond
	// defaultRoundTrip is assumed for another data centre before one is measured.
	// Between regions a round trip takes some ten milliseconds.
	defaultRoundTrip = 20 * time.Millisecond
	// localRoundTrip is assumed within a data centre before one is measured.
	localRoundTrip = 500 * time.Microsecond
)

// roundTrip returns the round trip to a target.
func (s *State) roundTrip(t *target) time.Duration {
	return s.roundTripTo(t.announcement.DataCentre)
}

// roundTripTo returns the round trip to a data centre.
func (s *State) roundTripTo(dataCentre string) time.Duration {
	if known, ok := s.roundTrips[dataCentre]; ok {
		return known
	}
	if dataCentre == s.options.DataCentre {
		return localRoundTrip
	}
	return defaultRoundTrip
}

// observeRoundTrip records how long a connection took to open, or a reply on an open one to
// come: connections that are opened together wait for the target to accept them. The shortest
// time seen is taken as the round trip to the target's data centre.
func (s *State) observeRoundTrip(t *target, took time.Duration) {
	if took <= 0 {
		return
	}
	known, ok := s.roundTrips[t.announcement.DataCentre]
	if ok && took >= known {
		return
	}
	s.roundTrips[t.announcement.DataCentre] = took
	if !ok || took < known/2 {
		// Another target may be the nearest one now.
		for _, other := range s.targets {
			s.shareConnections(other)
		}
	}
}
