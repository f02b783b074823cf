package driver

import (
	"net/http"
	"time"

	"wigeonbay/internal/api"
)

// settleTime bounds how long a started node waits for targets, beyond its
// configuration, before it takes requests: a service may have none anywhere.
const settleTime = 3 * time.Second

// notReadyRetry is when to come back to a node that is starting.
const notReadyRetry = time.Second

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

// ready reports whether the balancer may send requests.
func (n *Node) ready() bool {
	if n.draining.Load() {
		return false
	}
	configured := n.configured()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.readiness.observe(time.Now(), configured, n.state.IncompleteServices())
}

// configured reports whether the configuration in force is one that the node
// may serve under.
func (n *Node) configured() bool {
	if !n.peers.follows() {
		return n.installed.Load()
	}
	if !n.peers.ready() {
		return false
	}
	// The reducer may be a step behind the service that follows tickets.
	followed := n.peers.config.Version()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.ConfigVersion() >= followed
}

// refuseUninformed refuses a request that comes before the node's first
// configuration: the node can't tell an unknown service from one that it has
// not heard of yet. It returns nil for good after that.
func (n *Node) refuseUninformed() *api.Problem {
	if n.informed.Load() {
		return nil
	}
	if n.configured() {
		n.informed.Store(true)
		return nil
	}
	p := api.NewProblem(http.StatusServiceUnavailable, api.CodeNotReady, api.RanNo, "the node has no configuration yet")
	return p.RetryAfter(notReadyRetry)
}

// closeWhenDraining has callers give up their connections while the node
// drains, each with a reply: a connection that is still open when the node stops
// could carry a request at that moment.
func (n *Node) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
