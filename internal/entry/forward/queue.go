package forward

import "slices"

// The parts of gathers and plain requests wait for a pool in one queue. What callers lose
// decides who goes first: a plain request fails without its part, and so does a gather that has
// too few others, but one that has enough is only answered without the pool. Such optional parts
// come after the others, except for one send in optionalTurn.

// optionalTurn is how many parts are sent for one optional part while parts of both kinds wait. It
// keeps gathers from never getting a pool that plain requests use up.
const optionalTurn = 4

// isOptional reports whether the request of a queued part can be answered without it: enough other
// parts are in flight or answered.
func (p *part) isOptional() bool {
	r := p.request
	return r.route.config.IsGather() && r.placed >= r.neededParts()
}

// enqueue adds a part to its pool's queue, which is ordered by precedes.
func (s *State) enqueue(p *part) {
	s.counters.Queued++
	p.setPhase(partWaiting)
	p.waitingSince, p.startBy = s.now, s.lastStart(p.request)
	at := len(p.pool.waiting)
	for at > 0 && precedes(p, p.pool.waiting[at-1]) {
		at--
	}
	p.pool.waiting = slices.Insert(p.pool.waiting, at, p)
}

// precedes reports whether a is queued before b: by the latest time at which it is of use to
// send it, then by the lower priority number of its account or route. The due time would put
// plain requests, which have longer goals but are refused early, behind all gathers.
func precedes(a, b *part) bool {
	if !a.startBy.Equal(b.startBy) {
		return a.startBy.Before(b.startBy)
	}
	return a.request.priority() < b.request.priority()
}

// blockedParts are the queued parts that no target has room for although others may be sent.
type blockedParts struct {
	// bounds are those of parts that are bound to regions whose targets have no room.
	bounds []*bound
	// parts have been at the targets with room before.
	parts []*part
}

func (b *blockedParts) contains(p *part) bool {
	return len(b.bounds) > 0 && slices.Contains(b.bounds, p.request.bound) || len(b.parts) > 0 && slices.Contains(b.parts, p)
}

// add adds a part that no target has room for, and reports whether others may be sent.
func (b *blockedParts) add(p *part) bool {
	switch {
	case p.request.bound != nil:
		b.bounds = append(b.bounds, p.request.bound)
	case len(p.tried) > 0:
		b.parts = append(b.parts, p)
	default:
		return false
	}
	return true
}

// sendWaiting sends a pool's queued parts until no target has room for one. A part that has no
// target left to try is marked missing.
func (s *State) sendWaiting(p *pool) {
	var blocked blockedParts
	for len(p.waiting) > 0 {
		next := s.nextWaiting(p, &blocked)
		if next == nil {
			return
		}
		if s.expired(next.request) {
			s.timeOut(next.request)
			continue
		}
		t, wait := s.choose(next)
		if t == nil && wait {
			if blocked.add(next) {
				continue
			}
			return
		}
		s.dequeue(next)
		if t == nil {
			s.markMissing(next)
			continue
		}
		takeTurn(next)
		s.send(next, t, false)
		s.setTimer(next.request)
	}
}

// takeTurn counts the sends after which an optional part has its turn.
func takeTurn(p *part) {
	switch {
	case p.isOptional():
		p.pool.sentBeforeOptional = 0
	case slices.ContainsFunc(p.pool.waiting, (*part).isOptional):
		p.pool.sentBeforeOptional++
	}
}

// isLate reports whether a part sent now would be answered past its goal, or belongs to a
// returning caller, who has missed it. A late optional part is of no use at all, so what a busy
// target has to do before counts too: else such a target would get only late ones.
func (s *State) isLate(p *part) bool {
	if !s.isTimely(p) {
		return true
	}
	return p.isOptional() && !s.now.Add(s.replyTime(p)).Before(p.request.due)
}

// nextWaiting returns the queued part to send next, nil if all are blocked. Parts that can
// still meet their goal come first: without that every request of a long queue would be late.
func (s *State) nextWaiting(p *pool, blocked *blockedParts) *part {
	if s.sharesFairly() {
		return s.nextFair(p, blocked)
	}
	optionalFirst := p.isOptionalTurn()
	var best *part
	var bestLate, bestLast bool
	for _, w := range p.waiting {
		if blocked.contains(w) {
			continue
		}
		late, last := s.isLate(w), w.isOptional() != optionalFirst
		if best == nil || bestLate && !late || bestLate == late && bestLast && !last {
			best, bestLate, bestLast = w, late, last
		}
		if !bestLate && !bestLast {
			break
		}
	}
	return best
}

// isOptionalTurn reports whether optional parts come before the others.
func (p *pool) isOptionalTurn() bool { return p.sentBeforeOptional >= optionalTurn-1 }

// countBefore returns how many of its pool's queued parts come before a part that is not
// queued, of those for which counts returns true. All come before a gather's part, which may
// turn out to be optional.
func (s *State) countBefore(p *part, counts func(*part) bool) int {
	needed, optional := 0, 0
	gather := p.request.route.config.IsGather()
	p.startBy = s.lastStart(p.request)
	for _, w := range p.pool.waiting {
		switch {
		case !counts(w):
		case gather:
			needed++
		case w.isOptional():
			optional++
		case precedes(p, w):
		default:
			needed++
		}
	}
	return needed + min(optional, optionalAmong(needed))
}

// optionalAmong returns how many optional parts are sent until a number of others have been.
func optionalAmong(needed int) int { return (needed + optionalTurn - 2) / (optionalTurn - 1) }
