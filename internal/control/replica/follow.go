package replica

import "slices"

// answerAppend takes entries from the leader of the term.
func (s *State) answerAppend(m Message, request AppendRequest) {
	s.heard(m.From)
	if !s.matches(request.PrevIndex, request.PrevTerm) {
		reply := s.reply(request)
		reply.Rejected = true
		reply.PrevIndex = request.PrevIndex
		reply.Hint = s.hint(request.PrevIndex)
		s.answerNow(m.From, reply)
		return
	}
	s.take(request.Entries)
	match := request.PrevIndex + uint64(len(request.Entries))
	s.commit = max(s.commit, min(request.Commit, match))
	s.noteCurrent(request)
	s.received = max(s.received, match)
	reply := s.reply(request)
	reply.Match = match
	if len(request.Entries) == 0 {
		s.answerNow(m.From, reply)
		return
	}
	s.sendSynced(m.From, reply)
}

// answerNow answers without waiting for entries on their way to the disk:
// the leader of a group with slow disks would else miss its quorum and step
// down. What it says of the log is synced all the same. The term must be, too:
// forgotten, it would let an earlier leader cut off what is acknowledged here.
func (s *State) answerNow(leader Identity, reply AppendReply) {
	if s.disk.hardSeq > s.disk.done {
		s.sendSynced(leader, reply)
		return
	}
	if !reply.Rejected {
		// All that is synced, since an earlier acknowledgement may be lost.
		reply.Match = min(s.received, s.disk.stable)
	}
	s.send(leader, reply)
}

func (s *State) reply(request AppendRequest) AppendReply {
	return AppendReply{
		Received:  s.received,
		Round:     request.Round,
		SentAt:    request.SentAt,
		RepliedAt: s.now,
		Boot:      s.cfg.Boot,
	}
}

// heard notes a message of the term's leader.
func (s *State) heard(leader Identity) {
	if s.role != RoleFollower || s.leader != leader {
		s.becomeFollower(leader)
	}
	s.electionBase = s.now
	s.heardLeader = true
}

// matches reports whether the log holds the entry at index with term. What is
// committed here matches every leader's log.
func (s *State) matches(index, term uint64) bool {
	if index < s.log.base {
		return true
	}
	own, ok := s.log.term(index)
	return ok && own == term
}

// hint returns the highest index that may match before a conflict: the one
// before the conflicting term, so that each round trip skips a whole term.
func (s *State) hint(prev uint64) uint64 {
	if prev > s.log.last() {
		return s.log.last()
	}
	conflict, _ := s.log.term(prev)
	index := prev
	for index > max(s.commit, s.log.base) {
		index--
		if term, _ := s.log.term(index); term != conflict {
			break
		}
	}
	return index
}

// take appends the entries that the log lacks. Entries that it holds already
// are left alone: a delayed request must not cut off what came after it.
func (s *State) take(entries []Entry) {
	for i, entry := range entries {
		if entry.Index <= s.log.base {
			continue
		}
		term, ok := s.log.term(entry.Index)
		if ok && term == entry.Term {
			continue
		}
		s.replaceFrom(entries[i:], ok)
		return
	}
}

func (s *State) replaceFrom(entries []Entry, conflict bool) {
	first := entries[0].Index
	if first <= s.commit {
		panic("replica: the leader's log conflicts with a committed entry")
	}
	if conflict {
		s.truncated(first)
	}
	s.log.append(entries)
	if conflict || slices.ContainsFunc(entries, isMembership) {
		s.members, s.membersIndex = s.log.membership()
	}
	s.persist(Persist{Entries: entries})
}

func isMembership(entry Entry) bool { return entry.Kind == EntryMembership }

// noteCurrent remembers how current the leader's confirmation makes this
// replica, once the commit index is applied.
func (s *State) noteCurrent(request AppendRequest) {
	if request.CurrentBoot == s.cfg.Boot && request.Current > s.pendingCurrent {
		s.pendingCurrent = request.Current
		s.pendingCurrentCommit = request.Commit
	}
}

// installSnapshot takes the leader's snapshot in place of a log that the
// leader no longer holds.
func (s *State) installSnapshot(m Message, request SnapshotRequest) {
	s.heard(m.From)
	meta := request.Snapshot.Meta
	reply := AppendReply{Round: request.Round, SentAt: request.SentAt, RepliedAt: s.now, Boot: s.cfg.Boot}
	reply.Match = meta.Index
	s.received = max(s.received, meta.Index)
	reply.Received = s.received
	if meta.Index > s.commit {
		s.restore(request.Snapshot)
	}
	s.sendSynced(m.From, reply)
}

// restore keeps the entries after the snapshot when the log holds the
// snapshot's last entry: they may be acknowledged already.
func (s *State) restore(snapshot Snapshot) {
	meta := snapshot.Meta
	term, ok := s.log.term(meta.Index)
	keep := ok && term == meta.Term
	if keep {
		s.log.snap = meta
		s.log.compact(meta.Index)
	} else {
		s.truncated(s.log.base + 1)
		s.log.reset(meta)
	}
	s.commit = meta.Index
	s.applied = meta.Index
	s.members, s.membersIndex = s.log.membership()
	s.persist(Persist{Snapshot: &snapshot, ResetLog: !keep})
	s.emit(Restore{Snapshot: snapshot})
}

// snapshotSaved drops the part of the log that the snapshot replaces.
func (s *State) snapshotSaved(e SnapshotSaved) {
	term, ok := s.log.term(e.Index)
	if !ok || e.Index > s.applied || e.Index <= s.log.snap.Index {
		return
	}
	members := s.MembershipAt(e.Index)
	s.log.snap = SnapshotMeta{Index: e.Index, Term: term, Membership: members}
	s.log.compact(min(e.KeepFrom, e.Index+1) - 1)
}
