package driver

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"wigeonbay/internal/api"
	"wigeonbay/internal/configsync"
	"wigeonbay/internal/entry"
	membership "wigeonbay/internal/membership/driver"
	"wigeonbay/internal/wire"
)

// leaveTimeout bounds the time for telling peers that the node is leaving.
const leaveTimeout = 2 * time.Second

// peers connects the node to the other entry nodes and to the control processes,
// and converts changes reported by them into events.
type peers struct {
	node *Node
	// client has the keep-alive settings of the membership protocol. Those for other
	// calls would cost a node more traffic than all membership messages.
	client     *wire.Client
	membership *membership.Service
	// config is nil if the settings contain no control process.
	config *configsync.Service
}

// newPeers returns the peers of a node that they reach at address.
func newPeers(n *Node, address string) *peers {
	dial := n.security.DialWithCuts(n.settings.Testing.CutFile)
	p := &peers{node: n, client: wire.NewClient(dial, wire.WithKeepAlive(membership.KeepAlive()))}
	p.membership = membership.New(membership.Config{
		ID:          n.settings.Node.ID,
		Address:     address,
		DataCentre:  n.settings.Node.DataCentre,
		Region:      n.settings.Node.Region,
		Incarnation: uint64(time.Now().UnixNano()),
		Seeds:       n.settings.Peers,
		Client:      p.client,
		Logger:      n.logger,
		OnChange:    p.handleMembershipChange,
		RandomSeed:  xxhash.Sum64String(n.settings.Node.ID),
	})
	if len(n.settings.Controls) > 0 {
		p.config = configsync.New(configsync.Config{
			Self:     n.settings.Node,
			Controls: n.settings.Controls,
			Peers:    p.membership.Members,
			Client:   n.client,
			Logger:   n.logger,
			OnConfig: p.handleConfig,
		})
	}
	return p
}

func (p *peers) register(server *wire.Server) error {
	if err := p.membership.Register(server); err != nil {
		return err
	}
	if p.config == nil {
		return nil
	}
	return p.config.Register(server)
}

func (p *peers) start() {
	p.membership.Start()
	if p.config != nil {
		p.config.Start()
	}
}

// stop leaves the membership, so that the other entry nodes take over this
// node's share of connections and slots without first having to suspect it.
func (p *peers) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := p.membership.Leave(ctx); err != nil {
		p.node.logger.Debug("failed to leave the membership", zap.Error(err))
	}
	p.membership.Stop()
	p.client.Close()
	if p.config != nil {
		p.config.Stop()
	}
}

// followsControls reports whether the node gets its configuration from control
// processes.
func (p *peers) followsControls() bool {
	return p.config != nil
}

// ready reports whether the node has a configuration that is no older than what
// its data centre has served. The node must follow control processes.
func (p *peers) ready() bool {
	return p.config.Ready()
}

// configAge returns the milliseconds since a control quorum last confirmed the
// configuration, or -1 if none ever did.
func (p *peers) configAge() int64 {
	return max(-1, p.quorumAge().Milliseconds())
}

// quorumAge returns the time since a control quorum last confirmed the
// configuration. It is negative if none ever did.
func (p *peers) quorumAge() time.Duration {
	if p.config == nil {
		return -time.Millisecond
	}
	return p.config.Age()
}

func (p *peers) members() []api.EntryMember {
	return p.membership.Members()
}

// announce processes a target's announcement.
func (p *peers) announce(ctx context.Context, a api.Announcement) (api.AnnounceReply, error) {
	return p.membership.Announce(ctx, a)
}

func (p *peers) reportTarget(e entry.ReportTarget) {
	go p.membership.ReportTarget(e.Target, e.Incarnation, e.State)
}

func (p *peers) handleMembershipChange(change membership.Change) {
	if change.Members != nil {
		p.node.step(entry.MembersChanged{PerDataCentre: countMembers(change.Members), Peers: p.livePeers(change.Members)})
	}
	for _, a := range change.Targets {
		p.node.step(entry.TargetChanged{Announcement: a})
	}
}

// countMembers counts the entry nodes per data centre that may hold connections
// to targets. It includes suspected and unreachable nodes, which may still hold
// their shares.
func countMembers(members []api.EntryMember) map[string]int {
	count := map[string]int{}
	for _, m := range members {
		count[m.DataCentre]++
	}
	return count
}

// livePeers returns the other entry nodes that are alive.
func (p *peers) livePeers(all []api.EntryMember) []entry.Peer {
	var live []entry.Peer
	for _, m := range all {
		if m.ID != p.node.settings.Node.ID && membership.IsAlive(m) {
			live = append(live, entry.Peer{ID: m.ID, DataCentre: m.DataCentre, Address: m.Address})
		}
	}
	return live
}

func (p *peers) handleConfig(config api.Configuration, _ time.Duration) {
	p.node.InstallConfig(config)
}
