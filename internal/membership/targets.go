package membership

import (
	"time"

	"wigeonbay/internal/api"
)

// putTarget stores a target's record and updates the digest tree.
func (s *State) putTarget(r TargetRecord) *targetEntry {
	id := r.Announcement.Target
	t := s.targets[id]
	if t == nil {
		t = &targetEntry{}
		s.targets[id] = t
		s.ownedDirty = true
	}
	if t.Announcement.DataCentre != r.Announcement.DataCentre {
		t.owners = nil
		s.ownedDirty = true
	}
	sameState := t.Announcement.Incarnation == r.Announcement.Incarnation &&
		t.Announcement.Sequence == r.Announcement.Sequence
	if !sameState {
		t.renewedAt = time.Time{}
	}
	t.TargetRecord = r
	t.graceStart = s.now
	t.leaseCheckedAt = time.Time{}
	if r.State() == api.TargetGone {
		t.goneAt = s.now.Add(-time.Duration(r.GoneMS) * time.Millisecond)
	}
	s.tree.set(true, string(id), t.versionHash())
	s.emit(TargetChanged{Announcement: r.Effective()})
	return t
}

func (s *State) dropTarget(id api.TargetID) {
	s.tree.set(true, string(id), 0)
	delete(s.targets, id)
	s.ownedDirty = true
}

// versionHash covers everything that orders the records of a target.
func (t *targetEntry) versionHash() uint64 {
	a := t.Announcement
	return versionHash(nameHash(true, string(a.Target)),
		a.Incarnation, a.Sequence, uint64(t.Epoch), uint64(stateRank(t.State())))
}

// applyTarget applies a target's record from a peer. It reports whether the
// record was already known, and whether this node holds a newer one.
func (s *State) applyTarget(r TargetRecord, from string) (known, stale bool) {
	id := r.Announcement.Target
	cur := s.targets[id]
	if cur == nil {
		gone := time.Duration(r.GoneMS) * time.Millisecond
		if r.State() == api.TargetGone && gone >= s.timing.Retention {
			return true, false
		}
		s.putTarget(r)
		s.addRumour(true, string(id), from)
		return false, false
	}
	if !r.Supersedes(cur.TargetRecord) {
		return true, cur.Supersedes(r)
	}
	if s.refutes(cur, r) {
		s.withdrawExpiry(cur, r.Epoch)
		return false, true
	}
	s.putTarget(r)
	s.addRumour(true, string(id), from)
	return false, false
}

// refutes reports whether this node has evidence against the expiry of a
// target's lease in r: a renewal of the same announced state within the lease.
func (s *State) refutes(cur *targetEntry, r TargetRecord) bool {
	sameState := !r.Announcement.Supersedes(cur.Announcement)
	return r.Expired && sameState && s.now.Sub(cur.renewedAt) < cur.lease()
}

// wireRecord returns the record as sent to peers, with GoneMS up to date.
func (t *targetEntry) wireRecord(now time.Time) TargetRecord {
	r := t.TargetRecord
	if r.State() == api.TargetGone {
		r.GoneMS = now.Sub(t.goneAt).Milliseconds()
	}
	return r
}
