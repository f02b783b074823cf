package replica

import (
	"slices"
	"time"
)

// leaderState is the state that only a leader keeps.
type leaderState struct {
	progress map[Identity]*progress
	// round is the number of the last confirmation round.
	round uint64
	// termStart is the index of the first entry of the leader's term.
	termStart     uint64
	electedAt     time.Duration
	lastHeartbeat time.Duration
	// transferring is set during a leadership transfer, and transferSent once
	// TakeOver has been sent. transferStart is when the transfer began.
	transferring  bool
	transferSent  bool
	transferStart time.Duration
}

// progress is the leader's view of one member.
type progress struct {
	// match is the last index that the member has synced, next the next index
	// to send.
	match uint64
	next  uint64
	// probing limits the leader to one request at a time until the logs are
	// known to match. paused is set after such a request, until it is answered
	// or the next heartbeat is due.
	probing bool
	paused  bool
	// snapshotting is set while a snapshot is being sent.
	snapshotting bool
	// inflight holds the last index of each unanswered request with entries.
	inflight []uint64
	// lastEntriesRound is the round in which entries were last sent.
	lastEntriesRound uint64
	// round and sentAt are the highest values that the member has echoed.
	// lastReply is when it last replied or, before that, when the leader began
	// to track it.
	round     uint64
	sentAt    time.Duration
	lastReply time.Duration
	// pendingClock is the member's own time in one of its replies, received at
	// pendingClockAt. It is kept until a quorum confirms it and it becomes
	// confirmedClock: newer replies would otherwise replace it before any is
	// confirmed.
	pendingClock   time.Duration
	boot           uint64
	pendingClockAt time.Duration
	confirmedClock time.Duration
}

func (s *State) becomeLeader() {
	s.role = RoleLeader
	s.leader = s.cfg.Self
	s.votes = nil
	s.lead = leaderState{
		progress:  map[Identity]*progress{},
		termStart: s.log.last() + 1,
		electedAt: s.now,
	}
	s.followMembers()
	// An entry of an earlier term is committed only through one of this term
	// (Raft, section 5.4.2): counting its copies alone could commit an entry
	// that a later leader overwrites.
	s.appendOwn([]Entry{{Kind: EntryNoop}})
	s.heartbeat()
}

// followMembers updates progress to match the membership.
func (s *State) followMembers() {
	for _, member := range s.members.Members {
		if member.Identity == s.cfg.Self || s.lead.progress[member.Identity] != nil {
			continue
		}
		s.lead.progress[member.Identity] = &progress{next: s.log.last() + 1, probing: true, lastReply: s.now}
	}
	for id := range s.lead.progress {
		if _, ok := s.members.Find(id); !ok {
			delete(s.lead.progress, id)
		}
	}
}

// peers returns the other members in the membership's order, so that the order
// of effects is deterministic.
func (s *State) peers() []Identity {
	var out []Identity
	for _, member := range s.members.Members {
		if member.Identity != s.cfg.Self {
			out = append(out, member.Identity)
		}
	}
	return out
}

func (s *State) tickLeader() {
	// A leader without a quorum cannot commit anything. If it stayed leader,
	// callers would wait in vain and other replicas would keep following it.
	if s.now-max(s.quorumSentAt(), s.lead.electedAt) > s.cfg.ElectionTimeout {
		s.electionTimerStart = s.now
		s.becomeFollower(Identity{})
		return
	}
	if s.now-s.lead.transferStart > s.cfg.ElectionTimeout {
		s.lead.transferring, s.lead.transferSent = false, false
	}
	if s.now-s.lead.lastHeartbeat >= s.cfg.Heartbeat {
		s.probeSilentMembers()
		s.heartbeat()
	}
}

// probeSilentMembers returns to probing members that have stopped replying:
// messages may have been lost, and a full window would otherwise never empty.
func (s *State) probeSilentMembers() {
	for _, p := range s.lead.progress {
		if s.now-p.lastReply < s.cfg.ElectionTimeout/2 {
			continue
		}
		s.probe(p)
	}
}

func (s *State) probe(p *progress) {
	p.probing = true
	p.paused = false
	p.inflight = nil
	p.next = p.match + 1
}

// heartbeat starts a confirmation round with every member. Each member is also
// sent the entries that it lacks.
func (s *State) heartbeat() {
	s.lead.lastHeartbeat = s.now
	s.lead.round++
	for _, id := range s.peers() {
		p := s.lead.progress[id]
		if p.probing {
			p.paused = false
		}
		if !s.replicate(id, p) {
			s.sendAppend(id, p, s.heartbeatIndex(p), nil)
		}
	}
}

// heartbeatIndex returns the PrevIndex of a heartbeat without entries: an index
// that is known to match, or the one to probe.
func (s *State) heartbeatIndex(p *progress) uint64 {
	if p.probing && p.next > s.log.base {
		return p.next - 1
	}
	return max(p.match, s.log.base)
}

// replicate sends the entries that the member lacks, as far as its window
// allows, and reports whether it sent any. A member that does not reply gets
// only heartbeats; otherwise, a lost member would cost a batch or a whole
// snapshot with each heartbeat.
func (s *State) replicate(id Identity, p *progress) bool {
	sent := false
	for s.canSendEntries(p) && p.next <= s.log.last() {
		if p.next <= s.log.base {
			if s.recentlyActive(id) {
				s.sendSnapshot(id, p)
			}
			return sent
		}
		entries := s.log.entriesFrom(p.next, s.cfg.MaxBatchEntries, s.cfg.MaxBatchBytes)
		s.sendAppend(id, p, p.next-1, entries)
		p.lastEntriesRound = s.lead.round
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
		p.paused = p.probing
		if p.probing {
			p.next = entries[0].Index
		}
		sent = true
	}
	return sent
}

// canSendEntries reports whether entries may be sent to a member now.
func (s *State) canSendEntries(p *progress) bool {
	if p.paused || p.snapshotting || len(p.inflight) >= s.cfg.MaxInflight {
		return false
	}
	return s.now-p.lastReply <= s.cfg.ElectionTimeout
}

func (s *State) sendAppend(id Identity, p *progress, prev uint64, entries []Entry) {
	term, _ := s.log.term(prev)
	request := AppendRequest{
		PrevIndex:   prev,
		PrevTerm:    term,
		Entries:     entries,
		Commit:      s.commit,
		Round:       s.lead.round,
		SentAt:      s.now,
		Current:     p.confirmedClock,
		CurrentBoot: p.boot,
	}
	s.send(id, request)
}

func (s *State) sendSnapshot(id Identity, p *progress) {
	p.snapshotting = true
	s.emit(SendSnapshot{
		Message: s.message(id, nil),
		Request: SnapshotRequest{Round: s.lead.round, SentAt: s.now},
	})
}

func (s *State) snapshotSent(to Identity) {
	if p := s.lead.progress[to]; p != nil {
		p.snapshotting = false
		s.probe(p)
	}
}

// appendOwn appends entries of the leader's term and sends them to the members.
// The leader's own disk writes run in parallel with the members' (thesis,
// section 10.2.1).
func (s *State) appendOwn(entries []Entry) {
	for i := range entries {
		entries[i].Index = s.log.last() + 1 + uint64(i)
		entries[i].Term = s.hardState.Term
	}
	s.log.append(entries)
	s.persist(Persist{Entries: entries})
	s.replicateToAll()
}

func (s *State) replicateToAll() {
	for _, id := range s.peers() {
		s.replicate(id, s.lead.progress[id])
	}
}

func (s *State) propose(proposals []Proposal) {
	if s.role != RoleLeader || s.lead.transferring {
		for _, proposal := range proposals {
			s.emit(Refused{ID: proposal.ID, Reason: RefusedNotLeader})
		}
		return
	}
	entries := make([]Entry, len(proposals))
	for i, proposal := range proposals {
		entries[i] = Entry{Kind: EntryCommand, Data: proposal.Data}
		index := s.log.last() + 1 + uint64(i)
		s.emit(Accepted{ID: proposal.ID, Index: index, Term: s.hardState.Term})
	}
	s.appendOwn(entries)
}

// handleAppendReply processes a member's reply. Progress is kept by identity,
// so that an acknowledgement from an earlier incarnation, whose disk is lost,
// does not count.
func (s *State) handleAppendReply(m Message, reply AppendReply) {
	p := s.lead.progress[m.From]
	if s.role != RoleLeader || p == nil {
		return
	}
	p.lastReply = s.now
	p.round = max(p.round, reply.Round)
	p.sentAt = max(p.sentAt, reply.SentAt)
	p.recordClock(reply, s.now)
	if reply.Rejected {
		s.handleRejection(p, reply)
	} else {
		s.recordMatch(p, reply.Match)
		s.probeIfLost(p, reply)
	}
	s.confirmClocks()
	s.replicate(m.From, p)
	s.sendTakeOver()
}

// probeIfLost probes again if a member replies to a later round without having
// received the entries: they were lost, and nothing else would resend them
// before the next proposal.
func (s *State) probeIfLost(p *progress, reply AppendReply) {
	if !p.probing && reply.Round > p.lastEntriesRound && reply.Received+1 < p.next {
		s.probe(p)
	}
}

// recordClock records the member's own time from a reply. A member's clock
// starts again when the member restarts, so earlier times are dropped: they
// would compare as later ones.
func (p *progress) recordClock(reply AppendReply, now time.Duration) {
	if reply.Boot != p.boot {
		p.boot = reply.Boot
		p.pendingClock = 0
		p.confirmedClock = 0
	}
	if p.pendingClock <= p.confirmedClock && reply.RepliedAt > p.confirmedClock {
		p.pendingClock = reply.RepliedAt
		p.pendingClockAt = now
	}
}

// handleRejection moves next back towards the last index at which the logs
// match. It ignores replies that are older than what is known.
func (s *State) handleRejection(p *progress, reply AppendReply) {
	if reply.PrevIndex <= p.match || (p.probing && reply.PrevIndex != p.next-1) {
		return
	}
	s.probe(p)
	p.next = max(p.match+1, min(reply.PrevIndex, reply.Hint+1))
}

func (s *State) recordMatch(p *progress, match uint64) {
	if match > s.log.last() {
		return
	}
	p.match = max(p.match, match)
	p.snapshotting = p.snapshotting && p.match < s.log.base
	p.next = max(p.next, p.match+1)
	p.inflight = slices.DeleteFunc(p.inflight, func(last uint64) bool { return last <= p.match })
	if p.probing && p.match >= p.next-1 {
		p.probing = false
		p.paused = false
		p.inflight = nil
	}
	s.advanceCommit()
}

// advanceCommit commits the entries that a quorum of voters has synced, if the
// last of them belongs to the current term.
func (s *State) advanceCommit() {
	index := s.quorumValue(s.disk.stable, func(p *progress) uint64 { return p.match })
	if term, ok := s.log.term(index); !ok || term != s.hardState.Term || index <= s.commit {
		return
	}
	s.commit = index
	s.broadcastCommit()
	if s.membersIndex <= s.commit && !s.members.IsVoter(s.cfg.Self) {
		s.electionTimerStart = s.now
		s.broadcastFinalCommit()
		s.becomeFollower(Identity{})
	}
}

// broadcastCommit sends the commit index to the active members that have no
// more entries to be sent. The next heartbeat would carry it too, but a change
// would take effect on those members only then.
func (s *State) broadcastCommit() {
	for _, id := range s.peers() {
		p := s.lead.progress[id]
		if p.probing || p.snapshotting || p.next <= s.log.last() || !s.recentlyActive(id) {
			continue
		}
		s.sendAppend(id, p, p.next-1, nil)
	}
}

// broadcastFinalCommit sends the commit index to all members before a leader
// that is no longer a voter steps down.
func (s *State) broadcastFinalCommit() {
	for _, id := range s.peers() {
		p := s.lead.progress[id]
		s.sendAppend(id, p, max(p.match, s.log.base), nil)
	}
}

// quorumValue returns the highest value that a quorum of the voters has
// reached.
func (s *State) quorumValue(own uint64, of func(*progress) uint64) uint64 {
	var values []uint64
	for _, id := range s.members.Voters() {
		switch p := s.lead.progress[id]; {
		case id == s.cfg.Self:
			values = append(values, own)
		case p != nil:
			values = append(values, of(p))
		default:
			values = append(values, 0)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-s.members.Quorum()]
}

// quorumSentAt returns the latest time at which the leader sent something that
// a quorum has since answered in its term.
func (s *State) quorumSentAt() time.Duration {
	at := s.quorumValue(uint64(s.now), func(p *progress) uint64 { return uint64(p.sentAt) })
	return time.Duration(at)
}

// committedOwnTerm reports whether the leader has committed an entry of its own
// term. Before that, its commit index may lag behind what its predecessors
// committed.
func (s *State) committedOwnTerm() bool { return s.commit >= s.lead.termStart }

// confirmClocks advances each member's confirmedClock to its pendingClock once
// a quorum has answered a request that was sent after that time arrived. The
// member thereby learns on its own clock how current it is, whatever the delay
// of its messages.
func (s *State) confirmClocks() {
	if !s.committedOwnTerm() {
		return
	}
	confirmed := s.quorumSentAt()
	for _, p := range s.lead.progress {
		if p.pendingClockAt < confirmed {
			p.confirmedClock = max(p.confirmedClock, p.pendingClock)
		}
	}
}
