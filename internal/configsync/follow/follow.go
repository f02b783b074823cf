package follow

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
)

// follow keeps one poll going at the preferred control process that isn't
// avoided, and looks at a peer's version now and then.
func (s *State) follow() {
	if s.poll == 0 && !s.now.Before(s.pollAt) {
		s.pollNext()
	}
	if s.now.Before(s.nextPeer) {
		return
	}
	interval := s.timing.PeerInterval
	if age := s.Age(s.now); age < 0 || age > s.timing.MaxQuorumAge+s.timing.Wait {
		interval = s.timing.PeerIntervalCut
	}
	s.nextPeer = s.now.Add(interval)
	s.pollPeer()
}

// pollNext polls the first control process that isn't avoided. One that has
// not proved itself is asked to answer at once, so that a silent or isolated
// one costs little.
func (s *State) pollNext() {
	next := s.preferred()
	if next == nil {
		return
	}
	if s.following != nil && s.following != next {
		s.emit(Note{Kind: NoteMoved, Subject: s.following.ID, Version: s.current.Version})
	}
	s.following = next
	var wait time.Duration
	if next.trusted {
		wait = s.timing.Wait
	}
	s.poll = s.askControl(next, s.current.Version, wait, false)
}

func (s *State) preferred() *control {
	for _, c := range s.controls {
		if !s.now.Before(c.avoidUntil) {
			return c
		}
	}
	return nil
}

func (s *State) controlAnswered(e ControlAnswered) {
	a, ok := s.asked[e.Token]
	if !ok {
		return
	}
	delete(s.asked, e.Token)
	before := s.current.Version
	good := !e.Failed && e.Reply.Result.Code == controlrpc.CodeOK
	if good {
		good = s.takeControlReply(a, e.Reply)
	}
	if e.Token == s.poll {
		s.poll = 0
		if good && s.current.Version == before {
			s.pollAt = a.at.Add(s.timing.PollInterval)
		}
	}
	if s.ready {
		s.judgeControl(a, e, good)
		return
	}
	if good {
		s.recovery.answered = true
		if a.confirmed {
			s.becomeReady(NoteReady)
		}
		return
	}
	if a.confirmed {
		s.askControl(a.control, s.current.Version, 0, false)
	}
}

// takeControlReply applies what a reply brings. It reports whether the control
// process is at least as far as this node.
func (s *State) takeControlReply(a ask, r controlrpc.FetchReply) bool {
	age := quorumAge(r)
	if a.confirmed {
		age = 0
	}
	if !s.apply(r.Delta, a.control.ID, age) {
		return false
	}
	s.confirm(r.Applied, age)
	return r.Applied >= s.current.Version
}

// judgeControl decides whether to stay with a control process: one that is
// silent, slow, behind this node or long without a quorum is avoided for a
// while. One that was avoided must answer its first poll in time, and is
// forgiven only after a second good one.
func (s *State) judgeControl(a ask, e ControlAnswered, good bool) {
	c := a.control
	if s.now.Sub(a.at) > a.wait+s.timing.Slow {
		c.slow++
	} else {
		c.slow = 0
	}
	age := quorumAge(e.Reply)
	isolated := age < 0 || age > s.timing.MaxQuorumAge
	slow := c.slow >= s.timing.SlowLimit || c.slow > 0 && !c.trusted
	if !good || isolated || slow {
		s.avoid(c)
		return
	}
	if c.trusted {
		c.avoid = 0
	}
	c.trusted = true
}

func (s *State) avoid(c *control) {
	c.avoid = min(s.timing.AvoidMax, max(s.timing.AvoidMin, 2*c.avoid))
	// Spread, so that nodes don't come back to it together.
	spread := time.Duration(s.random.Int64N(int64(c.avoid)/4 + 1))
	c.avoidUntil = s.now.Add(c.avoid + spread)
	c.trusted = false
	c.slow = 0
	s.pollAt = s.now
}

// pollPeer asks a random node of the data centre for its version; without one,
// any node.
func (s *State) pollPeer() {
	var near, far []api.EntryMember
	for _, p := range s.peers {
		switch {
		case p.ID == s.id:
		case p.DataCentre == s.dataCentre:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) > 0 {
		s.askPeer(near[s.random.IntN(len(near))])
	}
}

func (s *State) peerAnswered(e PeerAnswered) {
	if _, ok := s.asked[e.Token]; !ok {
		return
	}
	peer := s.asked[e.Token].peer
	delete(s.asked, e.Token)
	if e.Failed || !e.Reply.Ready {
		return
	}
	age := time.Duration(-1)
	if e.Reply.AgeMS >= 0 {
		age = time.Duration(e.Reply.AgeMS) * time.Millisecond
	}
	if s.apply(e.Reply.Delta, peer, age) {
		s.recovery.answered = true
		s.confirm(e.Reply.Version, age)
	}
}
