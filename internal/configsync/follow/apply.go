package follow

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/clusterconfig"
	"wigeonbay/internal/controlrpc"
)

// apply applies a delta if it leads to a higher version. It reports whether the
// delta is valid and the node now has at least version d.To.
func (s *State) apply(d api.ConfigDelta, source string, age time.Duration) bool {
	if d.Whole != nil && d.Whole.Version != d.To {
		s.emit(LogEvent{Kind: LogDeltaRejected, Subject: source, Version: d.To})
		return false
	}
	if d.To <= s.current.Version {
		return true
	}
	next, err := clusterconfig.ApplyDelta(s.current, d)
	if err != nil || next.Version != d.To {
		s.emit(LogEvent{Kind: LogDeltaRejected, Subject: source, Version: d.To})
		return false
	}
	s.current = next
	s.recentTickets.add(d)
	s.confirm(d.To, age)
	s.emit(Applied{Configuration: next, Age: s.Age(s.now)})
	return true
}

// confirm records that a quorum confirmed a version the given time ago. It
// ignores confirmations of versions other than the current one and negative
// ages, which mean that the version was never confirmed.
func (s *State) confirm(version uint64, age time.Duration) {
	if version != s.current.Version || age < 0 {
		return
	}
	if at := s.now.Add(-age); at.After(s.confirmed) {
		s.confirmed = at
	}
}

// reportConfirmation emits LogUnconfirmed when the version of a ready node was
// never confirmed by a quorum or not within three times MaxQuorumAge, and
// LogConfirmed when it is confirmed again.
func (s *State) reportConfirmation() {
	if !s.ready {
		return
	}
	age := s.Age(s.now)
	unconfirmed := age < 0 || age > 3*s.timing.MaxQuorumAge
	if unconfirmed == s.unconfirmed {
		return
	}
	s.unconfirmed = unconfirmed
	kind := LogConfirmed
	if unconfirmed {
		kind = LogUnconfirmed
	}
	s.emit(LogEvent{Kind: kind, Version: s.current.Version})
}

// quorumAge returns the time since a quorum last confirmed the control process
// that sent r; negative means never.
func quorumAge(r controlrpc.FetchReply) time.Duration {
	if r.QuorumAgeMS < 0 {
		return -1
	}
	return time.Duration(r.QuorumAgeMS) * time.Millisecond
}
