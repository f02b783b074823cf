package forward

import (
	"slices"
	"time"
)

// Peer is another entry node that may be passed requests.
type Peer struct {
	Node       string
	DataCentre string
	Address    string
}

const (
	// peerPause is how long a peer gets no requests after it could not be reached or has
	// refused one for a reason of its own.
	peerPause = time.Second
	// tablePause is the same after a peer has refused one because another routing table applies
	// there. Both nodes have the newer table soon; while tables change more often than once in
	// peerPause, a node with one peer left would refuse most requests.
	tablePause = 100 * time.Millisecond
	// peerRequestCost is the cost of each request that waits for a peer's response, in the
	// time by which peers are compared. It spreads requests over the data centre's own
	// peers before others.
	peerRequestCost = 2 * time.Millisecond
	// lastPeerCost is the cost that makes a peer be chosen last.
	lastPeerCost = time.Second
	// peerStall is the age of a request without a response above which a peer is chosen
	// last, unless it has answered a later one.
	peerStall = 500 * time.Millisecond
)

// peer is this node's view of a Peer.
type peer struct {
	Peer
	// outstanding holds the delegations in progress, oldest first.
	outstanding []*delegation
	lastReply   time.Time
	avoidUntil  time.Time
	// lastUntil is the time until which the peer is chosen last, because it stops or has
	// lacked targets.
	lastUntil time.Time
}

// updatePeers replaces the list of peers.
func (s *State) updatePeers(peers []Peer) {
	known := s.peers
	s.peers = make([]*peer, 0, len(peers))
	for _, p := range peers {
		at := slices.IndexFunc(known, func(k *peer) bool { return k.Peer == p })
		if at >= 0 {
			s.peers = append(s.peers, known[at])
			continue
		}
		s.peers = append(s.peers, &peer{Peer: p})
	}
}

// Peers returns the known peers.
func (s *State) Peers() []Peer {
	out := make([]Peer, len(s.peers))
	for i, p := range s.peers {
		out[i] = p.Peer
	}
	return out
}

// choosePeer returns the peer that is expected to answer a request first, nil if none may
// still be asked in time.
func (s *State) choosePeer(r *request) *peer {
	if r.fromPeer != nil || len(r.askedPeers) >= maxAskedPeers {
		return nil
	}
	var best *peer
	var bestScore time.Duration
	for _, p := range s.peers {
		if !r.bound.allows(p.DataCentre) || s.now.Before(p.avoidUntil) || slices.Contains(r.askedPeers, p) || !s.now.Before(s.peerDeadline(r, p)) {
			continue
		}
		if score := s.peerScore(p); best == nil || score < bestScore {
			best, bestScore = p, score
		}
	}
	return best
}

// peerScore returns the cost of asking a peer. Lower is better.
func (s *State) peerScore(p *peer) time.Duration {
	score := s.roundTripTo(p.DataCentre) + time.Duration(len(p.outstanding))*peerRequestCost
	if s.now.Before(p.lastUntil) {
		score += lastPeerCost
	}
	if len(p.outstanding) == 0 {
		return score
	}
	oldest := p.outstanding[0].sent
	if age := s.now.Sub(oldest); age > peerStall && p.lastReply.Before(oldest) {
		score += age
	}
	return score
}

func (p *peer) remove(d *delegation) {
	p.outstanding = slices.DeleteFunc(p.outstanding, func(other *delegation) bool { return other == d })
}
