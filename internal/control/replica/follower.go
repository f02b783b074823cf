package replica

import "slices"

// answerAppend processes an AppendRequest from the leader of the term.
func (s *State) answerAppend(m Message, request AppendRequest) {
	s.recordLeader(m.From)
	if !s.matches(request.PrevIndex, request.PrevTerm) {
		reply := s.reply(request)
		reply.Rejected = true
		reply.PrevIndex = request.PrevIndex
		reply.Hint = s.conflictHint(request.PrevIndex)
		s.answerBeforeSync(m.From, reply)
		return
	}
	s.appendMissing(request.Entries)
	match := request.PrevIndex + uint64(len(request.Entries))
	s.commit = max(s.commit, min(request.Commit, match))
	s.recordPendingCurrent(request)
	s.received = max(s.received, match)
	reply := s.reply(request)
	reply.Match = match
	if len(request.Entries) == 0 {
		s.answerBeforeSync(m.From, reply)
		return
	}
	s.sendSynced(m.From, reply)
}

// answerBeforeSync replies without waiting for entries that are still being
// written; otherwise, the leader of a group with slow disks would miss its
// quorum and step down. Match still covers only synced entries. The term must
// be synced first: if a crash lost it, an earlier leader could truncate entries
// acknowledged here.
func (s *State) answerBeforeSync(leader Identity, reply AppendReply) {
	if s.disk.hardStateSeq > s.disk.synced {
		s.sendSynced(leader, reply)
		return
	}
	if !reply.Rejected {
		// Acknowledge everything synced, since an earlier acknowledgement may
		// be lost.
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

// recordLeader records contact with the leader of the term and restarts the
// election timer.
func (s *State) recordLeader(leader Identity) {
	if s.role != RoleFollower || s.leader != leader {
		s.becomeFollower(leader)
	}
	s.electionTimerStart = s.now
	s.leaderSeen = true
}

// matches reports whether the log holds the entry at index with term. Entries
// before the log's base are committed and match every leader's log.
func (s *State) matches(index, term uint64) bool {
	if index < s.log.base {
		return true
	}
	own, ok := s.log.term(index)
	return ok && own == term
}

// conflictHint returns the highest index that may match if the entry at prev
// does not: the end of a shorter log, or the index before the conflicting term,
// so that each round trip skips a whole term.
func (s *State) conflictHint(prev uint64) uint64 {
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

// appendMissing appends the entries that the log lacks. Entries that it already
// holds are left alone: a delayed request must not truncate the entries after
// them.
func (s *State) appendMissing(entries []Entry) {
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
		s.truncateStable(first)
	}
	s.log.append(entries)
	if conflict || slices.ContainsFunc(entries, isMembership) {
		s.members, s.membersIndex = s.log.membership()
	}
	s.persist(Persist{Entries: entries})
}

func isMembership(entry Entry) bool { return entry.Kind == EntryMembership }

// recordPendingCurrent records the time that the leader confirmed. It becomes
// currentAt once the request's commit index is applied.
func (s *State) recordPendingCurrent(request AppendRequest) {
	if request.CurrentBoot == s.cfg.Boot && request.Current > s.pendingCurrent {
		s.pendingCurrent = request.Current
		s.pendingCurrentCommit = request.Commit
	}
}

// installSnapshot processes a snapshot from a leader that no longer holds the
// entries that this replica lacks.
func (s *State) installSnapshot(m Message, request SnapshotRequest) {
	s.recordLeader(m.From)
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

// restore replaces the state with a snapshot. It keeps the entries after the
// snapshot if the log holds the snapshot's last entry: they may be acknowledged
// already.
func (s *State) restore(snapshot Snapshot) {
	meta := snapshot.Meta
	term, ok := s.log.term(meta.Index)
	keep := ok && term == meta.Term
	if keep {
		s.log.snapshotMeta = meta
		s.log.compact(meta.Index)
	} else {
		s.truncateStable(s.log.base + 1)
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
	if !ok || e.Index > s.applied || e.Index <= s.log.snapshotMeta.Index {
		return
	}
	members := s.MembershipAt(e.Index)
	s.log.snapshotMeta = SnapshotMeta{Index: e.Index, Term: term, Membership: members}
	s.log.compact(min(e.KeepFrom, e.Index+1) - 1)
}
