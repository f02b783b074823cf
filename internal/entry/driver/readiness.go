package driver

import (
	"net/http"
	"time"

	"wigeonbay/internal/api"
)

// maxTargetWait bounds the time that a configured node waits for targets before
// it takes requests. A service may have no targets at all.
const maxTargetWait = 3 * time.Second

// notReadyRetryAfter is the retry delay given to callers of a starting node.
const notReadyRetryAfter = time.Second

// readiness decides when a started node takes its first requests. A node that
// took requests as soon as it has a configuration, but before it has learned of
// the targets, would refuse requests that other nodes can answer.
type readiness struct {
	// configuredAt is when the node was first found to be configured.
	configuredAt time.Time
	ready        bool
}

// update reports whether the node is ready at time now, which it never is while
// it isn't configured. A node that has been ready once doesn't wait for targets
// again: if a service loses its targets later, other nodes can't serve it any
// better.
func (r *readiness) update(now time.Time, configured bool, incompleteServices int) bool {
	if !configured {
		return false
	}
	if r.configuredAt.IsZero() {
		r.configuredAt = now
	}
	if incompleteServices == 0 || now.Sub(r.configuredAt) >= maxTargetWait {
		r.ready = true
	}
	return r.ready
}

// ready reports whether the load balancer may send requests to the node.
func (n *Node) ready() bool {
	if n.draining.Load() {
		return false
	}
	configured := n.configured()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.readiness.update(time.Now(), configured, n.state.IncompleteServices())
}

// configured reports whether the node may serve with its current configuration.
func (n *Node) configured() bool {
	if !n.peers.followsControls() {
		return n.configInstalled.Load()
	}
	if !n.peers.ready() {
		return false
	}
	// The reducer may not have processed the latest configuration yet.
	syncedVersion := n.peers.config.Version()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.ConfigVersion() >= syncedVersion
}

// missingConfigProblem returns a problem until the node has its first
// configuration, because until then it can't tell an unknown service from one
// that it hasn't learned of. After that it always returns nil.
func (n *Node) missingConfigProblem() *api.Problem {
	if n.hasConfig.Load() {
		return nil
	}
	if n.configured() {
		n.hasConfig.Store(true)
		return nil
	}
	p := api.NewProblem(http.StatusServiceUnavailable, api.CodeNotReady, api.RanNo, "the node has no configuration yet")
	return p.RetryAfter(notReadyRetryAfter)
}

// closeWhenDraining makes callers close their connections while the node drains,
// by adding "Connection: close" to each response. A connection that is still
// open when the node stops could carry a request at that moment.
func (n *Node) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
