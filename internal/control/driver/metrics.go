package driver

import (
	"time"

	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/telemetry"
)

// Names of the metrics of a control process.
const (
	metricLeader     = "wigeonbay_control_is_leader"
	metricTerm       = "wigeonbay_control_term"
	metricQuorumAge  = "wigeonbay_control_quorum_seconds_ago"
	metricTable      = "wigeonbay_control_table_version"
	metricEvacuated  = "wigeonbay_control_evacuated_data_centres"
	metricOrders     = "wigeonbay_control_evacuations_version"
	metricLog        = "wigeonbay_control_log_bytes"
	metricSyncs      = "wigeonbay_control_disk_syncs_total"
	metricTargets    = "wigeonbay_control_targets"
	metricEntryNodes = "wigeonbay_control_entry_nodes"
)

// Gauges passes the current values of the node's metrics to set.
func (n *Node) Gauges(set func(string, float64)) {
	v := n.view.Load()
	isLeader := 0.0
	if v.role == replica.RoleLeader {
		isLeader = 1
	}
	set(metricLeader, isLeader)
	set(metricTerm, float64(v.term))
	if age, known := n.quorumAge(); known {
		set(metricQuorumAge, age.Seconds())
	}
	set(metricTable, float64(n.appliedTable().Version))
	evacuations := n.appliedEvacuations()
	set(metricEvacuated, float64(len(evacuations.Evacuated())))
	set(metricOrders, float64(evacuations.Version))
	set(metricLog, float64(n.log.Bytes()))
	set(metricSyncs, float64(n.disk.syncs.Load()))
	n.directory.mu.Lock()
	defer n.directory.mu.Unlock()
	set(metricTargets, float64(len(n.directory.targets.AcceptingWork())))
	for dataCentre, count := range n.directory.watchers.EntryNodes(time.Now()) {
		set(telemetry.Series(metricEntryNodes, "data_centre", dataCentre), float64(count))
	}
}
