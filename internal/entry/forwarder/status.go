package forwarder

import (
	"time"

	"wigeonbay/internal/api"
)

// Status returns the node's status for operators.
func (n *Node) Status() api.EntryStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	forward := &api.ForwardStatus{
		TableVersion: n.state.TableVersion(),
		ConfirmedMS:  -1,
		InProgress:   n.state.InProgress(),
		Routes:       n.state.Routes(),
		Pools:        n.state.Pools(),
		Accounts:     n.accountStatus(),
	}
	forward.EvacuationsVersion, forward.Evacuated = n.state.Evacuations()
	if age, known := n.ready.sinceConfirmed(); known {
		forward.ConfirmedMS = age.Milliseconds()
	}
	return api.EntryStatus{
		ID:          n.cfg.Settings.Node.ID,
		DataCentre:  n.cfg.Settings.Node.DataCentre,
		Ready:       n.ready.evaluate(time.Now()) && !n.draining.Load(),
		Draining:    n.draining.Load(),
		ConfigAgeMS: -1,
		Forward:     forward,
	}
}

// ExplainRoute explains how a request of an account, "" for none, would be forwarded now. It
// returns false if no route matches.
func (n *Node) ExplainRoute(host, path, account string) (api.RouteExplanation, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Explain(time.Now(), host, path, account)
}
