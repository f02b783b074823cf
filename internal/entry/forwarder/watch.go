package forwarder

import (
	"maps"
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

// handleWatchReply applies the changed targets, node counts and routing table in a
// control process's reply.
func (n *Node) handleWatchReply(address string, reply *controlrpc.WatchReply) {
	table := n.decodeTable(address, reply.Table)
	n.mu.Lock()
	defer n.mu.Unlock()
	if table != nil && table.Version > n.tableVersion.Load() {
		n.document.Store(reply.Table)
		n.tableVersion.Store(table.Version)
	}
	n.followEvacuations(address, reply)
	for _, a := range reply.Targets {
		n.mergeAnnouncement(a, address, reply.Revision)
	}
	if len(reply.Verdicts) > 0 {
		n.stepLocked(forward.VerdictsReceived{Verdicts: reply.Verdicts})
	}
	n.updateNodeCounts(reply)
	n.peers.update(address, reply.EntryPeers)
	if table = n.tableToInstall(time.Now(), table, reply); table != nil {
		n.stepLocked(forward.TableInstalled{Table: table})
		n.maxBodyBytes = table.Limits.BodyBytes
		telemetry.ForwardTableInForce.Log(n.logger,
			zap.Uint64("version", table.Version),
			zap.Int("routes", len(table.Routes)),
			zap.String("control", address),
			zap.Int64("quorum_age_ms", reply.QuorumAgeMS))
	}
	n.ready.handleReply(time.Now(), reply, n.state.TableVersion())
}

// mergeAnnouncement applies an announcement from a source, the address of a control
// process or "reply", and logs the records that it changed.
func (n *Node) mergeAnnouncement(a api.Announcement, source string, revision uint64) {
	for _, changed := range n.targets.Merge(a) {
		n.stepLocked(forward.TargetChanged{Announcement: changed})
		telemetry.ForwardTargetChanged.Log(n.logger,
			zap.String("target", string(changed.Target)),
			zap.String("service", changed.Service),
			zap.String("data_centre", changed.DataCentre),
			zap.String("state", string(changed.State)),
			zap.Uint64("incarnation", changed.Incarnation),
			zap.Uint64("sequence", changed.Sequence),
			zap.String("control", source),
			zap.Uint64("revision", revision))
	}
}

// missingTargets returns the targets whose offered records this node does not have.
func (n *Node) missingTargets(offers []discovery.Offer) []api.TargetID {
	n.mu.Lock()
	defer n.mu.Unlock()
	var missing []api.TargetID
	for _, o := range offers {
		if !n.targets.MergeOffer(o) {
			missing = append(missing, o.Target)
		}
	}
	return missing
}

// recordsChecksum returns the checksum of this node's target records, which the watcher
// compares with those of control processes.
func (n *Node) recordsChecksum() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.targets.Checksum()
}

// decodeTable returns the routing table of a reply, nil if there is none or it is
// malformed.
func (n *Node) decodeTable(address string, document *controlrpc.Document) *api.RoutingTable {
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
	telemetry.ForwardTableInvalid.Log(n.logger,
		zap.Uint64("version", document.Version), zap.String("control", address), zap.Error(err))
	return nil
}

// updateNodeCounts records the number of live entry nodes per data centre. A control
// process may know only some of them, so the greatest of the recent counts is used, and the
// greatest of the recent ranks of this node.
func (n *Node) updateNodeCounts(reply *controlrpc.WatchReply) {
	now := time.Now()
	own := n.cfg.Settings.Node.DataCentre
	countsChanged := n.ready.nodes.update(now, reply.EntryNodes, reply.EntryNodesPartial) != nil
	rankChanged := n.ready.ranks.update(now, map[string]int{own: reply.EntryRank}, reply.EntryNodesPartial) != nil
	if countsChanged || rankChanged {
		n.stepLocked(forward.NodesChanged{PerDataCentre: maps.Clone(n.ready.nodes.current), Rank: n.ready.ranks.current[own]})
	}
}

// readinessHandler answers the load balancer's readiness check.
func (n *Node) readinessHandler() http.Handler {
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
	return n.ready.evaluate(time.Now())
}
