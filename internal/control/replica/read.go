package replica

import "time"

// pendingRead waits for a quorum to confirm the leader and then for the state
// machine to reach index.
type pendingRead struct {
	id uint64
	// from is the follower that asked, zero for this replica itself.
	from Identity
	// boot is the follower's start.
	boot uint64
	// round is the leader's round that must be confirmed; 0 when the read
	// awaits the leader's reply or the first commit of the term.
	round     uint64
	confirmed bool
	index     uint64
	asked     time.Duration
}

// read confirms a read. A leader's own belief is not enough: it may have been
// frozen while another was elected and decided otherwise.
func (s *State) read(id uint64) {
	switch {
	case s.role == RoleLeader:
		s.startRead(pendingRead{id: id, asked: s.now})
	case s.leader.IsZero():
		s.emit(ReadFailed{ID: id})
	default:
		s.reads = append(s.reads, pendingRead{id: id, asked: s.now})
		s.send(s.leader, ReadRequest{ID: id, Boot: s.cfg.Boot})
	}
}

func (s *State) readRequest(m Message, request ReadRequest) {
	if s.role != RoleLeader {
		s.send(m.From, ReadReply{ID: request.ID, Boot: request.Boot})
		return
	}
	s.startRead(pendingRead{id: request.ID, from: m.From, boot: request.Boot, asked: s.now})
}

// startRead begins a round for the read, or holds it until the leader knows
// what its predecessors committed.
func (s *State) startRead(r pendingRead) {
	if s.committedOwnTerm() {
		s.heartbeat()
		r.round = s.lead.round
		r.index = s.commit
	}
	s.reads = append(s.reads, r)
}

// readReply takes the leader's confirmation at a follower.
func (s *State) readReply(m Message, reply ReadReply) {
	if reply.Boot != s.cfg.Boot {
		return
	}
	for i := range s.reads {
		r := &s.reads[i]
		if r.id != reply.ID || !r.from.IsZero() || m.From != s.leader {
			continue
		}
		if !reply.OK {
			s.emit(ReadFailed{ID: r.id})
			s.reads = append(s.reads[:i], s.reads[i+1:]...)
			return
		}
		r.confirmed = true
		r.index = reply.Index
		return
	}
}

// finishReads answers the reads that are confirmed and applied.
func (s *State) finishReads() {
	if len(s.reads) == 0 {
		return
	}
	s.confirmReads()
	kept := s.reads[:0]
	for _, r := range s.reads {
		switch {
		case r.confirmed && !r.from.IsZero():
			s.send(r.from, ReadReply{ID: r.id, Boot: r.boot, OK: true, Index: r.index})
		case r.confirmed && s.applied >= r.index:
			s.currentAt = max(s.currentAt, r.asked)
			s.emit(ReadReady{ID: r.id})
		default:
			kept = append(kept, r)
		}
	}
	s.reads = kept
}

func (s *State) confirmReads() {
	if s.role != RoleLeader || !s.committedOwnTerm() {
		return
	}
	s.startHeldReads()
	round := s.quorumValue(s.lead.round, func(p *progress) uint64 { return p.round })
	for i := range s.reads {
		r := &s.reads[i]
		r.confirmed = r.confirmed || r.round > 0 && round >= r.round
	}
}

// startHeldReads begins one round for all reads that waited for the first
// commit of the term.
func (s *State) startHeldReads() {
	started := false
	for i := range s.reads {
		r := &s.reads[i]
		if r.round > 0 {
			continue
		}
		if !started {
			s.heartbeat()
			started = true
		}
		r.round = s.lead.round
		r.index = s.commit
	}
}

// expireReads fails reads that nobody confirmed in time, so that a caller cut
// off from the quorum is told so.
func (s *State) expireReads() {
	kept := s.reads[:0]
	for _, r := range s.reads {
		if s.now-r.asked <= s.cfg.ElectionTimeout {
			kept = append(kept, r)
			continue
		}
		s.failRead(r)
	}
	s.reads = kept
}

func (s *State) failReads() {
	for _, r := range s.reads {
		s.failRead(r)
	}
	s.reads = nil
}

func (s *State) failRead(r pendingRead) {
	if r.from.IsZero() {
		s.emit(ReadFailed{ID: r.id})
		return
	}
	s.send(r.from, ReadReply{ID: r.id, Boot: r.boot})
}
