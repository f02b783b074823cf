// Package discovery keeps the records of targets that announce themselves to
// control processes, and decides which announcement of a target supersedes which.
// Control processes and entry nodes hold the same records and merge announcements
// by the same rules, so that they agree in whatever order announcements arrive. The
// package does no I/O, reads no clock and starts no goroutine.
package discovery

import (
	"cmp"
	"slices"
	"strings"

	"wigeonbay/internal/api"
)

// Targets holds the newest record of each target in each service that it has announced.
//
// A record concerns no other one. Anyone may announce anything, also in the name of another
// target or with its address. Which of several records of a target or an address is in use
// depends on the services that the routing table names, and on what is found at the
// address: entry nodes decide it.
type Targets struct {
	// records holds the records of each target, nearly always one. A departure whose boot
	// was not known is a record without a service.
	records map[api.TargetID][]*record
	// count is the number of records.
	count    int
	revision uint64
	// drainRevision is the revision of the last change that left a target in a
	// state that accepts no work.
	drainRevision uint64
	// checksum is the XOR of the record checksums of the targets that are not gone.
	checksum uint64
}

// record is a target's newest announcement in a service and the revision of its last change.
type record struct {
	announcement api.Announcement
	revision     uint64
	// continued is what has been heard of the target since a departure that isn't confirmed.
	continued continuation
}

// NewTargets returns an empty set of records.
func NewTargets() *Targets {
	return &Targets{records: map[api.TargetID][]*record{}}
}

// Revision returns the number of the last change; each change increments it.
func (t *Targets) Revision() uint64 { return t.revision }

// DrainRevision returns the revision of the last change that left a target in a state
// that accepts no work: starting, draining or gone.
func (t *Targets) DrainRevision() uint64 { return t.drainRevision }

// Checksum returns a checksum of the records of the targets that are not gone,
// without their sequence numbers. Two processes with the same checksum hold the same
// records, barring a hash collision.
func (t *Targets) Checksum() uint64 { return t.checksum }

// Len returns the number of records, those of gone targets included.
func (t *Targets) Len() int { return t.count }

// Find returns the record of a target's latest incarnation.
func (t *Targets) Find(id api.TargetID) (api.Announcement, bool) {
	r := t.latest(id)
	if r == nil {
		return api.Announcement{}, false
	}
	return r.announcement, true
}

// latest returns the record of a target's latest incarnation, nil if there is none.
func (t *Targets) latest(id api.TargetID) *record {
	var latest *record
	for _, r := range t.records[id] {
		if latest == nil || r.announcement.Incarnation > latest.announcement.Incarnation {
			latest = r
		}
	}
	return latest
}

// record returns the record of a target in a service, nil if there is none.
func (t *Targets) record(id api.TargetID, service string) *record {
	for _, r := range t.records[id] {
		if r.announcement.Service == service {
			return r
		}
	}
	return nil
}

// Merge applies an announcement and returns the records that it changed. Older
// announcements and renewals return nothing; a renewal only updates the sequence
// number and the fields that the choice of targets does not depend on.
func (t *Targets) Merge(a api.Announcement) []api.Announcement {
	if a.State == api.TargetGone && a.Service == "" {
		return t.mergeDeparture(a)
	}
	known := t.record(a.Target, a.Service)
	if known == nil {
		if t.hasDeparted(a) {
			return nil
		}
		return []api.Announcement{t.put(a)}
	}
	if !isNewer(a, known.announcement) {
		return nil
	}
	if a.State == api.TargetGone && a.Incarnation == known.announcement.Incarnation {
		a.Sequence = max(a.Sequence, known.announcement.Sequence)
	}
	if sameFacts(known.announcement, a) {
		known.announcement = a
		return nil
	}
	return []api.Announcement{t.put(a)}
}

// mergeDeparture applies the departure of an incarnation that the process which recorded it
// did not know. It concerns the records of that incarnation, those to come included.
func (t *Targets) mergeDeparture(departure api.Announcement) []api.Announcement {
	var changed []api.Announcement
	for _, r := range t.records[departure.Target] {
		a := r.announcement
		if a.Service != "" && a.Incarnation == departure.Incarnation && a.State != api.TargetGone {
			a.State, a.Confirmed = api.TargetGone, true
			changed = append(changed, t.put(a))
		}
	}
	known := t.record(departure.Target, "")
	if known != nil && departure.Incarnation <= known.announcement.Incarnation {
		return changed
	}
	return append(changed, t.put(departure))
}

// hasDeparted reports whether the incarnation of an announcement departed before any
// announcement of it was known.
func (t *Targets) hasDeparted(a api.Announcement) bool {
	departed := t.record(a.Target, "")
	return departed != nil && departed.announcement.Incarnation == a.Incarnation
}

// isNewer reports whether a is newer than the known record of its target and service. Gone
// is final for an incarnation, unless the departure was withdrawn: a delayed renewal must
// not bring the target back.
func isNewer(a, known api.Announcement) bool {
	switch {
	case a.Incarnation != known.Incarnation:
		return a.Incarnation > known.Incarnation
	case a.Reinstated != known.Reinstated:
		return a.Reinstated > known.Reinstated
	case known.State == api.TargetGone:
		// A departure may be confirmed later. The greatest sequence number that any
		// process knew is needed to tell what the target has sent since.
		return a.State == api.TargetGone && !known.Confirmed && (a.Confirmed || a.Sequence > known.Sequence)
	default:
		return a.State == api.TargetGone || a.Sequence > known.Sequence
	}
}

// sameFacts reports whether two announcements of a target agree in every field that
// the choice of targets depends on, and in the sequence number if the target is gone.
func sameFacts(a, b api.Announcement) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Service == b.Service &&
		a.Address == b.Address && a.DataCentre == b.DataCentre && a.Slots == b.Slots &&
		a.Reinstated == b.Reinstated && a.Confirmed == b.Confirmed && (a.State != api.TargetGone || a.Sequence == b.Sequence)
}

// put stores a changed record under a new revision and updates the checksum and the drain
// revision.
func (t *Targets) put(a api.Announcement) api.Announcement {
	r := t.record(a.Target, a.Service)
	if r == nil {
		r = &record{}
		t.records[a.Target] = append(t.records[a.Target], r)
		t.count++
	} else {
		t.checksum ^= recordChecksum(r.announcement)
	}
	t.revision++
	r.announcement, r.revision = a, t.revision
	for _, other := range t.records[a.Target] {
		other.continued = continuation{}
	}
	t.checksum ^= recordChecksum(a)
	if !a.State.AcceptsWork() {
		t.drainRevision = t.revision
	}
	return a
}

// all calls a function with each record.
func (t *Targets) all(yield func(*record) bool) {
	for _, records := range t.records {
		for _, r := range records {
			if !yield(r) {
				return
			}
		}
	}
}

// RevisionOf returns the revision of the last change of an announcement's record, 0 if there
// is none.
func (t *Targets) RevisionOf(a api.Announcement) uint64 {
	r := t.record(a.Target, a.Service)
	if r == nil {
		return 0
	}
	return r.revision
}

// Since returns the records that changed after a revision, in order of their changes, but
// only the first ones if there are more than most.
func (t *Targets) Since(revision uint64, most int) []api.Announcement {
	if revision >= t.revision {
		return nil
	}
	var changed []*record
	for r := range t.all {
		if r.revision > revision {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b *record) int { return cmp.Compare(a.revision, b.revision) })
	changed = changed[:min(len(changed), most)]
	out := make([]api.Announcement, len(changed))
	for i, r := range changed {
		out[i] = r.announcement
	}
	return out
}

// AcceptingWork returns the records of the targets that accept work, sorted by name.
func (t *Targets) AcceptingWork() []api.Announcement {
	var accepting []api.Announcement
	for r := range t.all {
		if r.announcement.State.AcceptsWork() {
			accepting = append(accepting, r.announcement)
		}
	}
	slices.SortFunc(accepting, func(a, b api.Announcement) int {
		return strings.Compare(string(a.Target), string(b.Target))
	})
	return accepting
}
