package driver

import membership "wigeonbay/internal/membership/driver"

// PeerCounters returns the counts of messages exchanged with other entry nodes.
// It must be called after Start.
func (n *Node) PeerCounters() membership.CounterValues {
	return n.peers.membership.Counters()
}
