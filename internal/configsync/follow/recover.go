package follow

import "time"

// recovery is the state of a node that is not ready yet.
type recovery struct {
	// next is the index of the control process to ask next in this round;
	// roundStart is when the round began.
	next       int
	roundStart time.Time
	// gotVersion reports whether a ready peer or a control process has returned a
	// version.
	gotVersion bool
}

// stepRecovery asks the control processes, in order of preference and one more
// with each step, for a version that a quorum confirms; the first such reply
// makes the node ready. It also asks the entry nodes of the data centre, in
// case there is no quorum.
func (s *State) stepRecovery() {
	r := &s.recovery
	timedOut := s.now.Sub(s.started) >= s.timing.RecoverTimeout
	if timedOut && r.gotVersion && s.roundDone() {
		s.becomeReady(LogReadyUnconfirmed)
		return
	}
	if r.roundStart.IsZero() || s.now.Sub(r.roundStart) >= s.timing.RecoverInterval && s.roundDone() {
		r.roundStart = s.now
		r.next = 0
		s.fetchFromLocalPeers()
	}
	if r.next < len(s.controls) {
		s.fetchFromControl(s.controls[r.next], s.current.Version, 0, true)
		r.next++
	}
}

// roundDone reports whether all requests of the round were sent and have
// returned or failed. The node must wait for all of them, since the reply that
// is still in flight may hold the highest version.
func (s *State) roundDone() bool {
	return s.recovery.next >= len(s.controls) && len(s.inFlight) == 0
}

func (s *State) fetchFromLocalPeers() {
	for _, p := range s.peers {
		if p.ID != s.id && p.DataCentre == s.dataCentre {
			s.fetchFromPeer(p)
		}
	}
}

func (s *State) becomeReady(kind LogEventKind) {
	s.ready = true
	s.emit(LogEvent{Kind: kind, Version: s.current.Version})
}
