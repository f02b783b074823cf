// Package repair decides how the control group mends itself: which newcomer
// becomes a learner, which learner a voter, and which lost voter is removed. It
// is pure and runs at the leader.
package repair

import (
	"slices"
	"strings"
	"time"

	"wigeonbay/internal/control/replica"
)

// Policy fixes what the group is to become.
type Policy struct {
	// Voters is the number of voters wanted: twice the number of replicas that
	// may be lost at once, and one.
	Voters int
	// LostAfter is how long a voter must be silent before a learner takes its
	// place. A restart must fit in: each replacement is one synced log entry
	// and leaves the group smaller until the next one.
	LostAfter time.Duration
	// ForgetAfter is how long a learner must be silent before it is removed.
	ForgetAfter time.Duration
}

// Next returns the next change of the membership, or nil when none is due.
// committed tells that the last change is; commit is the leader's commit index.
//
// A voter under an earlier incarnation of a known id has lost its disk: a whole
// group removes it before its successor is promoted, since a group of four voters with
// one that never returns stops with the next loss. Nothing is removed unless a
// learner that holds everything committed can take its place.
func (p Policy) Next(members []replica.MemberProgress, candidates []replica.Member, commit uint64, committed bool) replica.Change {
	if !committed {
		return nil
	}
	if next := newcomer(members, candidates); next != nil {
		return replica.AddLearner{Member: *next}
	}
	ready := readyLearners(members, commit)
	if len(ready) > 0 {
		if lost := p.lostVoter(members, candidates); lost != nil {
			return replica.Remove{Identity: lost.Member.Identity}
		}
		if countVoters(members) < p.Voters {
			return replica.Promote{Identity: ready[0].Member.Identity}
		}
	}
	if lost := p.lostLearner(members); lost != nil {
		return replica.Remove{Identity: lost.Member.Identity}
	}
	return nil
}

// newcomer returns the first candidate that isn't a member.
func newcomer(members []replica.MemberProgress, candidates []replica.Member) *replica.Member {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b replica.Member) int { return strings.Compare(a.Identity.ID, b.Identity.ID) })
	for i := range sorted {
		if find(members, sorted[i].Identity) == nil {
			return &sorted[i]
		}
	}
	return nil
}

// readyLearners returns the learners that answer and hold everything committed,
// those that succeed a voter of their own id first.
func readyLearners(members []replica.MemberProgress, commit uint64) []replica.MemberProgress {
	var ready []replica.MemberProgress
	for _, m := range members {
		if !m.Member.Voter && m.Active && m.Match >= commit {
			ready = append(ready, m)
		}
	}
	slices.SortFunc(ready, func(a, b replica.MemberProgress) int {
		return strings.Compare(a.Member.Identity.ID, b.Member.Identity.ID)
	})
	return ready
}

// lostVoter returns a voter that can't come back under its identity, or one
// that has been silent for too long. A group that isn't whole loses no voter:
// its quorum would be fewer synced copies than the tolerated losses need. There
// the learner is promoted first.
func (p Policy) lostVoter(members []replica.MemberProgress, candidates []replica.Member) *replica.MemberProgress {
	if countVoters(members) < p.Voters {
		return nil
	}
	for i := range members {
		m := &members[i]
		if m.Member.Voter && !m.Active && reincarnated(m.Member.Identity, members, candidates) {
			return m
		}
	}
	for i := range members {
		m := &members[i]
		if m.Member.Voter && !m.Active && m.SilentFor >= p.LostAfter {
			return m
		}
	}
	return nil
}

// reincarnated reports whether another incarnation of a replica is known.
func reincarnated(id replica.Identity, members []replica.MemberProgress, candidates []replica.Member) bool {
	for _, m := range members {
		if m.Member.Identity.ID == id.ID && m.Member.Identity != id {
			return true
		}
	}
	return slices.ContainsFunc(candidates, func(c replica.Member) bool {
		return c.Identity.ID == id.ID && c.Identity != id
	})
}

func (p Policy) lostLearner(members []replica.MemberProgress) *replica.MemberProgress {
	for i := range members {
		m := &members[i]
		if !m.Member.Voter && !m.Active && m.SilentFor >= p.ForgetAfter {
			return m
		}
	}
	return nil
}

func countVoters(members []replica.MemberProgress) int {
	count := 0
	for _, m := range members {
		if m.Member.Voter {
			count++
		}
	}
	return count
}

func find(members []replica.MemberProgress, id replica.Identity) *replica.MemberProgress {
	for i := range members {
		if members[i].Member.Identity == id {
			return &members[i]
		}
	}
	return nil
}
