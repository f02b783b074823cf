package forward

import (
	"slices"
	"time"
)

// Targets may refuse requests with a time for which they want none, and say in any reply
// that they leave. Both hold whatever is announced about the target. They answer two
// loads: searchers that are full, which further requests would only slow down, and
// searchers that leave while control processes are cut off.

// applyDemand applies what a target has demanded in a reply.
func (s *State) applyDemand(t *target, d Demand) {
	if s.targets[t.id()] != t {
		return // another incarnation has replaced the target
	}
	if d.Leaving && !t.leaving {
		t.leaving = true
		s.emit(ReportLeaving{Announcement: t.announcement})
		s.sharePoolConnections(t.pool)
	}
	if until := s.now.Add(d.RetryAfter); d.RetryAfter > 0 && until.After(t.retryAt) {
		t.retryAt, t.recovering = until, true
		s.emit(HoldBack{Target: t.id(), Until: until, For: d.RetryAfter})
	}
	if d.Leaving || d.RetryAfter > 0 {
		s.dropHopelessWaiting(t.pool)
	}
}

// inTime reports whether a target that has no room now may have room early enough for a
// request. Only a target with a retry time is known not to have any before.
func (s *State) inTime(r *request, t *target) bool {
	return !s.now.Before(t.retryAt) || !t.retryAt.After(s.lastStart(r))
}

// lastStart returns the latest time at which it is of use to send a part of a request. A
// caller that has not been refused before is better refused at once when its goal can't
// be met: another node may serve it. One that comes back may have no further attempt.
func (s *State) lastStart(r *request) time.Time {
	if r.route.config.IsGather() && !r.returning {
		return r.due.Add(-s.usualWork(r.route))
	}
	return s.unsentDeadline(r)
}

// availableIn returns how long it takes until a pool has a target for a request: 0 if it
// has one now or early enough, else the time until the first retry time or health check.
// It is maxProbeInterval for a pool without any target.
func (s *State) availableIn(r *request, p *pool) time.Duration {
	if s.awaitsTargets(r, p) {
		return 0
	}
	soonest, known := maxProbeInterval, false
	for _, t := range p.targets {
		if !t.acceptsWork() {
			continue
		}
		wait := t.retryAt.Sub(s.now)
		switch {
		case t.unreachable:
			wait = max(minProbeInterval, t.nextProbe.Sub(s.now), wait)
		case s.inTime(r, t):
			return 0
		}
		if !known || wait < soonest {
			soonest, known = wait, true
		}
	}
	return soonest
}

// neededAvailableIn returns how long it takes until enough pools have a target for a
// request to reach its least coverage.
func (s *State) neededAvailableIn(r *request) time.Duration {
	waits := make([]time.Duration, len(r.parts))
	for i, p := range r.parts {
		waits[i] = s.availableIn(r, p.pool)
	}
	slices.Sort(waits)
	return waits[r.neededParts()-1]
}

// dropHopelessWaiting marks the queued parts of a pool missing that no target may have
// room for in time.
func (s *State) dropHopelessWaiting(p *pool) {
	var hopeless []*part
	p.waiting = slices.DeleteFunc(p.waiting, func(w *part) bool {
		t, wait := s.choose(w)
		if t != nil || wait {
			return false
		}
		hopeless = append(hopeless, w)
		return true
	})
	for _, w := range hopeless {
		w.phase = partIdle
		if !w.request.done {
			s.markMissing(w)
		}
	}
}
