package membership

import (
	"time"

	"wigeonbay/internal/api"
)

// MemberState is the state of an entry node as the membership sees it.
type MemberState uint8

// States of a member, in the order in which one overrides another of the same
// incarnation.
const (
	// MemberAlive is a member that answers, or that nobody has accused.
	MemberAlive MemberState = iota
	// MemberSuspect is a member that did not answer; it can refute.
	MemberSuspect
	// MemberDead is a member whose suspicion was not refuted in time.
	MemberDead
	// MemberLeft is a member that said that it leaves.
	MemberLeft
)

// StateUnreachable is the state shown for a member of a data centre that no
// node of this data centre can reach. It is a local view and never spreads.
const StateUnreachable = "unreachable"

// String returns the state's name as operators see it.
func (s MemberState) String() string {
	switch s {
	case MemberAlive:
		return "alive"
	case MemberSuspect:
		return "suspect"
	case MemberDead:
		return "dead"
	default:
		return "left"
	}
}

// Member is the record of an entry node. Only the member itself raises its
// incarnation: at a start, to refute a suspicion, and when what it tells of
// itself changes.
type Member struct {
	ID          string
	Address     string
	DataCentre  string
	Region      string
	Incarnation uint64
	State       MemberState
	// Unreached lists the data centres that the member, as a bridge of its own
	// data centre, hears nothing from.
	Unreached []string
	// EndedMS is the time in milliseconds since the member was found dead or
	// left, when the record was sent. It lets every node forget the record at
	// about the same time.
	EndedMS int64
}

// Supersedes reports whether m is newer news than other of the same member.
func (m Member) Supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.State > other.State
}

// Listed reports whether the member counts as one of the system's nodes.
func (m Member) Listed() bool {
	return m.State <= MemberSuspect
}

func (m Member) entry(state string) api.EntryMember {
	return api.EntryMember{
		ID:          m.ID,
		Address:     m.Address,
		DataCentre:  m.DataCentre,
		Incarnation: m.Incarnation,
		State:       state,
	}
}

// memberEntry is a Member with this node's own bookkeeping.
type memberEntry struct {
	Member
	// heardAt is when a message from the member last arrived.
	heardAt time.Time
	// suspectAt is when this node learned of the suspicion.
	suspectAt time.Time
	// endedAt is when the member was found dead or left.
	endedAt time.Time
	// accusedHere tells that the suspicion began at this node.
	accusedHere bool
	// toldAt is when this node last told the member what it is accused of.
	toldAt time.Time
	// score ranks the member as a bridge of its data centre.
	score uint64
}
