package discovery

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// EntryPeer is an entry node that takes requests from other entry nodes.
type EntryPeer struct {
	Node       string
	DataCentre string
	// Address is that of its listener for them.
	Address string
}

const (
	// maxLocalPeers is the number of peers that a node is told of in its own data centre,
	// maxPeersPerDataCentre and maxRemotePeers those in each other one and in all others.
	maxLocalPeers         = 4
	maxPeersPerDataCentre = 2
	maxRemotePeers        = 8
)

// SetPeerAddress records at which address a live watcher takes requests from other entry
// nodes, "" for none, and reports whether that has changed since the watcher last told it.
func (w *Watchers) SetPeerAddress(node, address string) (changed bool) {
	known := w.byNode[node]
	if known == nil {
		return false
	}
	changed = known.peerAddressKnown && known.peerAddress != address
	known.peerAddress, known.peerAddressKnown = address, true
	return changed
}

// KnowsPeerAddress reports whether a live watcher has told its address.
func (w *Watchers) KnowsPeerAddress(node string) bool {
	known := w.byNode[node]
	return known != nil && known.peerAddressKnown
}

// PeersOf returns entry nodes that a node may pass requests on to, those of its own data
// centre first. Each node gets others, so that requests are spread if many nodes pass them
// on.
func (w *Watchers) PeersOf(now time.Time, node, dataCentre string) []EntryPeer {
	var candidates []EntryPeer
	for name, known := range w.byNode {
		if name != node && known.kind == WatcherEntry && known.peerAddress != "" && now.Sub(known.lastPoll) <= w.expiry {
			candidates = append(candidates, EntryPeer{name, known.dataCentre, known.peerAddress})
		}
	}
	slices.SortFunc(candidates, func(a, b EntryPeer) int {
		return cmp.Or(cmp.Compare(pairHash(node, a.Node), pairHash(node, b.Node)), cmp.Compare(a.Node, b.Node))
	})
	var local, remote []EntryPeer
	count := map[string]int{}
	for _, c := range candidates {
		switch {
		case c.DataCentre == dataCentre && len(local) < maxLocalPeers:
			local = append(local, c)
		case c.DataCentre != dataCentre && len(remote) < maxRemotePeers && count[c.DataCentre] < maxPeersPerDataCentre:
			count[c.DataCentre]++
			remote = append(remote, c)
		}
	}
	return append(local, remote...)
}

func pairHash(a, b string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(a))
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write([]byte(b))
	return sum.Sum64()
}
