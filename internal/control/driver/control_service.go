package driver

import (
	"context"

	"wigeonbay/internal/controlrpc"
)

// controlService implements the net/rpc methods for entry nodes and operators.
// Every replica serves all of them; calls that only the leader can execute are
// forwarded to it.
type controlService struct{ n *Node }

// Apply submits a ticket.
func (c *controlService) Apply(args *controlrpc.ApplyArgs, reply *controlrpc.ApplyReply) error {
	c.n.serveCall(args.Envelope, 0, &reply.Result, func(ctx context.Context) {
		*reply = callLeader(ctx, c.n, leaderCall[controlrpc.ApplyReply]{
			local:  func() controlrpc.ApplyReply { return c.n.applyLocal(ctx, args) },
			method: methodApply,
			args:   args,
			result: func(r *controlrpc.ApplyReply) *controlrpc.Result { return &r.Result },
		})
	})
	return nil
}

// Claim claims an idempotency key in the ledger.
func (c *controlService) Claim(args *controlrpc.ClaimArgs, reply *controlrpc.ClaimReply) error {
	c.n.serveCall(args.Envelope, 0, &reply.Result, func(ctx context.Context) {
		*reply = callLeader(ctx, c.n, leaderCall[controlrpc.ClaimReply]{
			local:  func() controlrpc.ClaimReply { return c.n.claimLocal(ctx, args) },
			method: methodClaim,
			args:   args,
			result: func(r *controlrpc.ClaimReply) *controlrpc.Result { return &r.Result },
		})
	})
	return nil
}

// Record records the outcome of a claim.
func (c *controlService) Record(args *controlrpc.RecordArgs, reply *controlrpc.RecordReply) error {
	c.n.serveCall(args.Envelope, 0, &reply.Result, func(ctx context.Context) {
		*reply = callLeader(ctx, c.n, leaderCall[controlrpc.RecordReply]{
			local:  func() controlrpc.RecordReply { return c.n.recordLocal(ctx, args) },
			method: methodRecord,
			args:   args,
			result: func(r *controlrpc.RecordReply) *controlrpc.Result { return &r.Result },
		})
	})
	return nil
}

// Replace adds a replica to the group in place of another.
func (c *controlService) Replace(args *controlrpc.ReplaceArgs, reply *controlrpc.ReplaceReply) error {
	c.n.serveCall(args.Envelope, 0, &reply.Result, func(ctx context.Context) {
		*reply = callLeader(ctx, c.n, leaderCall[controlrpc.ReplaceReply]{
			local:  func() controlrpc.ReplaceReply { return c.n.replaceLocal(ctx, args) },
			method: methodReplace,
			args:   args,
			result: func(r *controlrpc.ReplaceReply) *controlrpc.Result { return &r.Result },
		})
	})
	return nil
}

// Fetch returns the configuration changes since a version.
func (c *controlService) Fetch(args *controlrpc.FetchArgs, reply *controlrpc.FetchReply) error {
	wait := fetchWait(args)
	reply.QuorumAgeMS = -1
	c.n.serveCall(args.Envelope, wait, &reply.Result, func(ctx context.Context) {
		*reply = c.n.fetchLocal(ctx, args, wait)
	})
	return nil
}

// History returns the accepted tickets, after a quorum has confirmed that none
// is missing.
func (c *controlService) History(args *controlrpc.HistoryArgs, reply *controlrpc.HistoryReply) error {
	c.n.serveCall(args.Envelope, 0, &reply.Result, func(ctx context.Context) {
		reply.Result = c.n.confirmRead(ctx)
		if reply.Result.Code != controlrpc.CodeOK {
			return
		}
		c.n.machineMu.RLock()
		defer c.n.machineMu.RUnlock()
		reply.Entries = c.n.machine.History(args.Object)
	})
	return nil
}

// Status returns this replica's own view; it contacts no other replica.
func (c *controlService) Status(args *controlrpc.StatusArgs, reply *controlrpc.StatusReply) error {
	ctx, done, ok := c.n.begin(args.Envelope, 0)
	if !ok {
		return errStopping
	}
	defer done()
	return c.n.status(ctx, reply)
}
