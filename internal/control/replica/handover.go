package replica

// transferLeadership starts a leadership transfer (thesis, section 3.10), so
// that a restart of the leader costs a round trip instead of an election
// timeout. The leader accepts no more proposals, because its successor must
// hold its whole log.
func (s *State) transferLeadership() {
	if s.role != RoleLeader {
		return
	}
	s.lead.transferring = true
	s.lead.transferStart = s.now
	s.sendTakeOver()
}

// sendTakeOver asks a voter that holds the whole log to take over. The voter
// may be down or the request lost; then the leader resumes after an election
// timeout or, if it has stopped, the others elect a new leader.
func (s *State) sendTakeOver() {
	if s.role != RoleLeader || !s.lead.transferring || s.lead.transferSent {
		return
	}
	for _, id := range s.members.Voters() {
		p := s.lead.progress[id]
		if p == nil || p.match < s.log.last() || !s.recentlyActive(id) {
			continue
		}
		s.lead.transferSent = true
		s.send(id, TakeOver{})
		return
	}
}

// handleTakeOver starts an election at once. It skips the pre-vote, which the
// others would refuse while they hear from the leader.
func (s *State) handleTakeOver(m Message) {
	if s.role == RoleFollower && m.From == s.leader && s.mayCampaign() {
		s.electionTimerStart = s.now
		s.campaign(false)
	}
}
