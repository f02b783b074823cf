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
	// isolationTargets is the number of targets that must leave requests unanswered before
	// the node counts as isolated, or all targets if there are fewer.
	isolationTargets = 3
	// isolationSilence is how long each of them must do so at least. Targets pause for up
	// to 300 ms, but not all at the same time.
	isolationSilence = 500 * time.Millisecond
	// isolationWorkFactor times the expected work is the same for requests that take long.
	isolationWorkFactor = 3
	// A node is impaired if it can't reach more than 1/impairedDivisor of the targets.
	impairedDivisor = 2
	// isolationProbes is the number of health checks that an isolated node has in progress.
	isolationProbes = 4
	// maxEventGap is the time between two events above which this process is taken to have
	// been paused, as ticks come more often. Replies may be waiting to be read.
	maxEventGap = 500 * time.Millisecond
)

// isolation tracks whether any target answers this node.
type isolation struct {
	// lastReply is when a target last replied, or the time of the first event.
	lastReply time.Time
	// period counts the replies; it identifies the time since the last one.
	period uint64
	// silent is the number of targets that were sent requests in this period, at most
	// isolationTargets, and overdueAt when all of them should have answered.
	silent    int
	overdueAt time.Time
	isolated  bool
	// unreachable is the number of unreachable targets.
	unreachable int
	impaired    bool
}

// recordUnanswered records a send to a target, which is unanswered until the next reply of
// any target.
func (s *State) recordUnanswered(t *target, expectedWork time.Duration) {
	i := &s.isolation
	if t.unansweredIn == i.period || i.silent == isolationTargets {
		return
	}
	t.unansweredIn = i.period
	i.silent++
	i.overdueAt = later(i.overdueAt, s.now.Add(max(isolationSilence, isolationWorkFactor*expectedWork)))
}

// recordReply records that a target has replied to a request or a health check.
func (s *State) recordReply() {
	s.setIsolated(false)
	i := &s.isolation
	i.lastReply = s.now
	i.period++
	i.silent, i.overdueAt = 0, time.Time{}
}

// checkIsolation detects that the node has become isolated.
func (s *State) checkIsolation() {
	i := &s.isolation
	if i.silent > 0 && i.silent >= min(isolationTargets, len(s.targets)) && !s.now.Before(i.overdueAt) {
		s.setIsolated(true)
	}
}

func (s *State) setIsolated(isolated bool) {
	if s.isolation.isolated == isolated {
		return
	}
	s.isolation.isolated = isolated
	s.emit(IsolationChanged{Isolated: isolated, SinceReply: s.now.Sub(s.isolation.lastReply)})
	if isolated {
		s.rescueAll()
	} else {
		s.spreadProbes()
	}
}

// countUnreachable adds to the number of unreachable targets.
func (s *State) countUnreachable(change int) {
	i := &s.isolation
	i.unreachable += change
	impaired := i.unreachable >= isolationTargets && i.unreachable > len(s.targets)/impairedDivisor
	if impaired == i.impaired {
		return
	}
	i.impaired = impaired
	s.emit(ImpairmentChanged{Impaired: impaired, Unreachable: i.unreachable, Targets: len(s.targets)})
}

// Impaired reports whether this node reaches too few targets to take requests from peers.
func (s *State) Impaired() bool { return s.isolation.isolated || s.isolation.impaired }

// Isolated reports whether no target answers this node.
func (s *State) Isolated() bool { return s.isolation.isolated }

// LastReply returns when a target last replied, or the time of the first event if none has.
func (s *State) LastReply() time.Time { return s.isolation.lastReply }

// excusePause keeps a pause of this process from counting as silence of targets.
func (s *State) excusePause(gap time.Duration) {
	if i := &s.isolation; gap > maxEventGap && i.silent > 0 {
		i.overdueAt = i.overdueAt.Add(gap)
	}
}

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
