package replica

import (
	"slices"
	"time"
)

// leaderState is what only a leader knows.
type leaderState struct {
	progress map[Identity]*progress
	// round numbers the confirmations asked of the members so far.
	round uint64
	// termStart is the index of the first entry of the leader's term.
	termStart uint64
	// since is when the leader was elected.
	since    time.Duration
	lastBeat time.Duration
	// leaving is set while the leader hands over, asked once it has asked
	// another to take over; leavingSince is when it began.
	leaving      bool
	asked        bool
	leavingSince time.Duration
}

// progress is what the leader knows of one member.
type progress struct {
	// match is the last index that the member has synced, next the next one
	// to send.
	match uint64
	next  uint64
	// probing allows one request at a time, until the logs are known to match.
	probing bool
	paused  bool
	// snapshotting is set while a snapshot is on its way.
	snapshotting bool
	// inflight holds the last index of each unanswered request with entries.
	inflight []uint64
	// sentRound is the round in which entries were last sent.
	sentRound uint64
	// round and sentAt are the newest ones that the member returned.
	round  uint64
	sentAt time.Duration
	heard  time.Duration
	// echo is the member's own time in one of its replies, heard at echoHeard.
	// It stays until a quorum confirms it and it becomes current: newer ones
	// would else take its place before any is confirmed.
	echo      time.Duration
	boot      uint64
	echoHeard time.Duration
	current   time.Duration
}

func (s *State) becomeLeader() {
	s.role = RoleLeader
	s.leader = s.cfg.Self
	s.votes = nil
	s.lead = leaderState{
		progress:  map[Identity]*progress{},
		termStart: s.log.last() + 1,
		since:     s.now,
	}
	s.followMembers()
	// An entry of an earlier term is committed only through one of this term
	// (Raft, section 5.4.2): counting its copies alone could commit an entry
	// that a later leader overwrites.
	s.appendOwn([]Entry{{Kind: EntryNoop}})
	s.heartbeat()
}

// followMembers makes progress match the membership.
func (s *State) followMembers() {
	for _, member := range s.members.Members {
		if member.Identity == s.cfg.Self || s.lead.progress[member.Identity] != nil {
			continue
		}
		s.lead.progress[member.Identity] = &progress{next: s.log.last() + 1, probing: true, heard: s.now}
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
	// A leader that reaches no quorum can decide nothing; going on would only
	// keep callers waiting and let others believe in it.
	if s.now-max(s.quorumSentAt(), s.lead.since) > s.cfg.ElectionTimeout {
		s.electionBase = s.now
		s.becomeFollower(Identity{})
		return
	}
	if s.now-s.lead.leavingSince > s.cfg.ElectionTimeout {
		s.lead.leaving, s.lead.asked = false, false
	}
	if s.now-s.lead.lastBeat >= s.cfg.Heartbeat {
		s.recoverSilent()
		s.heartbeat()
	}
}

// recoverSilent goes back to probing members whose requests are unanswered:
// messages may be lost, and a full window else never empties.
func (s *State) recoverSilent() {
	for _, p := range s.lead.progress {
		if s.now-p.heard < s.cfg.ElectionTimeout/2 {
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

// heartbeat starts a round of confirmation with every member. A member also
// gets whatever it lacks.
func (s *State) heartbeat() {
	s.lead.lastBeat = s.now
	s.lead.round++
	for _, id := range s.peers() {
		p := s.lead.progress[id]
		if p.probing {
			p.paused = false
		}
		if !s.replicate(id, p) {
			s.sendAppend(id, p, s.beatIndex(p), nil)
		}
	}
}

// beatIndex returns an index before which a heartbeat without entries checks
// the log: one that is known to match, or the one to probe.
func (s *State) beatIndex(p *progress) uint64 {
	if p.probing && p.next > s.log.base {
		return p.next - 1
	}
	return max(p.match, s.log.base)
}

// replicate sends what the member lacks, as far as its window allows, and
// reports whether it sent anything. A silent member gets heartbeats only: else
// a lost one costs a batch or a whole snapshot with each heartbeat.
func (s *State) replicate(id Identity, p *progress) bool {
	sent := false
	for s.mayReceive(p) && p.next <= s.log.last() {
		if p.next <= s.log.base {
			if s.heardLately(id) {
				s.sendSnapshot(id, p)
			}
			return sent
		}
		entries := s.log.from(p.next, s.cfg.MaxBatchEntries, s.cfg.MaxBatchBytes)
		s.sendAppend(id, p, p.next-1, entries)
		p.sentRound = s.lead.round
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

// mayReceive reports whether a member may be sent entries now.
func (s *State) mayReceive(p *progress) bool {
	if p.paused || p.snapshotting || len(p.inflight) >= s.cfg.MaxInflight {
		return false
	}
	return s.now-p.heard <= s.cfg.ElectionTimeout
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
		Current:     p.current,
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

// appendOwn appends entries of the leader's term and spreads them. The leader's
// own disk works in parallel with the others' (thesis, section 10.2.1).
func (s *State) appendOwn(entries []Entry) {
	for i := range entries {
		entries[i].Index = s.log.last() + 1 + uint64(i)
		entries[i].Term = s.hard.Term
	}
	s.log.append(entries)
	s.persist(Persist{Entries: entries})
	s.spread()
}

func (s *State) spread() {
	for _, id := range s.peers() {
		s.replicate(id, s.lead.progress[id])
	}
}

func (s *State) propose(proposals []Proposal) {
	if s.role != RoleLeader || s.lead.leaving {
		for _, proposal := range proposals {
			s.emit(Refused{ID: proposal.ID, Reason: RefusedNotLeader})
		}
		return
	}
	entries := make([]Entry, len(proposals))
	for i, proposal := range proposals {
		entries[i] = Entry{Kind: EntryCommand, Data: proposal.Data}
		index := s.log.last() + 1 + uint64(i)
		s.emit(Accepted{ID: proposal.ID, Index: index, Term: s.hard.Term})
	}
	s.appendOwn(entries)
}

// appendReply counts a member's acknowledgement. Progress is kept by identity,
// so that an acknowledgement of an earlier incarnation, whose disk is lost,
// counts for nothing.
func (s *State) appendReply(m Message, reply AppendReply) {
	p := s.lead.progress[m.From]
	if s.role != RoleLeader || p == nil {
		return
	}
	p.heard = s.now
	p.round = max(p.round, reply.Round)
	p.sentAt = max(p.sentAt, reply.SentAt)
	p.hear(reply, s.now)
	if reply.Rejected {
		s.rejected(p, reply)
	} else {
		s.matched(p, reply.Match)
		s.resendLost(p, reply)
	}
	s.confirmEchoes()
	s.replicate(m.From, p)
	s.handOver()
}

// resendLost probes again when a member answers a later round without having
// received the entries: they were lost, and nothing else would send them again
// until the next proposal.
func (s *State) resendLost(p *progress, reply AppendReply) {
	if !p.probing && reply.Round > p.sentRound && reply.Received+1 < p.next {
		s.probe(p)
	}
}

// hear takes the member's own time. After a restart of the member its clock
// begins anew: earlier times would count as later ones.
func (p *progress) hear(reply AppendReply, now time.Duration) {
	if reply.Boot != p.boot {
		p.boot = reply.Boot
		p.echo = 0
		p.current = 0
	}
	if p.echo <= p.current && reply.RepliedAt > p.current {
		p.echo = reply.RepliedAt
		p.echoHeard = now
	}
}

// rejected steps back towards the last index at which the logs match. A reply
// that is older than what is known is ignored.
func (s *State) rejected(p *progress, reply AppendReply) {
	if reply.PrevIndex <= p.match || (p.probing && reply.PrevIndex != p.next-1) {
		return
	}
	s.probe(p)
	p.next = max(p.match+1, min(reply.PrevIndex, reply.Hint+1))
}

func (s *State) matched(p *progress, match uint64) {
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

// advanceCommit commits what a quorum of voters has synced, if it is of this
// term.
func (s *State) advanceCommit() {
	index := s.quorumValue(s.disk.stable, func(p *progress) uint64 { return p.match })
	if term, ok := s.log.term(index); !ok || term != s.hard.Term || index <= s.commit {
		return
	}
	s.commit = index
	s.announceCommit()
	if s.membersIndex <= s.commit && !s.members.IsVoter(s.cfg.Self) {
		s.electionBase = s.now
		s.spreadCommit()
		s.becomeFollower(Identity{})
	}
}

// announceCommit tells the members that nothing else is on its way to. The next
// heartbeat would tell them too, but a change would be in force there only then.
func (s *State) announceCommit() {
	for _, id := range s.peers() {
		p := s.lead.progress[id]
		if p.probing || p.snapshotting || p.next <= s.log.last() || !s.heardLately(id) {
			continue
		}
		s.sendAppend(id, p, p.next-1, nil)
	}
}

// spreadCommit tells the members of a last commit before the leader leaves.
func (s *State) spreadCommit() {
	for _, id := range s.peers() {
		p := s.lead.progress[id]
		s.sendAppend(id, p, max(p.match, s.log.base), nil)
	}
}

// quorumValue returns the greatest value that a quorum of the voters reaches.
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

// committedOwnTerm reports whether the leader knows the commit index of its
// predecessors: before that it may lag behind what they had committed.
func (s *State) committedOwnTerm() bool { return s.commit >= s.lead.termStart }

// confirmEchoes moves the members' own times forward to those that a quorum
// has confirmed since they arrived. A member thereby learns on its own clock
// how current it is, whatever delay its messages had.
func (s *State) confirmEchoes() {
	if !s.committedOwnTerm() {
		return
	}
	confirmed := s.quorumSentAt()
	for _, p := range s.lead.progress {
		if p.echoHeard < confirmed {
			p.current = max(p.current, p.echo)
		}
	}
}
