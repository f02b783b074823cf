package discovery

import (
	"time"

	"wigeonbay/internal/api"
)

// A departure may come late, after its sender has started again under the same name, or from
// another writer. One that names no incarnation is therefore not confirmed: it holds at once,
// but is withdrawn once the target itself goes on announcing that it accepts work. So are
// those of earlier builds, which don't tell, and take a target for gone when another one
// announces its address. What the target has sent before the departure may arrive late too,
// and is no such sign.

const (
	// sequencesInFlight is the number of announcements that may be on their way, or known to
	// nobody, when a departure arrives.
	sequencesInFlight = 1
	// continuationTime is the least time between two announcements after a departure that
	// show that the target goes on. Delayed ones arrive together.
	continuationTime = time.Second
)

// continuation is the first announcement after a departure that isn't confirmed which the
// target can only have sent after it.
type continuation struct {
	sequence uint64
	at       time.Time
}

// Departures returns the announcements that a target is gone in each service in which it is
// known. An incarnation of 0 means the known ones; the departure is then not confirmed. It
// returns nothing for an unknown target without an incarnation.
func (t *Targets) Departures(id api.TargetID, incarnation uint64) []api.Announcement {
	var departures []api.Announcement
	for _, r := range t.records[id] {
		a := r.announcement
		if a.Service == "" || incarnation != 0 && a.Incarnation != incarnation {
			continue
		}
		a.State = api.TargetGone
		a.Confirmed = a.Confirmed || incarnation != 0
		departures = append(departures, a)
	}
	if len(departures) == 0 && incarnation != 0 {
		departures = append(departures, api.Announcement{Target: id, Incarnation: incarnation, State: api.TargetGone, Confirmed: true})
	}
	return departures
}

// Hear applies an announcement that a target itself has made to this process. It differs
// from Merge in that it withdraws a departure that isn't confirmed if the target goes on, and
// reinstates a target that goes on after another writer has announced a later incarnation of it
// in another service.
func (t *Targets) Hear(now time.Time, a api.Announcement) []api.Announcement {
	known := t.record(a.Target, a.Service)
	if known == nil || known.announcement.Incarnation != a.Incarnation {
		// An earlier incarnation that was reinstated doesn't outrank a start that follows.
		a.Reinstated = t.reinstated(a.Target)
		return t.Merge(a)
	}
	a.Reinstated = known.announcement.Reinstated
	switch {
	case known.goesOn(now, a):
		a.Reinstated++
	case known.announcement.State.AcceptsWork() && t.hasRival(known) && known.continues(now, a):
		a.Reinstated = t.reinstated(a.Target) + 1
	}
	return t.Merge(a)
}

// reinstated returns the greatest number of reinstatements in a target's records.
func (t *Targets) reinstated(id api.TargetID) (most uint32) {
	for _, r := range t.records[id] {
		most = max(most, r.announcement.Reinstated)
	}
	return most
}

// hasRival reports whether a record of the same target in another service claims that a later
// incarnation runs. A target runs once at a time, so one of them is wrong.
func (t *Targets) hasRival(r *record) bool {
	own := r.announcement
	for _, other := range t.records[own.Target] {
		a := other.announcement
		if other != r && a.Service != "" && a.Incarnation > own.Incarnation && a.Reinstated >= own.Reinstated {
			return true
		}
	}
	return false
}

// goesOn records an announcement of a departed target and reports whether it shows that the
// target goes on.
func (r *record) goesOn(now time.Time, a api.Announcement) bool {
	departed := r.announcement
	if departed.State != api.TargetGone || departed.Confirmed || a.Sequence-departed.Sequence <= sequencesInFlight {
		return false
	}
	return r.continues(now, a)
}

// continues records an announcement that a target can only have made after the record's last
// change, and reports whether it shows, with an earlier one, that the target goes on.
func (r *record) continues(now time.Time, a api.Announcement) bool {
	if !a.State.AcceptsWork() || a.Sequence <= r.announcement.Sequence {
		return false
	}
	first := r.continued
	if first.at.IsZero() {
		r.continued = continuation{sequence: a.Sequence, at: now}
		return false
	}
	return a.Sequence > first.sequence && now.Sub(first.at) >= continuationTime
}
