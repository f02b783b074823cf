package forwarder

import (
	"maps"
	"time"

	"wigeonbay/internal/controlrpc"
)

const (
	// maxQuorumAge is the greatest time since a control process last heard from the
	// quorum at which it counts as current.
	maxQuorumAge = 3 * time.Second
	// confirmTimeout is how long a node waits for a current control process, from the
	// first reply of any, before it serves with the newest routing table it has
	// received.
	confirmTimeout = 3 * time.Second
	// nodeCountHold is how long the greater of two counts of entry nodes is kept.
	nodeCountHold = 4 * time.Second
)

// readiness decides when a node accepts requests after its start. Having a routing
// table is not enough: the control process that sent it may lag behind, and the table
// may be older than the one served before the restart.
type readiness struct {
	firstReplyAt time.Time
	ready        bool
	tableVersion uint64
	// ordersKnown is set once a control process has told its orders to evacuate.
	ordersKnown bool
	nodes       nodeCounts
	// ranks holds this node's rank under the name of its data centre. A lower one takes
	// effect as late as a lower count.
	ranks nodeCounts
	// confirmedAt is when a current control process last had no newer routing table.
	confirmedAt time.Time
}

// sinceConfirmed returns the time since the routing table in force was last confirmed
// to be the newest, and false if it never was.
func (r *readiness) sinceConfirmed() (time.Duration, bool) {
	return time.Since(r.confirmedAt), !r.confirmedAt.IsZero()
}

// handleReply records a control process's reply. tableVersion is the version of the
// routing table in force on this node after the reply.
func (r *readiness) handleReply(now time.Time, reply *controlrpc.WatchReply, tableVersion uint64) {
	if r.firstReplyAt.IsZero() {
		r.firstReplyAt = now
	}
	r.tableVersion = tableVersion
	current := reply.QuorumAgeMS >= 0 && time.Duration(reply.QuorumAgeMS)*time.Millisecond <= maxQuorumAge
	r.ordersKnown = r.ordersKnown || tellsOrders(reply)
	// A process of an earlier build may lack orders to evacuate that others know.
	current = current && tellsOrders(reply) == r.ordersKnown
	if current && tableVersion > 0 && tableVersion >= reply.TableVersion {
		r.ready = true
		r.confirmedAt = now
	}
}

// evaluate reports whether the node is ready. A node that is ready stays ready.
func (r *readiness) evaluate(now time.Time) bool {
	if !r.ready && r.tableVersion > 0 && now.Sub(r.firstReplyAt) >= confirmTimeout {
		r.ready = true
	}
	return r.ready
}

// nodeCounts holds the number of entry nodes per data centre and when each number was
// last confirmed.
type nodeCounts struct {
	current   map[string]int
	updatedAt map[string]time.Time
}

// update merges reported counts and returns the resulting counts, nil if they are
// unchanged. A smaller or missing count takes effect once the previous one has not been
// reported for nodeCountHold, unless the counts are partial: after an outage of all control
// processes each node would otherwise take all others for gone.
func (c *nodeCounts) update(now time.Time, counts map[string]int, partial bool) map[string]int {
	if c.current == nil {
		c.current, c.updatedAt = map[string]int{}, map[string]time.Time{}
	}
	changed := false
	for name, count := range counts {
		previous := c.current[name]
		if count >= previous || !partial && now.Sub(c.updatedAt[name]) > nodeCountHold {
			c.updatedAt[name] = now
			changed = changed || count != previous
			c.current[name] = count
		}
	}
	for name := range c.current {
		if _, reported := counts[name]; !reported && !partial && now.Sub(c.updatedAt[name]) > nodeCountHold {
			delete(c.current, name)
			changed = true
		}
	}
	if !changed {
		return nil
	}
	return maps.Clone(c.current)
}
