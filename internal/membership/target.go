package membership

import (
	"time"

	"wigeonbay/internal/api"
)

// TargetRecord is the record of a target that entry nodes spread: its newest
// announcement, and what they have found out since about the announced state.
type TargetRecord struct {
	Announcement api.Announcement
	// Epoch is raised by each change to the record of one announced state: the
	// lease expired, a renewal came after all, or a reply carried a later state.
	// It orders these changes under one incarnation and sequence.
	Epoch uint32
	// Expired is set when the target's lease has expired without a renewal.
	Expired bool
	// Reported is a later state taken from the header of a target's reply,
	// empty for none.
	Reported api.TargetState
	// GoneMS is how long before the record was sent the target was found gone,
	// in milliseconds. It lets all nodes drop the record at about the same time.
	GoneMS int64
}

// State returns the target's state: gone after an expiry, else the reported
// state if there is one, else the announced state.
func (r TargetRecord) State() api.TargetState {
	if r.Expired {
		return api.TargetGone
	}
	if r.Reported != "" {
		return r.Reported
	}
	return r.Announcement.State
}

// Supersedes reports whether r is newer than other, a record of the same
// target: by the announcement, then by the epoch. At the same epoch the state
// that comes later in the lifecycle of the process wins.
func (r TargetRecord) Supersedes(other TargetRecord) bool {
	if r.Announcement.Supersedes(other.Announcement) {
		return true
	}
	if other.Announcement.Supersedes(r.Announcement) {
		return false
	}
	if r.Epoch != other.Epoch {
		return r.Epoch > other.Epoch
	}
	return stateRank(r.State()) > stateRank(other.State())
}

// Effective returns the announcement with the state that State returns.
func (r TargetRecord) Effective() api.Announcement {
	a := r.Announcement
	a.State = r.State()
	return a
}

// stateRank orders states by their place in the lifecycle of a target's process.
func stateRank(s api.TargetState) int {
	switch s {
	case api.TargetStarting:
		return 0
	case api.TargetWarming:
		return 1
	case api.TargetReady:
		return 2
	case api.TargetDraining:
		return 3
	default:
		return 4
	}
}

// targetEntry is a TargetRecord with the state that this node keeps about it.
type targetEntry struct {
	TargetRecord
	// renewedAt is when this node last had evidence that the target's process
	// is in the announced state.
	renewedAt time.Time
	// graceStart is when this node started to wait for a renewal without
	// evidence of one: it became an owner, stored the record, or resumed from a
	// pause or isolation.
	graceStart time.Time
	// leaseCheckedAt is when this node, as an owner, asked others for a renewal
	// that it may have missed; zero when it has not.
	leaseCheckedAt time.Time
	// owned is set when this node was an owner at the last scan.
	owned bool
	// owners caches the owners of the lease, for ownersVersion of the members.
	owners        []*memberEntry
	ownersVersion uint64
	// goneAt is when the target was found gone.
	goneAt time.Time
}

// lease returns the time that the target may go without a renewal.
func (r TargetRecord) lease() time.Duration {
	return time.Duration(r.Announcement.LeaseMS) * time.Millisecond
}
