package driver

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"wigeonbay/internal/api"
)

// Status returns the state of the node for operators.
func (n *Node) Status() api.EntryStatus {
	n.mu.Lock()
	targets := n.state.Targets()
	version := n.state.ConfigVersion()
	n.mu.Unlock()
	for i := range targets {
		targets[i].Connections = n.pool.OpenConnections(targets[i].Target)
	}
	slices.SortFunc(targets, func(a, b api.TargetStatus) int {
		return strings.Compare(string(a.Target), string(b.Target))
	})
	return api.EntryStatus{
		ID:            n.settings.Node.ID,
		DataCentre:    n.settings.Node.DataCentre,
		Ready:         n.ready(),
		Draining:      n.draining.Load(),
		ConfigVersion: version,
		ConfigAgeMS:   n.peers.configAge(),
		Members:       n.peers.members(),
		Targets:       targets,
	}
}

// Explain describes how a caller's search on a service would be served now. It
// returns false for an unknown service.
func (n *Node) Explain(service, caller string) (api.Explanation, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Explain(time.Now(), service, caller, rand.Uint64())
}
