package forward

import (
	"cmp"
	"slices"
	"time"
)

// A node may lose its path to targets while callers, control processes and other nodes still
// reach it. Whether a single target fails says nothing about that. It is isolated if none of
// several targets answers, which shows within a second, and impaired if it has found most
// targets unreachable, which also shows while some open connections live on.

const (
	// A node is impaired if it can't reach more than 1/impairedDivisor of the targets, and
	// minUnreachable at least.
	impairedDivisor = 2
	minUnreachable  = 3
	// isolationProbes is the number of health checks that an isolated node has in progress.
	isolationProbes = 4
)

// recordReply records that a target has replied to a request or a health check.
func (s *State) recordReply() {
	if since, wasIsolated := s.isolation.RecordReply(); wasIsolated {
		s.emit(IsolationChanged{SinceReply: since})
		s.spreadProbes()
	}
}

// checkIsolation detects that the node has become isolated, and passes on what it can of
// the requests in progress.
func (s *State) checkIsolation() {
	if since, isIsolated := s.isolation.Check(s.usableTargets()); isIsolated {
		s.emit(IsolationChanged{Isolated: true, SinceReply: since})
		s.rescueAll()
	}
}

// countUnreachable adds to the number of unreachable targets.
func (s *State) countUnreachable(change int) {
	s.unreachable += change
	impaired := s.unreachable >= minUnreachable && s.unreachable > s.usableTargets()/impairedDivisor
	if impaired == s.impaired {
		return
	}
	s.impaired = impaired
	s.emit(ImpairmentChanged{Impaired: impaired, Unreachable: s.unreachable, Targets: s.usableTargets()})
}

// Impaired reports whether this node reaches too few targets to take requests from peers.
func (s *State) Impaired() bool { return s.isolation.Isolated() || s.impaired }

// Isolated reports whether no target answers this node.
func (s *State) Isolated() bool { return s.isolation.Isolated() }

// LastReply returns when a target last replied, or the time of the first event if none has.
func (s *State) LastReply() time.Time { return s.isolation.LastReply() }

// probeAnyTargets sends a health check to any target unless several are in progress: one
// reply ends the isolation.
func (s *State) probeAnyTargets() {
	probing := 0
	for _, t := range s.targets {
		if t.probing {
			probing++
		}
	}
	for _, t := range s.targets {
		if probing < isolationProbes && !t.probing && t.acceptsWork() && !s.now.Before(t.retryAt) {
			s.probe(t)
			return
		}
	}
}

// spreadProbes spreads the next health checks of the unreachable targets over
// maxProbeInterval, beginning with another one on each node of a data centre: many nodes
// may reach the targets again at the same time.
func (s *State) spreadProbes() {
	var unreachable []*target
	for _, t := range s.targets {
		if t.unreachable {
			unreachable = append(unreachable, t)
		}
	}
	slices.SortFunc(unreachable, func(a, b *target) int { return cmp.Compare(a.id(), b.id()) })
	for i, t := range unreachable {
		position := (i + s.rank) % len(unreachable)
		t.nextProbe = s.now.Add(maxProbeInterval * time.Duration(position) / time.Duration(len(unreachable)))
	}
}
