package replica

import "fmt"

// Step takes one event, changes the state and returns what is to be done, in
// order. It is deterministic.
func (s *State) Step(event Event) []Effect {
	s.out = nil
	switch e := event.(type) {
	case Tick:
		s.tick(e)
	case Receive:
		s.receive(e.Message)
	case Persisted:
		s.persisted(e.Seq)
	case Found:
		s.found(e.Membership)
	case Propose:
		s.propose(e.Proposals)
	case ChangeMembers:
		s.changeMembers(e)
	case Read:
		s.read(e.ID)
	case StepAside:
		s.stepAside()
	case SnapshotSaved:
		s.snapshotSaved(e)
	case SnapshotSent:
		s.snapshotSent(e.To)
	default:
		panic(fmt.Sprintf("replica: unknown event %T", event))
	}
	s.apply()
	out := s.out
	s.out = nil
	return out
}

func (s *State) tick(e Tick) {
	s.now = max(s.now, e.Now)
	if s.role == RoleLeader {
		s.tickLeader()
	} else {
		s.tickFollower(e.Jitter)
	}
	s.expireReads()
}

func (s *State) receive(m Message) {
	if m.To != s.cfg.Self || !s.sameGroup(m.Group) {
		return
	}
	if request, ok := m.Body.(VoteRequest); ok && request.Pre {
		s.answerPreVote(m, request)
		return
	}
	if reply, ok := m.Body.(VoteReply); ok && reply.Pre && reply.Granted {
		// Carries the term that was asked about, which nobody has entered.
		s.countVote(m, reply)
		return
	}
	if m.Term > s.hard.Term {
		s.enterTerm(m.Term)
	}
	if m.Term < s.hard.Term {
		s.answerStale(m)
		return
	}
	s.dispatch(m)
}

// sameGroup drops messages of a group founded apart from this one under the
// same settings: their logs have nothing in common but index and term.
func (s *State) sameGroup(group string) bool {
	return group == "" || s.members.Group == "" || group == s.members.Group
}

func (s *State) dispatch(m Message) {
	switch body := m.Body.(type) {
	case VoteRequest:
		s.answerVote(m, body)
	case VoteReply:
		s.countVote(m, body)
	case AppendRequest:
		s.answerAppend(m, body)
	case AppendReply:
		s.appendReply(m, body)
	case SnapshotRequest:
		s.installSnapshot(m, body)
	case TakeOver:
		s.takeOver(m)
	case ReadRequest:
		s.readRequest(m, body)
	case ReadReply:
		s.readReply(m, body)
	}
}

// answerStale tells the sender of an older term that the term has passed. A
// leader that was cut off else goes on believing in itself until it misses its
// quorum.
func (s *State) answerStale(m Message) {
	switch body := m.Body.(type) {
	case AppendRequest:
		s.sendSynced(m.From, AppendReply{Rejected: true, PrevIndex: body.PrevIndex})
	case SnapshotRequest:
		s.sendSynced(m.From, AppendReply{Rejected: true})
	case VoteRequest:
		s.sendSynced(m.From, VoteReply{})
	case ReadRequest:
		s.send(m.From, ReadReply{ID: body.ID, Boot: body.Boot})
	}
}

// enterTerm moves to a later term as a follower without a leader.
func (s *State) enterTerm(term uint64) {
	s.hard = HardState{Term: term}
	s.persistHardState()
	s.becomeFollower(Identity{})
}

func (s *State) becomeFollower(leader Identity) {
	if s.role != RoleFollower || s.leader != leader {
		s.failReads()
	}
	s.role = RoleFollower
	s.leader = leader
	s.received = 0
	s.votes = nil
	s.lead = leaderState{}
}

// found makes the group's first entry. The other replicas get it from the
// leader that is then elected, under the incarnations that it names.
func (s *State) found(members Membership) {
	if s.log.last() > 0 || s.hard.Term > 0 {
		return
	}
	s.hard.Term = foundingTerm
	first := Entry{Index: 1, Term: foundingTerm, Kind: EntryMembership, Membership: &members}
	s.log.append([]Entry{first})
	s.members, s.membersIndex = members, first.Index
	hard := s.hard
	s.persist(Persist{HardState: &hard, Entries: []Entry{first}})
}

// persisted counts synced writes and lets go what waited for them.
func (s *State) persisted(seq uint64) {
	s.disk.done = max(s.disk.done, seq)
	for len(s.disk.writes) > 0 && s.disk.writes[0].seq <= seq {
		s.disk.stable = max(s.disk.stable, s.disk.writes[0].last)
		s.disk.writes = s.disk.writes[1:]
	}
	for len(s.disk.waiting) > 0 && s.disk.waiting[0].seq <= seq {
		held := s.disk.waiting[0]
		s.disk.waiting = s.disk.waiting[1:]
		if held.effect != nil {
			s.emit(held.effect)
			continue
		}
		s.ownVote(held.voteTerm)
	}
	if s.role == RoleLeader {
		s.advanceCommit()
	}
}

// apply hands over what is committed and synced here. An entry that is applied
// but not synced could enter a snapshot that reaches past the log on the disk.
func (s *State) apply() {
	high := min(s.commit, s.disk.stable)
	if high > s.applied {
		entries := s.log.between(s.applied, high)
		s.applied = high
		s.emit(Apply{Entries: entries})
	}
	s.noteOwnCurrent()
	s.finishReads()
}

// noteOwnCurrent moves currentAt forward. What a quorum confirmed counts only
// once the commit index of that time is applied here: a replica with a slow
// disk else calls itself current while it serves something older.
func (s *State) noteOwnCurrent() {
	if s.applied >= s.pendingCurrentCommit {
		s.currentAt = max(s.currentAt, s.pendingCurrent)
	}
	if s.role == RoleLeader && s.committedOwnTerm() && s.applied >= s.commit {
		s.currentAt = max(s.currentAt, s.quorumSentAt())
	}
}
