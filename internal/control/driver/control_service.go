package driver

import (
	"context"
	"time"

	"wigeonbay/internal/control/machine"
	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/wire"
)

// controlService holds the net/rpc methods for entry nodes and operators. Any
// replica serves any of them: what only the leader can do is forwarded.
type controlService struct{ n *Node }

// Apply submits a ticket.
func (c *controlService) Apply(args *controlrpc.ApplyArgs, reply *controlrpc.ApplyReply) error {
	ctx, cancel := args.Envelope.Context(controlrpc.DefaultCallTimeout)
	defer cancel()
	here := func() controlrpc.Result {
		*reply = c.n.applyHere(ctx, args)
		return reply.Result
	}
	there := func(address string) error {
		forward := *args
		forward.Envelope = wire.NewEnvelope(ctx)
		*reply = controlrpc.ApplyReply{}
		return c.n.client.Call(ctx, address, methodApply, &forward, reply)
	}
	c.n.route(ctx, here, there, &reply.Result)
	return nil
}

// Claim claims a key in the ledger.
func (c *controlService) Claim(args *controlrpc.ClaimArgs, reply *controlrpc.ClaimReply) error {
	ctx, cancel := args.Envelope.Context(controlrpc.DefaultCallTimeout)
	defer cancel()
	here := func() controlrpc.Result {
		*reply = c.n.claimHere(ctx, args)
		return reply.Result
	}
	there := func(address string) error {
		forward := *args
		forward.Envelope = wire.NewEnvelope(ctx)
		*reply = controlrpc.ClaimReply{}
		return c.n.client.Call(ctx, address, methodClaim, &forward, reply)
	}
	c.n.route(ctx, here, there, &reply.Result)
	return nil
}

// Record records the outcome of a claim.
func (c *controlService) Record(args *controlrpc.RecordArgs, reply *controlrpc.RecordReply) error {
	ctx, cancel := args.Envelope.Context(controlrpc.DefaultCallTimeout)
	defer cancel()
	here := func() controlrpc.Result {
		*reply = c.n.recordHere(ctx, args)
		return reply.Result
	}
	there := func(address string) error {
		forward := *args
		forward.Envelope = wire.NewEnvelope(ctx)
		*reply = controlrpc.RecordReply{}
		return c.n.client.Call(ctx, address, methodRecord, &forward, reply)
	}
	c.n.route(ctx, here, there, &reply.Result)
	return nil
}

// Replace brings a replica into the group in place of another.
func (c *controlService) Replace(args *controlrpc.ReplaceArgs, reply *controlrpc.ReplaceReply) error {
	ctx, cancel := args.Envelope.Context(controlrpc.DefaultCallTimeout)
	defer cancel()
	here := func() controlrpc.Result {
		*reply = c.n.replaceHere(ctx, args)
		return reply.Result
	}
	there := func(address string) error {
		forward := *args
		forward.Envelope = wire.NewEnvelope(ctx)
		*reply = controlrpc.ReplaceReply{}
		return c.n.client.Call(ctx, address, methodReplace, &forward, reply)
	}
	c.n.route(ctx, here, there, &reply.Result)
	return nil
}

// Fetch returns what changed in the configuration since a version.
func (c *controlService) Fetch(args *controlrpc.FetchArgs, reply *controlrpc.FetchReply) error {
	wait := time.Duration(args.WaitMS) * time.Millisecond
	ctx, cancel := args.Envelope.Context(controlrpc.DefaultCallTimeout + wait)
	defer cancel()
	if args.Confirmed {
		reply.Result = c.n.confirm(ctx)
	}
	if reply.Result.Code == controlrpc.CodeOK && c.n.awaitNewer(ctx, args.Since, wait) && args.Confirmed {
		// The first confirmation is older than the wait.
		reply.Result = c.n.confirm(ctx)
	}
	c.n.machineMu.RLock()
	defer c.n.machineMu.RUnlock()
	reply.Applied = c.n.machine.Version()
	reply.QuorumAgeMS = c.n.quorumAgeMS()
	if reply.Result.Code == controlrpc.CodeOK {
		reply.Delta = c.n.machine.Delta(args.Since)
	}
	return nil
}

// awaitNewer waits until the machine's version is above since, and reports
// whether it had to wait.
func (n *Node) awaitNewer(ctx context.Context, since uint64, wait time.Duration) bool {
	if wait <= 0 || n.version() > since {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		newer := n.applied.next()
		if n.version() > since || n.stop.Err() != nil {
			return true
		}
		select {
		case <-newer:
		case <-timer.C:
			return true
		case <-ctx.Done():
			return true
		}
	}
}

// History returns accepted tickets, confirmed by a quorum as complete.
func (c *controlService) History(args *controlrpc.HistoryArgs, reply *controlrpc.HistoryReply) error {
	ctx, cancel := args.Envelope.Context(controlrpc.DefaultCallTimeout)
	defer cancel()
	reply.Result = c.n.confirm(ctx)
	if reply.Result.Code != controlrpc.CodeOK {
		return nil
	}
	c.n.machineMu.RLock()
	defer c.n.machineMu.RUnlock()
	reply.Entries = c.n.machine.History(args.Object)
	return nil
}

// Status returns this replica's own view; it asks no other.
func (c *controlService) Status(args *controlrpc.StatusArgs, reply *controlrpc.StatusReply) error {
	ctx, cancel := args.Envelope.Context(controlrpc.DefaultCallTimeout)
	defer cancel()
	err := c.n.inspect(ctx, func(s *replica.State) { c.n.fillStatus(s, reply) })
	if err != nil {
		return err
	}
	c.n.machineMu.RLock()
	defer c.n.machineMu.RUnlock()
	reply.Version = c.n.machine.Version()
	reply.Claims = c.n.machine.Claims()
	return nil
}

func (n *Node) fillStatus(s *replica.State, reply *controlrpc.StatusReply) {
	reply.ID = n.self.ID
	reply.Incarnation = n.self.Incarnation
	reply.State = n.stateName(s)
	reply.Term = s.Term()
	reply.Leader = s.Leader().ID
	reply.LastIndex = s.LastIndex()
	reply.Commit = s.Commit()
	reply.Applied = s.AppliedIndex()
	reply.QuorumAgeMS = n.quorumAgeMS()
	reply.LogBytes = n.log.Bytes()
	for _, known := range s.Members() {
		reply.Members = append(reply.Members, memberOf(known))
	}
}

func (n *Node) stateName(s *replica.State) string {
	members, _ := s.Membership()
	if !members.IsVoter(n.self) {
		return string(controlrpc.RoleLearner)
	}
	return s.Role().String()
}

func memberOf(known replica.MemberProgress) controlrpc.Member {
	role := controlrpc.RoleLearner
	if known.Member.Voter {
		role = controlrpc.RoleVoter
	}
	return controlrpc.Member{
		ID:          known.Member.Identity.ID,
		Incarnation: known.Member.Identity.Incarnation,
		Address:     known.Member.Address,
		DataCentre:  known.Member.DataCentre,
		Role:        role,
		MatchIndex:  known.Match,
		LastHeardMS: known.SilentMS,
	}
}

func (n *Node) applyHere(ctx context.Context, args *controlrpc.ApplyArgs) controlrpc.ApplyReply {
	n.machineMu.RLock()
	err := n.machine.CheckTicket(args.Ticket)
	n.machineMu.RUnlock()
	if err != nil {
		return controlrpc.ApplyReply{Result: invalid(err.Error())}
	}
	result, outcome := n.propose(ctx, machine.Command{Kind: machine.KindTicket, Ticket: &args.Ticket})
	return controlrpc.ApplyReply{Result: outcome, Reply: result.Ticket}
}

func (n *Node) claimHere(ctx context.Context, args *controlrpc.ClaimArgs) controlrpc.ClaimReply {
	claim := *args
	claim.Envelope = wire.Envelope{}
	result, outcome := n.propose(ctx, machine.Command{Kind: machine.KindClaim, Claim: &claim})
	return controlrpc.ClaimReply{Result: outcome, Verdict: result.Verdict, Outcome: result.Outcome}
}

func (n *Node) recordHere(ctx context.Context, args *controlrpc.RecordArgs) controlrpc.RecordReply {
	record := *args
	record.Envelope = wire.Envelope{}
	_, outcome := n.propose(ctx, machine.Command{Kind: machine.KindRecord, Record: &record})
	return controlrpc.RecordReply{Result: outcome}
}
