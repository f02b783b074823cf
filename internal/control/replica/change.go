package replica

import "time"

// Change is one step of a membership change: one of the types in this file.
type Change interface{ change() }

// AddLearner adds a learner, in place of other learners with its ID.
type AddLearner struct{ Member Member }

// Promote makes a learner a voter.
type Promote struct{ Identity Identity }

// Remove removes a member.
type Remove struct{ Identity Identity }

func (AddLearner) change() {}
func (Promote) change()    {}
func (Remove) change()     {}

// changeMembers appends the new membership if the step is safe.
func (s *State) changeMembers(e ChangeMembers) {
	next, reason := s.planChange(e.Change)
	if reason != "" {
		s.emit(Refused{ID: e.ID, Reason: reason})
		return
	}
	index := s.log.last() + 1
	s.emit(Accepted{ID: e.ID, Index: index, Term: s.hardState.Term})
	s.members = next
	s.membersIndex = index
	s.followMembers()
	s.appendOwn([]Entry{{Kind: EntryMembership, Membership: &next}})
}

// planChange returns the membership after a change, or the reason why the
// change must not be made now. If two memberships differ by one voter, any
// majority of one overlaps any majority of the other; that is safe only if the
// earlier membership is committed before the next change starts, and if the
// leader has first committed an entry of its own term.
func (s *State) planChange(change Change) (Membership, RefusalReason) {
	switch {
	case s.role != RoleLeader || s.lead.transferring:
		return Membership{}, RefusedNotLeader
	case s.membersIndex > s.commit:
		return Membership{}, RefusedPending
	case !s.committedOwnTerm():
		return Membership{}, RefusedTermNotCommitted
	}
	next, reason := s.applyChange(change)
	if reason == "" && !s.hasLiveQuorum(next) {
		reason = RefusedNoQuorum
	}
	return next, reason
}

func (s *State) applyChange(change Change) (Membership, RefusalReason) {
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
		return Membership{}, RefusedNotLearner
	}
	next := s.members
	for _, other := range s.members.Members {
		if other.Identity.ID == member.Identity.ID && !other.Voter {
			next = next.without(other.Identity)
		}
	}
	return next.with(member), ""
}

// promoted returns the membership in which a learner is a voter. The learner
// must hold everything committed: a voter that lags makes the group wait, and a
// second loss would then stop the group.
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

// hasLiveQuorum reports whether enough of the new voters have replied recently.
// A change that cannot be committed cannot be undone either, and blocks every
// later one.
func (s *State) hasLiveQuorum(next Membership) bool {
	live := 0
	for _, id := range next.Voters() {
		if s.recentlyActive(id) {
			live++
		}
	}
	return live >= next.Quorum()
}

func (s *State) recentlyActive(id Identity) bool {
	if id == s.cfg.Self {
		return true
	}
	p := s.lead.progress[id]
	return p != nil && p.round > 0 && s.now-p.lastReply <= s.cfg.ElectionTimeout
}

// MemberProgress is the state of a member as known to the leader.
type MemberProgress struct {
	Member Member
	Match  uint64
	// Active reports whether the member replied within the election timeout.
	Active bool
	// SinceReplyMS is the time in milliseconds since the member's last reply,
	// or -1 if it has not replied.
	SinceReplyMS int64
	// SilentFor is the time since the member's last reply or, if it has not
	// replied, since the leader began to track it; 0 for this replica itself.
	SilentFor time.Duration
}

// Members returns the progress of each member. Only a leader knows it: on a
// follower, only the membership itself is filled in.
func (s *State) Members() []MemberProgress {
	out := make([]MemberProgress, 0, len(s.members.Members))
	for _, member := range s.members.Members {
		known := MemberProgress{Member: member, SinceReplyMS: -1}
		p := s.lead.progress[member.Identity]
		switch {
		case member.Identity == s.cfg.Self && s.role == RoleLeader:
			known.Match, known.Active, known.SinceReplyMS = s.disk.stable, true, 0
		case p != nil && p.round > 0:
			known.Match, known.Active = p.match, s.recentlyActive(member.Identity)
			known.SinceReplyMS = (s.now - p.lastReply).Milliseconds()
		}
		if p != nil {
			known.SilentFor = s.now - p.lastReply
		}
		out = append(out, known)
	}
	return out
}
