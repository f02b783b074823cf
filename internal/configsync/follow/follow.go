package follow

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
)

// stepReady keeps one poll in flight to the preferred control process that is
// not backed off, and fetches from a peer at intervals.
func (s *State) stepReady() {
	if s.pollToken == 0 && !s.now.Before(s.nextPollAt) {
		s.pollControl()
	}
	if s.now.Before(s.nextPeerPollAt) {
		return
	}
	interval := s.timing.PeerInterval
	if age := s.Age(s.now); age < 0 || age > s.timing.MaxQuorumAge+s.timing.Wait {
		interval = s.timing.PeerIntervalUnconfirmed
	}
	s.nextPeerPollAt = s.now.Add(interval)
	s.pollPeer()
}

// pollControl polls the first control process that is not backed off. One that
// is not trusted is asked to reply at once, so that an unresponsive or isolated
// one costs little time.
func (s *State) pollControl() {
	next := s.preferredControl()
	if next == nil {
		return
	}
	if s.following != nil && s.following != next {
		s.emit(LogEvent{Kind: LogControlChanged, Subject: s.following.ID, Version: s.current.Version})
	}
	s.following = next
	var wait time.Duration
	if next.trusted {
		wait = s.timing.Wait
	}
	s.pollToken = s.fetchFromControl(next, s.current.Version, wait, false)
}

func (s *State) preferredControl() *control {
	for _, c := range s.controls {
		if !s.now.Before(c.backoffUntil) {
			return c
		}
	}
	return nil
}

// handleControlFetch processes the result of a fetch from a control process.
// During recovery, a confirmed reply makes the node ready; after a failed
// confirmed fetch the node asks the same control process for the version that it
// has applied.
func (s *State) handleControlFetch(e ControlFetchDone) {
	f, ok := s.inFlight[e.Token]
	if !ok {
		return
	}
	delete(s.inFlight, e.Token)
	before := s.current.Version
	good := !e.Failed && e.Reply.Result.Code == controlrpc.CodeOK
	if good {
		good = s.applyControlReply(f, e.Reply)
	}
	if e.Token == s.pollToken {
		s.pollToken = 0
		if good && s.current.Version == before {
			s.nextPollAt = f.at.Add(s.timing.PollInterval)
		}
	}
	if s.ready {
		s.evaluateControl(f, e, good)
		return
	}
	if good {
		s.recovery.gotVersion = true
		if f.confirmed {
			s.becomeReady(LogReady)
		}
		return
	}
	if f.confirmed {
		s.fetchFromControl(f.control, s.current.Version, 0, false)
	}
}

// applyControlReply applies the delta of a reply. It reports whether the delta
// is valid and the control process has at least this node's version.
func (s *State) applyControlReply(f fetch, r controlrpc.FetchReply) bool {
	age := quorumAge(r)
	if f.confirmed {
		age = 0
	}
	if !s.apply(r.Delta, f.control.ID, age) {
		return false
	}
	s.confirm(r.Applied, age)
	return r.Applied >= s.current.Version
}

// evaluateControl backs off a control process if the fetch failed, its replies
// are slow, it is behind this node, or a quorum confirmed it too long ago or
// never. After a backoff, the first reply must not be slow, and only the second
// good reply resets the backoff time.
func (s *State) evaluateControl(f fetch, e ControlFetchDone, good bool) {
	c := f.control
	if s.now.Sub(f.at) > f.wait+s.timing.SlowReply {
		c.slow++
	} else {
		c.slow = 0
	}
	age := quorumAge(e.Reply)
	isolated := age < 0 || age > s.timing.MaxQuorumAge
	slow := c.slow >= s.timing.SlowReplyLimit || c.slow > 0 && !c.trusted
	if !good || isolated || slow {
		s.backoff(c)
		return
	}
	if c.trusted {
		c.backoff = 0
	}
	c.trusted = true
}

func (s *State) backoff(c *control) {
	c.backoff = min(s.timing.BackoffMax, max(s.timing.BackoffMin, 2*c.backoff))
	// Jitter keeps nodes from returning to it at the same time.
	jitter := time.Duration(s.random.Int64N(int64(c.backoff)/4 + 1))
	c.backoffUntil = s.now.Add(c.backoff + jitter)
	c.trusted = false
	c.slow = 0
	s.nextPollAt = s.now
}

// pollPeer fetches from a random entry node of this data centre or, if there is
// none, of any data centre.
func (s *State) pollPeer() {
	var local, remote []api.EntryMember
	for _, p := range s.peers {
		switch {
		case p.ID == s.id:
		case p.DataCentre == s.dataCentre:
			local = append(local, p)
		default:
			remote = append(remote, p)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	if len(local) > 0 {
		s.fetchFromPeer(local[s.random.IntN(len(local))])
	}
}

func (s *State) handlePeerFetch(e PeerFetchDone) {
	if _, ok := s.inFlight[e.Token]; !ok {
		return
	}
	peer := s.inFlight[e.Token].peer
	delete(s.inFlight, e.Token)
	if e.Failed || !e.Reply.Ready {
		return
	}
	age := time.Duration(-1)
	if e.Reply.AgeMS >= 0 {
		age = time.Duration(e.Reply.AgeMS) * time.Millisecond
	}
	if s.apply(e.Reply.Delta, peer, age) {
		s.recovery.gotVersion = true
		s.confirm(e.Reply.Version, age)
	}
}
