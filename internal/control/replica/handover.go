package replica

// stepAside begins to hand the lead over (thesis, section 3.10), so that a
// restart of the leader costs a round trip and not an election timeout. The
// leader takes no more proposals: its successor must hold its whole log.
func (s *State) stepAside() {
	if s.role != RoleLeader {
		return
	}
	s.lead.leaving = true
	s.lead.leavingSince = s.now
	s.handOver()
}

// handOver asks a voter that holds everything to take over. The one asked may
// be gone or the request lost; then the leader goes on after an election
// timeout, or the others elect one once it has stopped.
func (s *State) handOver() {
	if s.role != RoleLeader || !s.lead.leaving || s.lead.asked {
		return
	}
	for _, id := range s.members.Voters() {
		p := s.lead.progress[id]
		if p == nil || p.match < s.log.last() || !s.heardLately(id) {
			continue
		}
		s.lead.asked = true
		s.send(id, TakeOver{})
		return
	}
}

// takeOver stands for election at once, without the pre-vote, which the others
// would refuse while they hear the leader.
func (s *State) takeOver(m Message) {
	if s.role == RoleFollower && m.From == s.leader && s.mayStand() {
		s.electionBase = s.now
		s.campaign(false)
	}
}
