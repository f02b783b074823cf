package membership

import (
	"time"

	"wigeonbay/internal/api"
)

// MemberState is the state of an entry node in the membership.
type MemberState uint8

// States of a member, in increasing precedence among records of the same
// incarnation.
const (
	// MemberAlive is a member that no member suspects.
	MemberAlive MemberState = iota
	// MemberSuspect is a member that did not answer probes; it can still refute
	// the suspicion.
	MemberSuspect
	// MemberDead is a member that did not refute a suspicion in time.
	MemberDead
	// MemberLeft is a member that announced its leave.
	MemberLeft
)

// StateUnreachable is the state shown for a member of a data centre that no
// bridge of this data centre hears from. It is a local view and is never sent
// to peers.
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
// incarnation: at a start, to refute a suspicion, and when its own information
// changes.
type Member struct {
	ID          string
	Address     string
	DataCentre  string
	Region      string
	Incarnation uint64
	State       MemberState
	// Unreached lists the data centres from which the member, as a bridge of
	// its own data centre, hears nothing.
	Unreached []string
	// EndedMS is how long before the record was sent the member was found dead
	// or left, in milliseconds. It lets all nodes drop the record at about the
	// same time.
	EndedMS int64
}

// Supersedes reports whether m is newer than other, a record of the same
// member.
func (m Member) Supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.State > other.State
}

// Listed reports whether the member counts as a current node: alive or
// suspected.
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

// memberEntry is a Member with the state that this node keeps about it.
type memberEntry struct {
	Member
	// heardAt is when a message from the member last arrived.
	heardAt time.Time
	// suspectAt is when the suspicion's timeout started at this node.
	suspectAt time.Time
	// endedAt is when the member was found dead or left.
	endedAt time.Time
	// suspectedHere is set when this node started the suspicion.
	suspectedHere bool
	// notifiedAt is when this node last told the member that it is believed
	// suspect or dead.
	notifiedAt time.Time
	// score is the hash of the member's id that enters the rendezvous hashes
	// for bridges, owners and contacts.
	score uint64
}
