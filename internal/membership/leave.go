package membership

// leave tells the others that this node goes, at once and until acknowledged.
func (s *State) leave() {
	if !s.leaving.IsZero() {
		return
	}
	s.leaving = s.now
	me := s.me().Member
	me.State = MemberLeft
	me.Unreached = nil
	s.putMember(me)
	s.rumour(false, s.self, "")
	s.finishLeave()
}

// finishLeave ends the leave once enough members have acknowledged it.
func (s *State) finishLeave() {
	if s.leaving.IsZero() || s.leftDone {
		return
	}
	peers := len(s.listed[s.me().DataCentre])
	known := peers
	if r := s.rumours[recordKey{name: s.self}]; r != nil {
		known = len(r.known)
	}
	late := s.now.Sub(s.leaving) >= s.timing.LeaveTimeout
	if known < min(peers, s.timing.Fanout) && !late {
		return
	}
	s.leftDone = true
	s.note(NoteLeaveDone, s.self)
}
