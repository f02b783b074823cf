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

// leaveTimeout bounds how long a stopping node tells its peers of it.
const leaveTimeout = 2 * time.Second

// peers joins the node to the other entry nodes and to the control processes,
// and turns their news into events.
type peers struct {
	node *Node
	// client has the keep-alive of membership: that of other calls would cost a
	// node more than all of its news.
	client     *wire.Client
	membership *membership.Service
	// config is nil for a node whose settings name no control process.
	config *configsync.Service
}

// newPeers returns the node's link to its peers, which reach it at address.
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
		OnChange:    p.changed,
		RandomSeed:  xxhash.Sum64String(n.settings.Node.ID),
	})
	if len(n.settings.Controls) > 0 {
		p.config = configsync.New(configsync.Config{
			Self:     n.settings.Node,
			Controls: n.settings.Controls,
			Peers:    p.membership.Members,
			Client:   n.client,
			Logger:   n.logger,
			OnConfig: p.configured,
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

// stop leaves the other entry nodes, so that they take over this node's share
// of connections and slots without waiting to suspect it.
func (p *peers) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := p.membership.Leave(ctx); err != nil {
		p.node.logger.Debug("leave", zap.Error(err))
	}
	p.membership.Stop()
	p.client.Close()
	if p.config != nil {
		p.config.Stop()
	}
}

// follows reports whether the node follows control processes.
func (p *peers) follows() bool {
	return p.config != nil
}

// ready reports whether the node holds a configuration that is no older than
// what its data centre has served.
func (p *peers) ready() bool {
	return p.config.Ready()
}

// configAge returns the milliseconds since a control quorum last confirmed the
// configuration; -1 means never.
func (p *peers) configAge() int64 {
	return max(-1, p.quorumAge().Milliseconds())
}

// quorumAge returns the time since a control quorum was last heard of; a
// negative one means never.
func (p *peers) quorumAge() time.Duration {
	if p.config == nil {
		return -time.Millisecond
	}
	return p.config.Age()
}

func (p *peers) members() []api.EntryMember {
	return p.membership.Members()
}

// announce takes a target's announcement.
func (p *peers) announce(ctx context.Context, a api.Announcement) (api.AnnounceReply, error) {
	return p.membership.Announce(ctx, a)
}

func (p *peers) reportTarget(e entry.ReportTarget) {
	go p.membership.ReportTarget(e.Target, e.Incarnation, e.State)
}

func (p *peers) changed(change membership.Change) {
	if change.Members != nil {
		p.node.step(entry.MembersChanged{PerDataCentre: countMembers(change.Members)})
	}
	for _, a := range change.Targets {
		p.node.step(entry.TargetChanged{Announcement: a})
	}
}

// countMembers counts the entry nodes that may hold connections to targets.
// A suspected or unreachable node counts: it may still hold its share.
func countMembers(members []api.EntryMember) map[string]int {
	count := map[string]int{}
	for _, m := range members {
		count[m.DataCentre]++
	}
	return count
}

func (p *peers) configured(config api.Configuration, _ time.Duration) {
	p.node.InstallConfig(config)
}
