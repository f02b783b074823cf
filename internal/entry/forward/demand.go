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
		if t.acceptsWork() {
			t.leavingSince = s.now
		}
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

// roomInTime returns how many requests a target that has no room now takes until it is too
// late for a request. Only one with a retry time or a rate limit is known to take few,
// and so is a cold one.
func (s *State) roomInTime(r *request, t *target) int {
	latest := later(s.now, s.lastStart(r))
	if t.retryAt.After(latest) {
		return 0
	}
	return min(t.limit.allowedUntil(latest), t.warmupAllowedUntil(latest))
}

// queuedBefore returns how many of its pool's queued parts come before a part, 0 for one of
// them.
func (s *State) queuedBefore(p *part) int {
	if p.phase == partWaiting {
		return 0
	}
	return s.countBefore(p, func(*part) bool { return true })
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

// availableIn returns how long it takes until a part's pool has a target for it: 0 if it has
// one now or early enough, else the time until the first retry time or health check.
// It is maxProbeInterval for a pool without any target.
func (s *State) availableIn(wanted *part) time.Duration {
	r, p := wanted.request, wanted.pool
	if s.awaitsTargets(r, p) {
		return 0
	}
	soonest, known, room := maxProbeInterval, false, 0
	leaving := s.needsLeaving(p, r.bound)
	for _, t := range p.targets {
		if !s.takesRequests(t, leaving) || !r.mayReach(t) {
			continue
		}
		wait := t.demandedUntil(s.now).Sub(s.now)
		if t.unreachable {
			wait = max(minProbeInterval, t.nextProbe.Sub(s.now), wait)
		} else {
			room += s.roomInTime(r, t)
		}
		if room > len(p.waiting) || room > 0 && room > s.queuedBefore(wanted) {
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
		waits[i] = s.availableIn(p)
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
		w.setPhase(partIdle)
		w.request.recordQueueTime(w, s.now)
		if !w.request.done {
			s.markMissing(w)
		}
	}
}
