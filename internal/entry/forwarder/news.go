package forwarder

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/discovery"
	"wigeonbay/internal/entry/forward"
	"wigeonbay/internal/pack"
	"wigeonbay/internal/telemetry"
)

// takeNews puts what a control process told into force.
func (n *Node) takeNews(address string, reply *controlrpc.WatchReply) {
	table := n.unpack(address, reply.Table)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range reply.Targets {
		for _, changed := range n.targets.Merge(a) {
			n.stepLocked(forward.TargetChanged{Announcement: changed})
			telemetry.ForwardTargetChanged.Log(n.logger,
				zap.String("target", string(changed.Target)),
				zap.String("service", changed.Service),
				zap.String("data_centre", changed.DataCentre),
				zap.String("state", string(changed.State)),
				zap.Uint64("incarnation", changed.Incarnation),
				zap.Uint64("sequence", changed.Sequence),
				zap.String("control", address),
				zap.Uint64("revision", reply.Revision))
		}
	}
	n.noteNodes(reply.EntryNodes)
	if table != nil && table.Version > n.state.TableVersion() {
		n.stepLocked(forward.TableInstalled{Table: table})
		n.bodyMax = table.Limits.BodyBytes
		n.document.Store(reply.Table)
		n.tableHeld.Store(table.Version)
		telemetry.ForwardTableInForce.Log(n.logger,
			zap.Uint64("version", table.Version),
			zap.Int("routes", len(table.Routes)),
			zap.String("control", address),
			zap.Int64("quorum_age_ms", reply.QuorumAgeMS))
	}
	n.ready.heard(time.Now(), reply, n.state.TableVersion())
}

// lacks returns the targets of offered records that are not in force here.
func (n *Node) lacks(offers []discovery.Offer) []api.TargetID {
	n.mu.Lock()
	defer n.mu.Unlock()
	var lacking []api.TargetID
	for _, o := range offers {
		if !n.targets.MergeOffer(o) {
			lacking = append(lacking, o.Target)
		}
	}
	return lacking
}

// recordsChecksum identifies the records of targets that are in force here.
func (n *Node) recordsChecksum() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.targets.Checksum()
}

// unpack returns the table of a reply, nil when there is none that can be used.
func (n *Node) unpack(address string, document *controlrpc.Document) *api.RoutingTable {
	if document == nil {
		return nil
	}
	unpacked, err := pack.Unpack(document.Packed)
	if err == nil {
		var table *api.RoutingTable
		if table, err = n.cfg.DecodeTable(unpacked); err == nil {
			return table
		}
	}
	telemetry.ForwardTableUnusable.Log(n.logger,
		zap.Uint64("version", document.Version), zap.String("control", address), zap.Error(err))
	return nil
}

// noteNodes takes the number of live entry nodes. Control processes that have
// just started know few of them, so the greatest of the latest counts is used.
func (n *Node) noteNodes(counts map[string]int) {
	changed := n.ready.nodes.note(time.Now(), counts)
	if changed != nil {
		n.stepLocked(forward.NodesChanged{PerDataCentre: changed})
	}
}

// checksHandler serves the balancer's readiness check.
func (n *Node) checksHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != n.cfg.ReadyPath:
			w.WriteHeader(http.StatusNotFound)
		case n.isReady():
			w.WriteHeader(http.StatusOK)
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func (n *Node) isReady() bool {
	if n.draining.Load() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready.observe(time.Now())
}
