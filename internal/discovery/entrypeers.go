package discovery

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
	byDataCentre := map[string][]rankedPeer{}
	for name, known := range w.byNode {
		if name == node || known.kind != WatcherEntry || known.peerAddress == "" || now.Sub(known.lastPoll) > w.expiry {
			continue
		}
		most := maxPeersPerDataCentre
		if known.dataCentre == dataCentre {
			most = maxLocalPeers
		}
		p := rankedPeer{EntryPeer{name, known.dataCentre, known.peerAddress}, pairHash(node, name)}
		byDataCentre[known.dataCentre] = insertRanked(byDataCentre[known.dataCentre], p, most)
	}
	local := byDataCentre[dataCentre]
	delete(byDataCentre, dataCentre)
	var remote []rankedPeer
	for _, peers := range byDataCentre {
		for _, p := range peers {
			remote = insertRanked(remote, p, maxRemotePeers)
		}
	}
	named := make([]EntryPeer, 0, len(local)+len(remote))
	for _, p := range append(local, remote...) {
		named = append(named, p.EntryPeer)
	}
	return named
}

// rankedPeer is a peer with its rank for one node. The lowest ranks are chosen.
type rankedPeer struct {
	EntryPeer
	rank uint64
}

// insertRanked inserts a peer into a list sorted by rank, of which it keeps the first most.
func insertRanked(list []rankedPeer, p rankedPeer, most int) []rankedPeer {
	at, _ := slices.BinarySearchFunc(list, p, func(a, b rankedPeer) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Node, b.Node))
	})
	if at == most {
		return list
	}
	list = slices.Insert(list, at, p)
	return list[:min(len(list), most)]
}

func pairHash(a, b string) uint64 {
	var sum xxhash.Digest
	sum.Reset()
	_, _ = sum.WriteString(a)
	_, _ = sum.WriteString("\x00")
	_, _ = sum.WriteString(b)
	return sum.Sum64()
}
