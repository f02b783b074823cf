// Package repair decides how the control group repairs its membership: which
// new replica becomes a learner, which learner is promoted to voter, and which
// lost voter is removed. It is free of state and I/O and runs on the leader.
package repair

import (
	"slices"
	"strings"
	"time"

	"wigeonbay/internal/control/replica"
)

// Policy sets the size of the group and when silent members are removed.
type Policy struct {
	// Voters is the wanted number of voters: 2n+1 if the group is to tolerate
	// the loss of n replicas at once.
	Voters int
	// LostAfter is how long a voter must be silent before a learner replaces
	// it. It must be longer than a restart: each removal of a voter is one
	// synced log entry and leaves the group smaller until the learner is
	// promoted.
	LostAfter time.Duration
	// ForgetAfter is how long a learner must be silent before it is removed.
	ForgetAfter time.Duration
}

// Next returns the next membership change, or nil if none is due. committed
// tells whether the last change is committed; commit is the leader's commit
// index.
//
// A voter under an earlier incarnation of a known ID has lost its disk. A group
// with all wanted voters removes it before its successor is promoted, since a
// group of four voters with one that never returns stops with the next loss. No
// voter is removed unless a learner that holds everything committed can take
// its place.
func (p Policy) Next(members []replica.MemberProgress, candidates []replica.Member, commit uint64, committed bool) replica.Change {
	if !committed {
		return nil
	}
	if next := newCandidate(members, candidates); next != nil {
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

// newCandidate returns the first candidate, in the order of IDs, that isn't a
// member.
func newCandidate(members []replica.MemberProgress, candidates []replica.Member) *replica.Member {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b replica.Member) int { return strings.Compare(a.Identity.ID, b.Identity.ID) })
	for i := range sorted {
		if find(members, sorted[i].Identity) == nil {
			return &sorted[i]
		}
	}
	return nil
}

// readyLearners returns the learners that are active and hold everything
// committed, in the order of their IDs.
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

// lostVoter returns a voter that can't come back under its identity, or else
// one that has been silent for too long. A group with fewer voters than wanted
// removes none: its quorum would then be fewer synced copies than the tolerated
// losses require. Such a group promotes the learner first.
func (p Policy) lostVoter(members []replica.MemberProgress, candidates []replica.Member) *replica.MemberProgress {
	if countVoters(members) < p.Voters {
		return nil
	}
	for i := range members {
		m := &members[i]
		if m.Member.Voter && !m.Active && hasOtherIncarnation(m.Member.Identity, members, candidates) {
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

// hasOtherIncarnation reports whether another incarnation of a replica is
// known.
func hasOtherIncarnation(id replica.Identity, members []replica.MemberProgress, candidates []replica.Member) bool {
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
