package replica

import "time"

// tickFollower starts an election once the election timeout has passed without
// contact with a leader.
func (s *State) tickFollower(jitter float64) {
	wait := s.cfg.ElectionTimeout
	if !s.leaderSeen && s.cfg.FirstElectionTimeout > 0 {
		wait = s.cfg.FirstElectionTimeout
	}
	timeout := wait + time.Duration(s.jitter*float64(wait))
	if s.now-s.electionTimerStart < timeout || s.now < s.yieldUntil {
		return
	}
	s.electionTimerStart = s.now
	s.jitter = jitter
	if s.leader != (Identity{}) {
		s.becomeFollower(Identity{})
	}
	if s.mayCampaign() {
		s.campaign(true)
	}
}

// mayCampaign reports whether the replica is a voter under its own incarnation:
// a replica that lost its disk no longer holds entries that it had
// acknowledged. A voter whose removal is not yet committed may also campaign
// (thesis, section 4.2.2): it may be the only one that holds the removal entry,
// and no other replica could then be elected.
func (s *State) mayCampaign() bool {
	if s.members.IsVoter(s.cfg.Self) {
		return true
	}
	return s.membersIndex > s.commit && s.MembershipAt(s.membersIndex-1).IsVoter(s.cfg.Self)
}

// campaign requests votes from the other voters. The pre-vote comes first and
// raises no term; otherwise, a replica that returns from long isolation would
// depose a working leader with its higher term.
func (s *State) campaign(pre bool) {
	s.leader = Identity{}
	s.votes = map[Identity]bool{}
	request := VoteRequest{Pre: pre, LastIndex: s.log.last(), LastTerm: s.log.lastTerm()}
	if pre {
		s.role = RolePreCandidate
		s.requestVotes(request, s.hardState.Term+1)
		s.recordVote(s.cfg.Self)
		return
	}
	s.role = RoleCandidate
	s.hardState = HardState{Term: s.hardState.Term + 1, Vote: s.cfg.Self}
	s.persistHardState()
	s.requestVotes(request, s.hardState.Term)
	s.disk.deferred = append(s.disk.deferred, deferredEffect{seq: s.disk.seq, voteTerm: s.hardState.Term})
}

func (s *State) requestVotes(request VoteRequest, term uint64) {
	for _, id := range s.members.Voters() {
		if id == s.cfg.Self {
			continue
		}
		m := s.message(id, request)
		m.Term = term
		send := Send{Message: m}
		if request.Pre {
			s.emit(send)
			continue
		}
		s.disk.deferred = append(s.disk.deferred, deferredEffect{seq: s.disk.seq, effect: send})
	}
}

// answerPreVote replies whether a vote would be granted. It refuses while a
// leader is active, so that one replica's broken link does not start an
// election.
func (s *State) answerPreVote(m Message, request VoteRequest) {
	granted := m.Term > s.hardState.Term && s.upToDate(request) && !s.hasLiveLeader()
	reply := s.message(m.From, VoteReply{Pre: true, Granted: granted})
	if granted {
		reply.Term = m.Term
		s.yieldTo(m.From)
	}
	s.emit(Send{Message: reply})
}

// yieldTo delays this replica's own campaign after it granted a pre-vote, so
// that the other replica has time to request votes: two candidates at nearly
// the same time would split the votes. If both are pre-candidates, the one with
// the lower identity proceeds. A replica yields for at most half of the time,
// so that a candidate that retries and never wins does not block elections.
func (s *State) yieldTo(other Identity) {
	window := s.cfg.ElectionTimeout / yieldDivisor
	preCandidate := s.role == RolePreCandidate
	if s.now < s.yieldUntil+window || preCandidate && other.compare(s.cfg.Self) > 0 {
		return
	}
	s.yieldUntil = s.now + window
	if preCandidate {
		s.becomeFollower(Identity{})
	}
}

// yieldDivisor divides the election timeout to give the time for which a
// replica yields: with the usual 500 ms, two round trips between regions and a
// sync.
const yieldDivisor = 5

func (s *State) hasLiveLeader() bool {
	if s.role == RoleLeader {
		return true
	}
	return s.leader != (Identity{}) && s.now-s.electionTimerStart < s.cfg.ElectionTimeout
}

// upToDate implements Raft's election restriction: without it, a replica that
// lacks a committed entry could become leader and overwrite it.
func (s *State) upToDate(request VoteRequest) bool {
	if request.LastTerm != s.log.lastTerm() {
		return request.LastTerm > s.log.lastTerm()
	}
	return request.LastIndex >= s.log.last()
}

func (s *State) answerVote(m Message, request VoteRequest) {
	free := s.hardState.Vote.IsZero() || s.hardState.Vote == m.From
	granted := free && s.leader.IsZero() && s.upToDate(request)
	if granted && s.hardState.Vote.IsZero() {
		s.becomeFollower(Identity{})
		s.hardState.Vote = m.From
		s.persistHardState()
		s.electionTimerStart = s.now
	}
	s.sendSynced(m.From, VoteReply{Granted: granted})
}

// countVote counts a granted vote if it belongs to the current election.
func (s *State) countVote(m Message, reply VoteReply) {
	if !reply.Granted {
		return
	}
	electionTerm := s.hardState.Term
	electionRole := RoleCandidate
	if reply.Pre {
		electionTerm++
		electionRole = RolePreCandidate
	}
	if s.role != electionRole || m.Term != electionTerm {
		return
	}
	s.recordVote(m.From)
}

// countOwnVote counts the replica's vote for itself, once that vote is synced.
func (s *State) countOwnVote(term uint64) {
	if s.role == RoleCandidate && s.hardState.Term == term {
		s.recordVote(s.cfg.Self)
	}
}

// recordVote counts one vote and acts once there is a majority. Only voters
// under the incarnation in the membership count; otherwise, a replica with a
// replaced disk could give a second vote in the same term.
func (s *State) recordVote(from Identity) {
	if !s.members.IsVoter(from) {
		return
	}
	s.votes[from] = true
	if len(s.votes) < s.members.Quorum() {
		return
	}
	if s.role == RolePreCandidate {
		s.campaign(false)
		return
	}
	s.becomeLeader()
}
