package forwarder

import (
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/discovery"
	"wigeonbay/internal/entry/forward"
	"wigeonbay/internal/telemetry"
)

// tellsOrders reports whether a reply is from a control process that knows orders to evacuate.
func tellsOrders(reply *controlrpc.WatchReply) bool {
	return reply.FeatureLevel >= discovery.LevelEvacuation
}

// firstTable holds the first routing table of a run until the orders to evacuate data centres
// are known. Without a table the node is not ready and sends nothing, so that it sends nothing
// to a data centre that was evacuated before its start.
type firstTable struct {
	table        *api.RoutingTable
	firstReplyAt time.Time
	// ordersKnown is set once a control process has told its orders.
	ordersKnown bool
}

// followEvacuations applies newer orders to evacuate data centres, before anything else in
// the reply lets the node send.
func (n *Node) followEvacuations(address string, reply *controlrpc.WatchReply) {
	set := reply.Evacuations
	if version, _ := n.state.Evacuations(); set == nil || set.Version <= version {
		return
	}
	n.stepLocked(forward.EvacuationChanged{Version: set.Version, DataCentres: set.Evacuated()})
	n.evacuations.Store(set)
	telemetry.ForwardEvacuationsInForce.Log(n.logger,
		zap.Uint64("version", set.Version),
		zap.Strings("evacuated", set.Evacuated()),
		zap.String("control", address),
		zap.Int64("quorum_age_ms", reply.QuorumAgeMS))
}

// followedEvacuations returns the orders that are in force at the node, which the next polls
// confirm.
func (n *Node) followedEvacuations() controlrpc.Evacuations {
	if set := n.evacuations.Load(); set != nil {
		return *set
	}
	return controlrpc.Evacuations{}
}

// tableToInstall returns the routing table to put in force after a reply, nil for none. The
// first one is put in force with a reply of a control process that has told its orders to
// evacuate and has no newer table. If none such has come within confirmTimeout, for example because
// only processes of an earlier build reply, which know no orders, the node serves with the newest
// table and the orders that it has.
func (n *Node) tableToInstall(now time.Time, received *api.RoutingTable, reply *controlrpc.WatchReply) *api.RoutingTable {
	if n.state.TableVersion() > 0 {
		if received != nil && received.Version > n.state.TableVersion() {
			return received
		}
		return nil
	}
	f := &n.firstTable
	if f.firstReplyAt.IsZero() {
		f.firstReplyAt = now
	}
	if received != nil && (f.table == nil || received.Version > f.table.Version) {
		f.table = received
	}
	f.ordersKnown = f.ordersKnown || tellsOrders(reply)
	table := f.table
	switch {
	case table == nil:
		return nil
	case tellsOrders(reply) && table.Version >= reply.TableVersion:
	case now.Sub(f.firstReplyAt) >= confirmTimeout:
		if !f.ordersKnown {
			telemetry.ForwardEvacuationsUnknown.Log(n.logger)
		}
	default:
		return nil
	}
	f.table = nil
	return table
}
