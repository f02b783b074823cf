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
	enough := min(len(s.gossipPeers(true)), s.timing.Fanout)
	known := enough
	if r := s.rumours[recordKey{name: s.self}]; r != nil {
		known = len(r.known)
	}
	late := s.now.Sub(s.leaving) >= s.timing.LeaveTimeout
	if known < enough && !late {
		return
	}
	s.leftDone = true
	s.note(NoteLeaveDone, s.self)
}
