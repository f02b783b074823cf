package driver

import membership "wigeonbay/internal/membership/driver"

// PeerCounters returns the counts of messages to and from other entry nodes. The
// node must have been started.
func (n *Node) PeerCounters() membership.CounterValues {
	return n.peers.membership.Counters()
}
