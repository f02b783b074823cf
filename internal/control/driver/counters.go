package driver

import "wigeonbay/internal/control/replica"

// Counters are the values that the node publishes at /debug/vars.
type Counters struct {
	Role        string `json:"role"`
	Term        uint64 `json:"term"`
	Leader      string `json:"leader"`
	Version     uint64 `json:"version"`
	Claims      int    `json:"claims"`
	QuorumAgeMS int64  `json:"quorum_age_ms"`
	LogBytes    int64  `json:"log_bytes"`
	// Syncs counts the syncs of the log, Writes the writes that they covered.
	Syncs  uint64 `json:"syncs"`
	Writes uint64 `json:"writes"`
	// Quotas counts calls for tokens of client accounts.
	Quotas QuotaCounters `json:"quotas"`
	// Ready is set if the replica leads the group or knows its leader.
	Ready bool `json:"ready"`
}

// Counters returns the node's counters.
func (n *Node) Counters() Counters {
	v := n.view.Load()
	n.quotas.mu.Lock()
	quotas := n.quotas.counters
	n.quotas.mu.Unlock()
	n.machineMu.RLock()
	defer n.machineMu.RUnlock()
	return Counters{
		Role:        v.role.String(),
		Term:        v.term,
		Leader:      v.leader.ID,
		Version:     n.machine.Version(),
		Claims:      n.machine.Claims(),
		QuorumAgeMS: n.quorumAgeMS(),
		LogBytes:    n.log.Bytes(),
		Syncs:       n.disk.syncs.Load(),
		Writes:      n.disk.writes.Load(),
		Quotas:      quotas,
		Ready:       v.role == replica.RoleLeader || !v.leader.IsZero(),
	}
}
