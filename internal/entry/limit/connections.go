package limit

import "time"

// Constants of the connection budget.
const (
	// remoteFraction of a target's connections is kept for entry nodes of
	// other data centres and for replacing silent connections.
	remoteFraction = 0.2
	// growDelay is how long a node waits before it takes a larger share. By
	// then every other node has heard of the membership change and has shrunk,
	// so the shares never add up to more than the target's limit.
	growDelay = 3 * time.Second
)

// ConnectionShare returns how many connections one of nodes entry nodes of the
// target's own data centre may hold; the last fifth stays free for others.
func ConnectionShare(connections, nodes int) int {
	usable := connections - int(remoteFraction*float64(connections)+0.5)
	return max(1, usable/max(nodes, 1))
}

// RemoteConnectionShare returns how many connections one of nodes entry nodes
// outside the target's data centre may hold.
func RemoteConnectionShare(connections, nodes int) int {
	reserve := int(remoteFraction * float64(connections))
	return max(1, reserve/max(nodes, 1)/2)
}

// Share follows the number of live nodes: a smaller share is taken at once, a
// larger one only after growDelay without another change.
type Share struct {
	current int
	wanted  int
	since   time.Time
}

// Update sets the share that the live nodes allow and returns the one to use.
func (s *Share) Update(now time.Time, wanted int) int {
	if s.current == 0 || wanted <= s.current {
		s.current = wanted
		s.wanted = wanted
		return s.current
	}
	if wanted != s.wanted {
		s.wanted = wanted
		s.since = now
	}
	if now.Sub(s.since) >= growDelay {
		s.current = wanted
	}
	return s.current
}

// Current returns the share in use.
func (s *Share) Current() int {
	return s.current
}
