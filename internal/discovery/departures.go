package discovery

import "wigeonbay/internal/api"

// Departures returns the announcements that a target is gone in each service in which it is
// known. An incarnation of 0 means the known ones. It returns nothing for an unknown target
// without an incarnation.
func (t *Targets) Departures(id api.TargetID, incarnation uint64) []api.Announcement {
	var departures []api.Announcement
	for _, r := range t.records[id] {
		a := r.announcement
		if a.Service == "" || incarnation != 0 && a.Incarnation != incarnation {
			continue
		}
		a.State = api.TargetGone
		departures = append(departures, a)
	}
	if len(departures) == 0 && incarnation != 0 {
		departures = append(departures, api.Announcement{Target: id, Incarnation: incarnation, State: api.TargetGone})
	}
	return departures
}
