package driver

import (
	"context"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry"
	"wigeonbay/internal/wire"
)

// peers joins the node to the other entry nodes and to the control processes.
type peers struct {
	node *Node
}

func newPeers(n *Node) *peers {
	return &peers{node: n}
}

func (p *peers) register(*wire.Server) error { return nil }

func (p *peers) start() {}

func (p *peers) stop(context.Context) {}

func (p *peers) ready() bool { return true }

func (p *peers) configAge() int64 { return -1 }

func (p *peers) members() []api.EntryMember { return nil }

// announce takes a target's announcement.
func (p *peers) announce(_ context.Context, a api.Announcement) (api.AnnounceReply, error) {
	p.node.step(entry.TargetChanged{Announcement: a})
	return api.AnnounceReply{Sequence: a.Sequence, RenewMS: a.LeaseMS / 3}, nil
}

func (p *peers) reportTarget(entry.ReportTarget) {}
