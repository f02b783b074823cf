package forwarder

import (
	"maps"
	"time"

	"wigeonbay/internal/controlrpc"
)

const (
	// maxQuorumAge is the age of the quorum's last word up to which a control
	// process counts as current.
	maxQuorumAge = 3 * time.Second
	// settleTime is how long a started node waits for a current control process
	// before it serves with the highest routing table that it was given.
	settleTime = 3 * time.Second
	// nodesWindow is how long a greater count of entry nodes is held on to.
	nodesWindow = 4 * time.Second
)

// readiness decides when a started node takes requests. A node that served the
// first routing table it is given could serve an older one than was served
// before: the control process may be behind.
type readiness struct {
	started time.Time
	ready   bool
	held    uint64
	nodes   nodeCounts
	// confirmed is when a current control process last had no newer table.
	confirmed time.Time
}

// confirmedAgo returns the time since the routing table in force was last
// confirmed to be the newest, and false for never.
func (r *readiness) confirmedAgo() (time.Duration, bool) {
	return time.Since(r.confirmed), !r.confirmed.IsZero()
}

// heard notes a control process's reply, and the version of the routing table
// in force here after it.
func (r *readiness) heard(now time.Time, reply *controlrpc.WatchReply, held uint64) {
	if r.started.IsZero() {
		r.started = now
	}
	r.held = held
	current := reply.QuorumAgeMS >= 0 && time.Duration(reply.QuorumAgeMS)*time.Millisecond <= maxQuorumAge
	if current && held > 0 && held >= reply.TableVersion {
		r.ready = true
		r.confirmed = now
	}
}

// observe returns whether the node is ready. Once it is, it stays so.
func (r *readiness) observe(now time.Time) bool {
	if !r.ready && r.held > 0 && now.Sub(r.started) >= settleTime {
		r.ready = true
	}
	return r.ready
}

// nodeCounts keeps the number of entry nodes of each data centre.
type nodeCounts struct {
	current map[string]int
	at      map[string]time.Time
}

// note takes counts and returns the ones to use when these have changed.
func (c *nodeCounts) note(now time.Time, counts map[string]int) map[string]int {
	if c.current == nil {
		c.current, c.at = map[string]int{}, map[string]time.Time{}
	}
	changed := false
	for name, count := range counts {
		known := c.current[name]
		if count >= known || now.Sub(c.at[name]) > nodesWindow {
			c.at[name] = now
			changed = changed || count != known
			c.current[name] = count
		}
	}
	for name := range c.current {
		if _, told := counts[name]; !told && now.Sub(c.at[name]) > nodesWindow {
			delete(c.current, name)
			changed = true
		}
	}
	if !changed {
		return nil
	}
	return maps.Clone(c.current)
}
