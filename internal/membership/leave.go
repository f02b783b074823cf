package membership

// startLeave marks this node as left and pushes that to its peers at once; the
// gossip rounds repeat it until it is acknowledged.
func (s *State) startLeave() {
	if !s.leavingSince.IsZero() {
		return
	}
	s.leavingSince = s.now
	localNode := s.localNode().Member
	localNode.State = MemberLeft
	localNode.Unreached = nil
	s.putMember(localNode)
	s.addRumour(false, s.self, "")
	s.finishLeave()
}

// finishLeave completes the leave once enough members have acknowledged it or
// LeaveTimeout has passed.
func (s *State) finishLeave() {
	if s.leavingSince.IsZero() || s.leaveDone {
		return
	}
	required := min(len(s.gossipPeers(true)), s.timing.Fanout)
	known := required
	if r := s.rumours[recordKey{name: s.self}]; r != nil {
		known = len(r.known)
	}
	timedOut := s.now.Sub(s.leavingSince) >= s.timing.LeaveTimeout
	if known < required && !timedOut {
		return
	}
	s.leaveDone = true
	s.logEvent(LogLeaveDone, s.self)
}
