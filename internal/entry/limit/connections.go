package limit

import "time"

// Parameters of the connection budget.
const (
	// remoteFraction is the fraction of a target's connections that is reserved for
	// entry nodes in other data centres and for replacing silent connections.
	remoteFraction = 0.2
	// growthDelay is the delay before a node uses a larger share. By then every
	// other node has learned of the membership change and reduced its share, so
	// that the shares never add up to more than the target's limit.
	growthDelay = 3 * time.Second
)

// ConnectionShare returns how many of a target's connections each of the given
// number of entry nodes in its data centre may hold. It leaves out the reserved
// fraction and is at least 1.
func ConnectionShare(connections, nodes int) int {
	usable := connections - int(remoteFraction*float64(connections)+0.5)
	return max(1, usable/max(nodes, 1))
}

// RemoteConnectionShare returns how many of a target's connections each of the
// given number of entry nodes outside its data centre may hold: an equal part of
// half the reserved fraction, at least 1.
func RemoteConnectionShare(connections, nodes int) int {
	reserved := int(remoteFraction * float64(connections))
	return max(1, reserved/max(nodes, 1)/2)
}

// Share is a node's share of a target's connections, which changes with the
// number of entry nodes. A decrease applies at once, an increase only after the
// new value has been stable for growthDelay.
type Share struct {
	current int
	// pending is the value last passed to Update.
	pending int
	// pendingSince is the time at which a pending increase got its present value.
	pendingSince time.Time
}

// Update sets the share that the current number of nodes allows and returns the
// one to use. The first value applies at once.
func (s *Share) Update(now time.Time, wanted int) int {
	if s.current == 0 || wanted <= s.current {
		s.current = wanted
		s.pending = wanted
		return s.current
	}
	if wanted != s.pending {
		s.pending = wanted
		s.pendingSince = now
	}
	if now.Sub(s.pendingSince) >= growthDelay {
		s.current = wanted
	}
	return s.current
}

// Current returns the share in use.
func (s *Share) Current() int {
	return s.current
}
