package forwarder

import (
	"time"

	"wigeonbay/internal/entry/forward"
	"wigeonbay/internal/telemetry"
)

// Names of the metrics of forwarded requests.
const (
	metricRequests    = "wigeonbay_forward_requests_total"
	metricRejected    = "wigeonbay_forward_rejected_total"
	metricAccounts    = "wigeonbay_forward_account_requests_total"
	metricDuration    = "wigeonbay_forward_request_seconds"
	metricSends       = "wigeonbay_forward_sends_total"
	metricTargets     = "wigeonbay_forward_targets"
	metricQueue       = "wigeonbay_forward_queue_length"
	metricBudget      = "wigeonbay_forward_budget_left"
	metricInProgress  = "wigeonbay_forward_requests_in_progress"
	metricTable       = "wigeonbay_forward_table_version"
	metricEvacuated   = "wigeonbay_forward_evacuated_data_centres"
	metricOrders      = "wigeonbay_forward_evacuations_version"
	metricTableAge    = "wigeonbay_forward_table_confirmed_seconds_ago"
	metricControls    = "wigeonbay_forward_controls_reached"
	metricConnections = "wigeonbay_forward_connections"
	metricQuarantined = "wigeonbay_forward_quarantined_requests"
	metricCold        = "wigeonbay_forward_cold_targets"
	metricTargetLimit = "wigeonbay_forward_target_limit_per_second"
	metricLimitShare  = "wigeonbay_forward_target_limit_share_per_second"
	metricLimitedSent = "wigeonbay_forward_limited_target_sends_total"
	metricIsolated    = "wigeonbay_forward_isolated"
	metricLastReply   = "wigeonbay_forward_target_replied_seconds_ago"
)

// recordMetrics records the metrics of a finished request. The caller holds mu.
func (n *Node) recordMetrics(status int, reason string, s *forward.Summary) {
	m := n.cfg.Metrics
	m.Count(n.series.request(s.Route, status, reason), 1)
	if s.Account != "" {
		m.Count(n.series.account(s.Account, reason), 1)
	}
	m.Observe(n.series.duration(s.Route), s.Took)
	for i := range s.Sends {
		m.Count(n.series.send(s.Sends[i].Outcome, s.Sends[i].Hedge), 1)
	}
}

// gauges reports the current state of the node.
func (n *Node) gauges(set func(string, float64)) {
	open, idle := n.pool.Connections()
	set(telemetry.Series(metricConnections, "state", "busy"), float64(open-idle))
	set(telemetry.Series(metricConnections, "state", "idle"), float64(idle))
	n.mu.Lock()
	defer n.mu.Unlock()
	set(metricInProgress, float64(n.state.InProgress()))
	set(metricTable, float64(n.state.TableVersion()))
	evacuationsVersion, evacuated := n.state.Evacuations()
	set(metricOrders, float64(evacuationsVersion))
	set(metricEvacuated, float64(len(evacuated)))
	if age, known := n.ready.sinceConfirmed(); known {
		set(metricTableAge, age.Seconds())
	}
	set(metricControls, float64(n.watcher.CountReachable()))
	set(metricQuarantined, float64(n.state.CountQuarantined(time.Now())))
	set(metricIsolated, 0)
	if n.state.Isolated() {
		set(metricIsolated, 1)
	}
	if last := n.state.LastReply(); !last.IsZero() {
		set(metricLastReply, time.Since(last).Seconds())
	}
	set(metricCold, float64(n.state.CountCold()))
	n.quotaGauges(set)
	for _, l := range n.state.LimitedTargets() {
		set(telemetry.Series(metricTargetLimit, "target", string(l.Target)), l.Limit.PerSecond)
		set(telemetry.Series(metricLimitShare, "target", string(l.Target)), l.Share)
		set(telemetry.Series(metricLimitedSent, "target", string(l.Target)), float64(l.Sent))
	}
	for _, p := range n.state.Pools() {
		set(telemetry.Series(metricQueue, "service", p.Name), float64(p.Waiting))
		set(telemetry.Series(metricBudget, "service", p.Name), p.BudgetLeft)
		for state, count := range p.Targets {
			set(telemetry.Series(metricTargets, "service", p.Name, "state", state), float64(count))
		}
	}
}
