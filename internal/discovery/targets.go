// Package discovery keeps the records of targets that announce themselves to
// control processes, and decides which announcement of a target supersedes which.
// Control processes and entry nodes hold the same records and merge announcements
// by the same rules, so that they agree in whatever order announcements arrive. The
// package does no I/O, reads no clock and starts no goroutine.
package discovery

import (
	"slices"
	"strings"

	"wigeonbay/internal/api"
)

// Targets holds the newest record of each target.
type Targets struct {
	records map[api.TargetID]*record
	// byAddress maps an address to the target that holds it.
	byAddress map[string]api.TargetID
	revision  uint64
	// drainRevision is the revision of the last change that left a target in a
	// state that accepts no work.
	drainRevision uint64
	// checksum is the XOR of the record checksums of the targets that are not gone.
	checksum uint64
}

// record is a target's newest announcement and the revision of its last change.
type record struct {
	announcement api.Announcement
	revision     uint64
}

// NewTargets returns an empty set of records.
func NewTargets() *Targets {
	return &Targets{records: map[api.TargetID]*record{}, byAddress: map[string]api.TargetID{}}
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
func (t *Targets) Len() int { return len(t.records) }

// Find returns the record of a target.
func (t *Targets) Find(id api.TargetID) (api.Announcement, bool) {
	r := t.records[id]
	if r == nil {
		return api.Announcement{}, false
	}
	return r.announcement, true
}

// Merge applies an announcement and returns the records that it changed: the
// target's own and that of a target which held its address before. Older
// announcements and renewals return nothing; a renewal only updates the sequence
// number and the fields that the choice of targets does not depend on.
func (t *Targets) Merge(a api.Announcement) []api.Announcement {
	if !t.isNewer(a) {
		return nil
	}
	known := t.records[a.Target]
	if known != nil && sameFacts(known.announcement, a) {
		known.announcement = a
		return nil
	}
	var changed []api.Announcement
	if a.State != api.TargetGone {
		holder := t.holder(a.Address)
		if holder != nil && holder.announcement.Target != a.Target {
			if holder.announcement.Incarnation > a.Incarnation {
				// The address belongs to a target with a later incarnation.
				return nil
			}
			changed = append(changed, t.markGone(holder))
		}
	}
	return append(changed, t.put(a))
}

// isNewer reports whether a is newer than the known record of its target. Gone is
// final for an incarnation: a delayed renewal must not bring the target back.
func (t *Targets) isNewer(a api.Announcement) bool {
	known := t.records[a.Target]
	if known == nil {
		return true
	}
	old := known.announcement
	if a.Incarnation != old.Incarnation {
		return a.Incarnation > old.Incarnation
	}
	if old.State == api.TargetGone {
		return false
	}
	return a.State == api.TargetGone || a.Sequence > old.Sequence
}

// sameFacts reports whether two announcements of a target agree in every field that
// the choice of targets depends on.
func sameFacts(a, b api.Announcement) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Service == b.Service &&
		a.Address == b.Address && a.DataCentre == b.DataCentre && a.Slots == b.Slots
}

// holder returns the record of the target that holds an address, nil for none.
func (t *Targets) holder(address string) *record {
	id, ok := t.byAddress[address]
	if !ok {
		return nil
	}
	return t.records[id]
}

// markGone marks a target as gone because another one has taken over its address.
func (t *Targets) markGone(r *record) api.Announcement {
	gone := r.announcement
	gone.State = api.TargetGone
	return t.put(gone)
}

// put stores a changed record under a new revision and updates the checksum, the drain
// revision and the address index.
func (t *Targets) put(a api.Announcement) api.Announcement {
	r := t.records[a.Target]
	if r == nil {
		r = &record{}
		t.records[a.Target] = r
	} else {
		t.checksum ^= recordChecksum(r.announcement)
		if t.byAddress[r.announcement.Address] == a.Target {
			delete(t.byAddress, r.announcement.Address)
		}
	}
	t.revision++
	r.announcement, r.revision = a, t.revision
	t.checksum ^= recordChecksum(a)
	if !a.State.AcceptsWork() {
		t.drainRevision = t.revision
	}
	if a.State != api.TargetGone {
		t.byAddress[a.Address] = a.Target
	}
	return a
}

// Since returns the records that changed after a revision, in order of their changes.
func (t *Targets) Since(revision uint64) []api.Announcement {
	if revision >= t.revision {
		return nil
	}
	var changed []*record
	for _, r := range t.records {
		if r.revision > revision {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b *record) int { return int(a.revision) - int(b.revision) })
	out := make([]api.Announcement, len(changed))
	for i, r := range changed {
		out[i] = r.announcement
	}
	return out
}

// GoneAnnouncement returns an announcement that the given incarnation of a target is
// gone. Incarnation 0 means the known one.
func (t *Targets) GoneAnnouncement(id api.TargetID, incarnation uint64) api.Announcement {
	a, known := t.Find(id)
	if !known || incarnation != 0 && incarnation != a.Incarnation {
		a = api.Announcement{Target: id, Incarnation: incarnation}
	}
	a.State = api.TargetGone
	return a
}

// AcceptingWork returns the records of the targets that accept work, sorted by name.
func (t *Targets) AcceptingWork() []api.Announcement {
	var accepting []api.Announcement
	for _, r := range t.records {
		if r.announcement.State.AcceptsWork() {
			accepting = append(accepting, r.announcement)
		}
	}
	slices.SortFunc(accepting, func(a, b api.Announcement) int {
		return strings.Compare(string(a.Target), string(b.Target))
	})
	return accepting
}
