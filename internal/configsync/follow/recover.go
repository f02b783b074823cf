package follow

import "time"

// recovery is the state of a node that does not serve yet.
type recovery struct {
	// next is the control process to ask next in this round; roundAt is when
	// the round began.
	next    int
	roundAt time.Time
	// answered tells that a ready peer or a control process gave a version.
	answered bool
}

// recover asks the control processes, nearest first and one more with each
// tick, for a version that a quorum confirms; the first such reply is enough.
// It asks the data centre's nodes too, for when there is no quorum.
func (s *State) recover() {
	r := &s.recovery
	late := s.now.Sub(s.started) >= s.timing.RecoverBound
	if late && r.answered && s.roundDone() {
		s.becomeReady(NoteReadyUnconfirmed)
		return
	}
	if r.roundAt.IsZero() || s.now.Sub(r.roundAt) >= s.timing.RecoverRound && s.roundDone() {
		r.roundAt = s.now
		r.next = 0
		s.askRecoveryPeers()
	}
	if r.next < len(s.controls) {
		s.askControl(s.controls[r.next], s.current.Version, 0, true)
		r.next++
	}
}

// roundDone reports whether everybody has been asked and has answered or
// failed: a version that is still under way may be the highest.
func (s *State) roundDone() bool {
	return s.recovery.next >= len(s.controls) && len(s.asked) == 0
}

func (s *State) askRecoveryPeers() {
	for _, p := range s.peers {
		if p.ID != s.id && p.DataCentre == s.dataCentre {
			s.askPeer(p)
		}
	}
}

func (s *State) becomeReady(kind NoteKind) {
	s.ready = true
	s.emit(Note{Kind: kind, Version: s.current.Version})
}
