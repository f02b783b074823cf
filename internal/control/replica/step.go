package replica

import "fmt"

// Step processes one event, updates the state and returns the resulting effects
// in order. It is deterministic.
func (s *State) Step(event Event) []Effect {
	s.effects = nil
	switch e := event.(type) {
	case Tick:
		s.tick(e)
	case Receive:
		s.receive(e.Message)
	case Persisted:
		s.persisted(e.Seq)
	case Bootstrap:
		s.bootstrap(e.Membership)
	case Propose:
		s.propose(e.Proposals)
	case ChangeMembers:
		s.changeMembers(e)
	case Read:
		s.read(e.ID)
	case TransferLeadership:
		s.transferLeadership()
	case SnapshotSaved:
		s.snapshotSaved(e)
	case SnapshotSent:
		s.snapshotSent(e.To)
	default:
		panic(fmt.Sprintf("replica: unknown event %T", event))
	}
	s.apply()
	effects := s.effects
	s.effects = nil
	return effects
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
		// A granted pre-vote carries the term of the intended election, which
		// no replica has entered yet.
		s.countVote(m, reply)
		return
	}
	if m.Term > s.hardState.Term {
		s.enterTerm(m.Term)
	}
	if m.Term < s.hardState.Term {
		s.answerStale(m)
		return
	}
	s.dispatch(m)
}

// sameGroup reports whether a message may belong to this group. Another group
// may have been bootstrapped under the same settings; equal indexes and terms
// then do not mean equal entries.
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
		s.handleAppendReply(m, body)
	case SnapshotRequest:
		s.installSnapshot(m, body)
	case TakeOver:
		s.handleTakeOver(m)
	case ReadRequest:
		s.handleReadRequest(m, body)
	case ReadReply:
		s.handleReadReply(m, body)
	}
}

// answerStale tells the sender of a message of an older term that the term has
// passed. Otherwise, a leader that was cut off would stay leader until it
// misses its quorum.
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
	s.hardState = HardState{Term: term}
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

// bootstrap appends the group's first entry, which names the other replicas
// with their incarnations. They receive it from the leader that is then
// elected.
func (s *State) bootstrap(members Membership) {
	if s.log.last() > 0 || s.hardState.Term > 0 {
		return
	}
	s.hardState.Term = bootstrapTerm
	first := Entry{Index: 1, Term: bootstrapTerm, Kind: EntryMembership, Membership: &members}
	s.log.append([]Entry{first})
	s.members, s.membersIndex = members, first.Index
	hardState := s.hardState
	s.persist(Persist{HardState: &hardState, Entries: []Entry{first}})
}

// persisted records synced writes and carries out what was deferred until then.
func (s *State) persisted(seq uint64) {
	s.disk.synced = max(s.disk.synced, seq)
	for len(s.disk.writes) > 0 && s.disk.writes[0].seq <= seq {
		s.disk.stable = max(s.disk.stable, s.disk.writes[0].last)
		s.disk.writes = s.disk.writes[1:]
	}
	for len(s.disk.deferred) > 0 && s.disk.deferred[0].seq <= seq {
		held := s.disk.deferred[0]
		s.disk.deferred = s.disk.deferred[1:]
		if held.effect != nil {
			s.emit(held.effect)
			continue
		}
		s.countOwnVote(held.voteTerm)
	}
	if s.role == RoleLeader {
		s.advanceCommit()
	}
}

// apply emits the entries that are committed and synced on this replica. An
// entry that is applied but not synced could enter a snapshot that extends past
// the log on disk.
func (s *State) apply() {
	high := min(s.commit, s.disk.stable)
	if high > s.applied {
		entries := s.log.entriesBetween(s.applied, high)
		s.applied = high
		s.emit(Apply{Entries: entries})
	}
	s.advanceCurrentAt()
	s.finishReads()
}

// advanceCurrentAt advances currentAt. A quorum's confirmation counts only once
// the commit index of that time is applied here; otherwise, a replica with a
// slow disk would report itself as current while serving older state.
func (s *State) advanceCurrentAt() {
	if s.applied >= s.pendingCurrentCommit {
		s.currentAt = max(s.currentAt, s.pendingCurrent)
	}
	if s.role == RoleLeader && s.committedOwnTerm() && s.applied >= s.commit {
		s.currentAt = max(s.currentAt, s.quorumSentAt())
	}
}
