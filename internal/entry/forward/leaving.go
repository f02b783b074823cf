package forward

import (
	"time"

	"wigeonbay/internal/api"
)

// A target that leaves serves on for a drain time after a control process has acknowledged it.
// Where no other target of a pool is left, requests go to such targets, as they would be
// refused otherwise. A control process acknowledges a departure once the nodes that follow it
// know of it, so the time since this node learned of it is no shorter than that since the
// acknowledgement.

// drainMargin is the end of the drain time in which nothing is sent to a target.
const drainMargin = time.Second

// applyAnnouncement applies the newest announcement of a target.
func (s *State) applyAnnouncement(t *target, a api.Announcement) {
	accepted := t.acceptsWork()
	t.announcement = a
	if accepted && a.State == api.TargetDraining {
		t.leavingSince = s.now
	}
}

// servesOn reports whether a target that leaves still takes requests.
func (s *State) servesOn(t *target) bool {
	return !t.leavingSince.IsZero() && !t.evacuated && t.announcement.State != api.TargetGone &&
		s.now.Before(t.leavingSince.Add(s.options.DrainTime-drainMargin))
}

// needsLeaving reports whether only targets that leave are left for requests with a bound.
func (s *State) needsLeaving(p *pool, b *bound) bool {
	found := false
	for _, t := range p.targets {
		if t.unreachable || !b.allows(t.announcement.DataCentre) {
			continue
		}
		if t.acceptsWork() {
			return false
		}
		found = found || s.servesOn(t)
	}
	return found
}

// takesRequests reports whether requests may be sent to a target; leaving is the result of
// needsLeaving for its pool.
func (s *State) takesRequests(t *target, leaving bool) bool {
	return t.acceptsWork() || leaving && s.servesOn(t)
}

// suspendDrained keeps requests that still wait for a connection from being sent to targets
// whose drain time is nearly over.
func (s *State) suspendDrained() {
	if s.options.DrainTime <= 0 {
		return
	}
	for _, t := range s.targets {
		if !t.leavingSince.IsZero() && !t.drained && !s.servesOn(t) {
			t.drained = true
			s.shareConnections(t)
		}
	}
}
