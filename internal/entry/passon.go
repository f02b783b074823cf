package entry

import (
	"net/http"
	"slices"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/isolation"
)

// A node that no target answers passes requests on to another entry node. It answers the
// load of callers that a node gets while it is cut off from targets that others reach.

const (
	// maxAskedPeers is the number of peers that one request is passed to.
	maxAskedPeers = 3
	// peerPause is how long a peer gets no requests after it has not answered one or could
	// not serve it.
	peerPause = time.Second
	// maxProbes is the number of health checks that an isolated node has in progress.
	maxProbes = 4
)

// Peer is another entry node that may be passed requests.
type Peer struct {
	ID         string
	DataCentre string
	Address    string
}

// PassedOn describes a request that a peer has passed on to this node.
type PassedOn struct {
	// ConfigVersion is the version of the configuration that must apply.
	ConfigVersion uint64
}

// PassOnOutcome is how a peer has handled a request.
type PassOnOutcome uint8

// Outcomes of requests that were passed on.
const (
	// PassOnAnswered is a response that is final.
	PassOnAnswered PassOnOutcome = iota
	// PassOnRefused is a refusal after which another peer may be asked: the request is a
	// search or has not run.
	PassOnRefused
	// PassOnNotSent means that the peer has certainly not received the request.
	PassOnNotSent
	// PassOnLost means that no response came: the request may have run.
	PassOnLost
)

// passedOn is a request that a peer has.
type passedOn struct {
	query    QueryID
	submit   bool
	seed     uint64
	deadline time.Time
	asked    []Peer
	// refused reports that a peer has refused the request, so that there is a response.
	refused bool
}

// passOn passes a request on if no target answers this node, and reports whether the request
// is handled with that.
func (s *State) passOn(p *passedOn) bool {
	if !s.isolation.Isolated() || len(s.peers) == 0 {
		return false
	}
	if !s.askNextPeer(p) {
		s.refuse(p.query, s.unavailableProblem("no target answers this node", p.seed))
	}
	return true
}

// rejectPassedOn returns a problem if this node can't serve a request that a peer has passed
// on. The configurations must be the same, or the peer's callers could see an older one
// after a newer one.
func (s *State) rejectPassedOn(p *PassedOn, seed uint64) *api.Problem {
	switch {
	case p == nil:
		return nil
	case s.isolation.Isolated():
		return s.unavailableProblem("no target answers this node", seed)
	case p.ConfigVersion != s.config.Version:
		return s.unavailableProblem("the configurations of the two entry nodes differ", seed)
	default:
		return nil
	}
}

// askNextPeer passes a request to the next peer that may be asked, and reports whether there
// is one. Peers of the node's own data centre come first, others in turn.
func (s *State) askNextPeer(p *passedOn) bool {
	var best *Peer
	for i := range s.peers {
		peer := &s.peers[(i+int(p.query%QueryID(len(s.peers))))%len(s.peers)]
		if s.now.Before(s.peerAvoidedUntil[peer.ID]) || slices.Contains(p.asked, *peer) {
			continue
		}
		if best == nil || peer.DataCentre == s.options.DataCentre && best.DataCentre != peer.DataCentre {
			best = peer
		}
	}
	deadline := p.deadline.Add(-answerMargin)
	if best == nil || len(p.asked) >= maxAskedPeers || !s.now.Before(deadline) {
		return false
	}
	p.asked = append(p.asked, *best)
	s.passed[p.query] = p
	s.counters.PassedOn++
	s.emit(PassOn{Query: p.query, Peer: *best, Deadline: deadline, ConfigVersion: s.config.Version})
	return true
}

// handlePassOnEnded answers a request with a peer's response, or passes it to another peer
// if it has certainly not run.
func (s *State) handlePassOnEnded(ev PassOnEnded) {
	p := s.passed[ev.Query]
	if p == nil {
		return
	}
	delete(s.passed, ev.Query)
	if ev.Outcome != PassOnAnswered {
		s.peerAvoidedUntil[p.asked[len(p.asked)-1].ID] = s.now.Add(peerPause)
	}
	switch {
	case ev.Outcome == PassOnAnswered:
		s.counters.Answered++
		s.emit(AnswerFromPeer{Query: ev.Query})
	case ev.Outcome == PassOnLost:
		s.refuse(ev.Query, lostProblem(p))
	default:
		p.refused = p.refused || ev.Outcome == PassOnRefused
		if s.askNextPeer(p) {
			return
		}
		if p.refused {
			s.counters.Refused++
			s.emit(AnswerFromPeer{Query: ev.Query})
			return
		}
		s.refuse(ev.Query, s.unavailableProblem("no target answers this node, and no other entry node was reached", p.seed))
	}
}

// lostProblem answers a request of which nobody knows here whether it ran.
func lostProblem(p *passedOn) *api.Problem {
	code := api.CodeUnavailable
	if p.submit {
		code = api.CodeOutcomeUnknown
	}
	return api.NewProblem(http.StatusBadGateway, code, api.RanUnknown, "the entry node that the request was passed on to did not answer")
}

// recordSent records a request to a target for the detection of isolation.
func (s *State) recordSent(target api.TargetID, expectedWork time.Duration) {
	marker := s.unanswered[target]
	s.isolation.RecordSend(&marker, expectedWork)
	s.unanswered[target] = marker
}

// recordAnswer records that a target has replied, whatever it said.
func (s *State) recordAnswer() {
	if _, wasIsolated := s.isolation.RecordReply(); wasIsolated {
		s.emit(LogEvent{Kind: LogTargetsAnswer})
	}
}

// checkIsolation detects that no target answers this node, and sends a health check to one
// of the targets while that lasts.
func (s *State) checkIsolation() {
	if _, isIsolated := s.isolation.Check(len(s.targets)); isIsolated {
		s.emit(LogEvent{Kind: LogNoTargetAnswers})
	}
	if !s.isolation.Isolated() || len(s.probing) >= maxProbes {
		return
	}
	for id, t := range s.targets {
		if t.AcceptsWork() && !s.probing[id] {
			s.probing[id] = true
			s.emit(ProbeTarget{Target: id, Address: t.Announced.Address})
			return
		}
	}
}

func (s *State) handleProbeEnded(ev ProbeEnded) {
	delete(s.probing, ev.Target)
	if ev.Answered {
		s.recordAnswer()
	}
}

// initPassOn initializes the fields about isolation and peers.
func (s *State) initPassOn() {
	s.peerAvoidedUntil = map[string]time.Time{}
	s.passed = map[QueryID]*passedOn{}
	s.unanswered = map[api.TargetID]isolation.Marker{}
	s.probing = map[api.TargetID]bool{}
}
