package driver

import "time"

// settleTime bounds how long a started node waits for targets, beyond its
// configuration, before it takes requests: a service may have none anywhere.
const settleTime = 3 * time.Second

// readiness decides when a started node takes its first requests. A node that
// took them with its configuration alone would refuse what its neighbours can
// answer, until it has learned of the targets.
type readiness struct {
	// configuredAt is when the node was first seen to hold its configuration.
	configuredAt time.Time
	ready        bool
}

// observe returns whether the node is ready at now. Once it is, it stays so: a
// service that loses its targets later is no better off elsewhere.
func (r *readiness) observe(now time.Time, configured bool, unserved int) bool {
	if !configured {
		return false
	}
	if r.configuredAt.IsZero() {
		r.configuredAt = now
	}
	if unserved == 0 || now.Sub(r.configuredAt) >= settleTime {
		r.ready = true
	}
	return r.ready
}
