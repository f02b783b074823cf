package forward

import "time"

// A node may lose its path to all targets while callers, control processes and other nodes
// still reach it. Whether a single target fails says nothing about that; that none of
// several answers does.

const (
	// isolationTargets is the number of targets that must leave requests unanswered before
	// the node counts as isolated, or all targets if there are fewer.
	isolationTargets = 3
	// isolationSilence is how long each of them must do so at least. Targets pause for up
	// to 300 ms, but not all at the same time.
	isolationSilence = 500 * time.Millisecond
	// isolationWorkFactor times the expected work is the same for requests that take long.
	isolationWorkFactor = 3
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
}

// Isolated reports whether no target answers this node.
func (s *State) Isolated() bool { return s.isolation.isolated }

// LastReply returns when a target last replied, or the time of the first event if none has.
func (s *State) LastReply() time.Time { return s.isolation.lastReply }
