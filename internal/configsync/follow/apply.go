package follow

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/clusterconfig"
	"wigeonbay/internal/controlrpc"
)

// apply takes a delta if it leads to a higher version. It reports whether the
// node now holds at least the version that the delta leads to.
func (s *State) apply(d api.ConfigDelta, source string, age time.Duration) bool {
	if d.Whole != nil && d.Whole.Version != d.To {
		s.emit(Note{Kind: NoteBadDelta, Subject: source, Version: d.To})
		return false
	}
	if d.To <= s.current.Version {
		return true
	}
	next, err := clusterconfig.ApplyDelta(s.current, d)
	if err != nil || next.Version != d.To {
		s.emit(Note{Kind: NoteBadDelta, Subject: source, Version: d.To})
		return false
	}
	s.current = next
	s.tail.add(d)
	s.confirm(d.To, age)
	s.emit(Applied{Configuration: next, Age: s.Age(s.now)})
	return true
}

// confirm notes that a quorum confirmed a version some time ago. Word of
// another version than the one in force says nothing about it.
func (s *State) confirm(version uint64, age time.Duration) {
	if version != s.current.Version || age < 0 {
		return
	}
	if at := s.now.Add(-age); at.After(s.confirmed) {
		s.confirmed = at
	}
}

// noteAge tells operators when the quorum's word is missing, and when it is
// back.
func (s *State) noteAge() {
	if !s.ready {
		return
	}
	age := s.Age(s.now)
	cutOff := age < 0 || age > 3*s.timing.MaxQuorumAge
	if cutOff == s.cutOff {
		return
	}
	s.cutOff = cutOff
	kind := NoteConfirmed
	if cutOff {
		kind = NoteUnconfirmed
	}
	s.emit(Note{Kind: kind, Version: s.current.Version})
}

// quorumAge returns the age of the quorum's word in a control's reply;
// negative means never.
func quorumAge(r controlrpc.FetchReply) time.Duration {
	if r.QuorumAgeMS < 0 {
		return -1
	}
	return time.Duration(r.QuorumAgeMS) * time.Millisecond
}
