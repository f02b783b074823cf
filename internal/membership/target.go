package membership

import (
	"time"

	"wigeonbay/internal/api"
)

// TargetRecord is what spreads of a target: its newest announcement, and what
// entry nodes found since about the state that it announced.
type TargetRecord struct {
	Announcement api.Announcement
	// Epoch is raised by each finding about one announced state: the lease
	// ended, a renewal came after all, or a reply told of another state. It
	// orders the findings under one incarnation and sequence.
	Epoch uint32
	// Expired tells that the target's lease ended without a renewal.
	Expired bool
	// Reported is a later state that the target told with a reply, empty for
	// none.
	Reported api.TargetState
	// GoneMS is the time in milliseconds since the target was found gone, when
	// the record was sent. It lets every node forget the record at about the
	// same time.
	GoneMS int64
}

// State returns the target's state with the findings applied.
func (r TargetRecord) State() api.TargetState {
	if r.Expired {
		return api.TargetGone
	}
	if r.Reported != "" {
		return r.Reported
	}
	return r.Announcement.State
}

// Supersedes reports whether r is newer news than other of the same target: by
// the announcement, then the epoch. Of two findings made at the same epoch the
// one that keeps more work away stands.
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

// Effective returns the announcement with the state that is in force.
func (r TargetRecord) Effective() api.Announcement {
	a := r.Announcement
	a.State = r.State()
	return a
}

// stateRank orders states by how far a target's process has come in its life.
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

// targetEntry is a TargetRecord with this node's own bookkeeping.
type targetEntry struct {
	TargetRecord
	// renewedAt is when this node last had evidence that the target's process
	// holds to the announced state.
	renewedAt time.Time
	// graceFrom is when this node began to wait for a renewal without evidence
	// of one: it became an owner, or took the record in.
	graceFrom time.Time
	// checkedAt is when this node, as an owner, asked the others for a renewal
	// that it may have missed; zero when it hasn't.
	checkedAt time.Time
	// owned tells that this node was an owner at the last scan.
	owned bool
	// owners caches the members that keep the lease, for ownersVersion of the
	// members.
	owners        []*memberEntry
	ownersVersion uint64
	// goneAt is when the target was found gone.
	goneAt time.Time
}

// lease returns the time that the target may go without a renewal.
func (r TargetRecord) lease() time.Duration {
	return time.Duration(r.Announcement.LeaseMS) * time.Millisecond
}
