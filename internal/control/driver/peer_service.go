package driver

import (
	"context"
	"fmt"

	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/discovery"
)

// peerService implements the net/rpc methods between replicas. Its calls are
// executed here or rejected, never forwarded, so that no call can loop between
// replicas.
type peerService struct{ n *Node }

// HelloArgs requests a replica's identity.
type HelloArgs struct {
	Group string
}

// HelloReply describes a replica.
type HelloReply struct {
	Identity replica.Identity
	// Founded is set if the replica's log is not empty.
	Founded bool
	// Joins is set if the replica takes no part in founding the group, as it may have held a
	// log before. Processes of earlier builds don't tell.
	Joins bool
	// DataCentre is the data centre that the replica runs in.
	DataCentre string
	// FeatureLevel is discovery.FeatureLevel of the replica's build; builds without it tell 0.
	FeatureLevel int
}

// Deliver receives messages from another replica.
func (p *peerService) Deliver(args *DeliverArgs, _ *DeliverReply) error {
	if err := p.checkGroup(args.Group); err != nil {
		return err
	}
	if len(args.Messages) == 0 {
		return nil
	}
	p.n.peers.recordAddress(args.Messages[0].From, args.Address)
	p.n.peers.streamFrom(args.Address).receive(args.Stream, args.Seq, args.Messages, p.postAll)
	return nil
}

func (p *peerService) postAll(batch []replica.Message) {
	for _, m := range batch {
		p.n.post(replica.Receive{Message: m})
	}
}

// Hello returns the replica's identity.
func (p *peerService) Hello(args *HelloArgs, reply *HelloReply) error {
	if err := p.checkGroup(args.Group); err != nil {
		return err
	}
	reply.Identity = p.n.self
	reply.DataCentre = p.n.cfg.Node.DataCentre
	reply.FeatureLevel = discovery.FeatureLevel
	reply.Joins = !p.n.mayFound()
	return p.n.inspect(p.n.stop, func(s *replica.State) {
		reply.Founded = s.LastIndex() > 0
	})
}

func (p *peerService) checkGroup(group string) error {
	if group != p.n.cfg.Group {
		return fmt.Errorf("replica %s is of group %q, not %q", p.n.self.ID, p.n.cfg.Group, group)
	}
	return nil
}

// Apply is Control.Apply, called by a replica that considers this one the
// leader.
func (p *peerService) Apply(args *controlrpc.ApplyArgs, reply *controlrpc.ApplyReply) error {
	p.n.serveCall(args.Envelope, 0, &reply.Result, func(ctx context.Context) {
		*reply = p.n.applyLocal(ctx, args)
	})
	return nil
}

// Claim is Control.Claim, called by a replica that considers this one the
// leader.
func (p *peerService) Claim(args *controlrpc.ClaimArgs, reply *controlrpc.ClaimReply) error {
	p.n.serveCall(args.Envelope, 0, &reply.Result, func(ctx context.Context) {
		*reply = p.n.claimLocal(ctx, args)
	})
	return nil
}

// Record is Control.Record, called by a replica that considers this one the
// leader.
func (p *peerService) Record(args *controlrpc.RecordArgs, reply *controlrpc.RecordReply) error {
	p.n.serveCall(args.Envelope, 0, &reply.Result, func(ctx context.Context) {
		*reply = p.n.recordLocal(ctx, args)
	})
	return nil
}

// Replace is Control.Replace, called by a replica that considers this one the
// leader.
func (p *peerService) Replace(args *controlrpc.ReplaceArgs, reply *controlrpc.ReplaceReply) error {
	p.n.serveCall(args.Envelope, 0, &reply.Result, func(ctx context.Context) {
		*reply = p.n.replaceLocal(ctx, args)
	})
	return nil
}
