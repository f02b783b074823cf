package replica

import "time"

// Change is one step of a membership change: one of the types of this file.
type Change interface{ change() }

// AddLearner brings in a learner, in place of other learners with its id.
type AddLearner struct{ Member Member }

// Promote makes a learner a voter.
type Promote struct{ Identity Identity }

// Remove takes a member out.
type Remove struct{ Identity Identity }

func (AddLearner) change() {}
func (Promote) change()    {}
func (Remove) change()     {}

// changeMembers appends the new membership when the step is safe.
func (s *State) changeMembers(e ChangeMembers) {
	next, reason := s.plan(e.Change)
	if reason != "" {
		s.emit(Refused{ID: e.ID, Reason: reason})
		return
	}
	index := s.log.last() + 1
	s.emit(Accepted{ID: e.ID, Index: index, Term: s.hard.Term})
	s.members = next
	s.membersIndex = index
	s.followMembers()
	s.appendOwn([]Entry{{Kind: EntryMembership, Membership: &next}})
}

// plan returns the membership after a change, or why it must not be made now.
// Two memberships that differ by one voter have a member in common in any two
// majorities; that holds only if the earlier one is committed before the next
// one starts, and if the leader has committed an entry of its term first.
func (s *State) plan(change Change) (Membership, RefusalReason) {
	switch {
	case s.role != RoleLeader || s.lead.leaving:
		return Membership{}, RefusedNotLeader
	case s.membersIndex > s.commit:
		return Membership{}, RefusedPending
	case !s.committedOwnTerm():
		return Membership{}, RefusedNewTerm
	}
	next, reason := s.changed(change)
	if reason == "" && !s.liveQuorum(next) {
		reason = RefusedNoQuorum
	}
	return next, reason
}

func (s *State) changed(change Change) (Membership, RefusalReason) {
	switch c := change.(type) {
	case AddLearner:
		return s.withLearner(c.Member)
	case Promote:
		return s.promoted(c.Identity)
	case Remove:
		return s.removed(c.Identity)
	}
	return Membership{}, RefusedUnknown
}

func (s *State) withLearner(member Member) (Membership, RefusalReason) {
	if _, ok := s.members.Find(member.Identity); ok {
		return Membership{}, RefusedIsMember
	}
	if member.Voter {
		return Membership{}, RefusedVoterFirst
	}
	next := s.members
	for _, other := range s.members.Members {
		if other.Identity.ID == member.Identity.ID && !other.Voter {
			next = next.without(other.Identity)
		}
	}
	return next.with(member), ""
}

// promoted makes a learner a voter only when it holds everything committed: a
// voter that lags makes the group wait, and a second loss then stops it.
func (s *State) promoted(id Identity) (Membership, RefusalReason) {
	member, ok := s.members.Find(id)
	if !ok {
		return Membership{}, RefusedUnknown
	}
	if member.Voter {
		return Membership{}, RefusedIsMember
	}
	if s.lead.progress[id].match < s.commit {
		return Membership{}, RefusedBehind
	}
	member.Voter = true
	return s.members.with(member), ""
}

func (s *State) removed(id Identity) (Membership, RefusalReason) {
	if _, ok := s.members.Find(id); !ok {
		return Membership{}, RefusedUnknown
	}
	next := s.members.without(id)
	if len(next.Voters()) == 0 {
		return Membership{}, RefusedLastVoter
	}
	return next, ""
}

// liveQuorum reports whether enough of the new voters were heard lately. A
// change that can't be committed can't be taken back either, and blocks every
// later one.
func (s *State) liveQuorum(next Membership) bool {
	live := 0
	for _, id := range next.Voters() {
		if s.heardLately(id) {
			live++
		}
	}
	return live >= next.Quorum()
}

func (s *State) heardLately(id Identity) bool {
	if id == s.cfg.Self {
		return true
	}
	p := s.lead.progress[id]
	return p != nil && p.round > 0 && s.now-p.heard <= s.cfg.ElectionTimeout
}

// MemberProgress is what a leader knows of a member.
type MemberProgress struct {
	Member Member
	Match  uint64
	// Heard tells whether the member answered within the election timeout.
	Heard bool
	// SilentMS is the time in milliseconds since it answered, -1 for never.
	SilentMS int64
	// Silent is the time since it answered or, if it hasn't, since this
	// replica began to lead it; 0 for this replica itself.
	Silent time.Duration
}

// Members returns what the replica knows of each member; a follower knows
// nothing of the others' progress.
func (s *State) Members() []MemberProgress {
	out := make([]MemberProgress, 0, len(s.members.Members))
	for _, member := range s.members.Members {
		known := MemberProgress{Member: member, SilentMS: -1}
		p := s.lead.progress[member.Identity]
		switch {
		case member.Identity == s.cfg.Self && s.role == RoleLeader:
			known.Match, known.Heard, known.SilentMS = s.disk.stable, true, 0
		case p != nil && p.round > 0:
			known.Match, known.Heard = p.match, s.heardLately(member.Identity)
			known.SilentMS = (s.now - p.heard).Milliseconds()
		}
		if p != nil {
			known.Silent = s.now - p.heard
		}
		out = append(out, known)
	}
	return out
}
