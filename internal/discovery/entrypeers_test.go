package discovery

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newPeerWatchers returns the watchers of a number of data centres with entry nodes each.
func newPeerWatchers(now time.Time, dataCentres, nodes int) *Watchers {
	w := NewWatchers(time.Second)
	for d := range dataCentres {
		for n := range nodes {
			name := fmt.Sprintf("d%d-%d", d, n)
			w.RecordPoll(now, name, WatcherEntry, fmt.Sprint("d", d), 0)
			w.SetPeerAddress(name, name+":1")
		}
	}
	return w
}

func TestPeersAreOtherLiveNodesThatTakeRequests(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	w := newPeerWatchers(now, 3, 2)
	w.RecordPoll(now, "control", WatcherControl, "d0", 0)
	w.SetPeerAddress("control", "control:1")
	w.SetPeerAddress("d1-1", "")
	w.RecordPoll(now.Add(time.Second), "d2-0", WatcherEntry, "d2", 0)
	w.SetPeerAddress("d2-0", "d2-0:1")
	assert.DeepEqual(t, w.PeersOf(now, "d0-0", "d0")[0], EntryPeer{"d0-1", "d0", "d0-1:1"})
	assert.Equal(t, len(w.PeersOf(now, "d0-0", "d0")), 4)
	assert.DeepEqual(t, w.PeersOf(now.Add(2*time.Second), "d0-0", "d0"), []EntryPeer{{"d2-0", "d2", "d2-0:1"}})
}

// TestPeersAreSpreadOverNodes checks how often each node is named when a whole data centre
// of a large deployment asks.
func TestPeersAreSpreadOverNodes(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const dataCentres, nodes = 6, 49
	w := newPeerWatchers(now, dataCentres, nodes)
	named := map[string]int{}
	first := map[string]int{}
	for n := range nodes {
		peers := w.PeersOf(now, fmt.Sprintf("d0-%d", n), "d0")
		assert.Equal(t, len(peers), maxLocalPeers+maxRemotePeers)
		for i, p := range peers {
			named[p.Node]++
			if i == maxLocalPeers {
				first[p.Node]++
			}
		}
	}
	for node, count := range named {
		assert.Assert(t, count <= 16, "%s is named %d times", node, count)
	}
	for node, count := range first {
		assert.Assert(t, count <= 4, "%s is the first remote peer of %d nodes", node, count)
	}
}

// BenchmarkPeersOf measures the choice of peers for one node of a large deployment and of
// the size to design for.
func BenchmarkPeersOf(b *testing.B) {
	for _, size := range []struct{ dataCentres, nodes int }{{6, 49}, {14, 600}} {
		b.Run(fmt.Sprint(size.dataCentres*size.nodes), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			w := newPeerWatchers(now, size.dataCentres, size.nodes)
			for b.Loop() {
				w.PeersOf(now, "d0-0", "d0")
			}
		})
	}
}
