package replica

import "time"

// pendingRead is a read that waits for a quorum to confirm the leader and then
// for the state machine to reach index.
type pendingRead struct {
	id uint64
	// requester is the follower that asked, zero for a read of this replica
	// itself.
	requester Identity
	// boot identifies the process start of the follower.
	boot uint64
	// round is the leader's round that must be confirmed. It is 0 while the
	// read awaits the leader's reply or the first commit of the term.
	round       uint64
	confirmed   bool
	index       uint64
	requestedAt time.Duration
}

// read starts the confirmation of a read. A leader's own view is not enough: it
// may have been paused while another leader was elected and committed other
// entries.
func (s *State) read(id uint64) {
	switch {
	case s.role == RoleLeader:
		s.startRead(pendingRead{id: id, requestedAt: s.now})
	case s.leader.IsZero():
		s.emit(ReadFailed{ID: id})
	default:
		s.reads = append(s.reads, pendingRead{id: id, requestedAt: s.now})
		s.send(s.leader, ReadRequest{ID: id, Boot: s.cfg.Boot})
	}
}

func (s *State) handleReadRequest(m Message, request ReadRequest) {
	if s.role != RoleLeader {
		s.send(m.From, ReadReply{ID: request.ID, Boot: request.Boot})
		return
	}
	s.startRead(pendingRead{id: request.ID, requester: m.From, boot: request.Boot, requestedAt: s.now})
}

// startRead starts a confirmation round for the read, or defers it until the
// leader knows what its predecessors committed.
func (s *State) startRead(r pendingRead) {
	if s.committedOwnTerm() {
		s.heartbeat()
		r.round = s.lead.round
		r.index = s.commit
	}
	s.reads = append(s.reads, r)
}

// handleReadReply processes the leader's confirmation at a follower.
func (s *State) handleReadReply(m Message, reply ReadReply) {
	if reply.Boot != s.cfg.Boot {
		return
	}
	for i := range s.reads {
		r := &s.reads[i]
		if r.id != reply.ID || !r.requester.IsZero() || m.From != s.leader {
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

// finishReads completes the confirmed reads: a follower's read at once, and
// this replica's own once the state machine has reached the read's index.
func (s *State) finishReads() {
	if len(s.reads) == 0 {
		return
	}
	s.confirmReads()
	kept := s.reads[:0]
	for _, r := range s.reads {
		switch {
		case r.confirmed && !r.requester.IsZero():
			s.send(r.requester, ReadReply{ID: r.id, Boot: r.boot, OK: true, Index: r.index})
		case r.confirmed && s.applied >= r.index:
			s.currentAt = max(s.currentAt, r.requestedAt)
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
	s.startDeferredReads()
	round := s.quorumValue(s.lead.round, func(p *progress) uint64 { return p.round })
	for i := range s.reads {
		r := &s.reads[i]
		r.confirmed = r.confirmed || r.round > 0 && round >= r.round
	}
}

// startDeferredReads starts one round for all reads that waited for the first
// commit of the term.
func (s *State) startDeferredReads() {
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

// expireReads fails reads that were not confirmed in time, so that a caller
// that is cut off from the quorum gets an answer.
func (s *State) expireReads() {
	kept := s.reads[:0]
	for _, r := range s.reads {
		if s.now-r.requestedAt <= s.cfg.ElectionTimeout {
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
	if r.requester.IsZero() {
		s.emit(ReadFailed{ID: r.id})
		return
	}
	s.send(r.requester, ReadReply{ID: r.id, Boot: r.boot})
}
