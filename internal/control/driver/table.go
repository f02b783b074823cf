package driver

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/telemetry"
)

// ReplaceTable commits a routing table under its version. It returns nil once a
// quorum has synced this table or one with a version at least as high.
func (n *Node) ReplaceTable(ctx context.Context, document controlrpc.Document) error {
	if n.appliedTable().Version >= document.Version {
		// An applied table is committed, so there is nothing left to do.
		return nil
	}
	args := &controlrpc.ReplaceTableArgs{Document: document}
	reply := callLeader(ctx, n, leaderCall[controlrpc.ReplaceTableReply]{
		local:  func() controlrpc.ReplaceTableReply { return n.replaceTableLocal(ctx, args) },
		method: methodReplaceTable,
		args:   args,
		result: func(r *controlrpc.ReplaceTableReply) *controlrpc.Result { return &r.Result },
	})
	event := telemetry.ControlTableAccepted
	if reply.Result.Code != controlrpc.CodeOK {
		event = telemetry.ControlTableNotAccepted
	}
	event.Log(n.logger,
		zap.Uint64("version", document.Version),
		zap.Uint64("in_force", reply.Version),
		zap.String("code", string(reply.Result.Code)),
		zap.String("detail", reply.Result.Detail))
	return resultError(reply.Result)
}

// CurrentTable returns the newest routing table, confirmed by a quorum.
func (n *Node) CurrentTable(ctx context.Context) (controlrpc.Document, error) {
	if err := resultError(n.confirmRead(ctx)); err != nil {
		return controlrpc.Document{}, err
	}
	return n.appliedTable(), nil
}

func resultError(r controlrpc.Result) error {
	if r.Code == controlrpc.CodeOK {
		return nil
	}
	return fmt.Errorf("control group: %s: %s", r.Code, r.Detail)
}

// ReplaceTable replaces the routing table; operators' tools call it.
func (c *controlService) ReplaceTable(args *controlrpc.ReplaceTableArgs, reply *controlrpc.ReplaceTableReply) error {
	c.n.serveCall(args.Envelope, 0, &reply.Result, func(ctx context.Context) {
		if err := c.n.ReplaceTable(ctx, args.Document); err != nil {
			reply.Result = controlrpc.Result{Code: controlrpc.CodeNoQuorum, Detail: err.Error()}
		}
		reply.Version = c.n.appliedTable().Version
	})
	return nil
}

// ReplaceTable is Control.ReplaceTable, called by a replica that considers this
// one the leader.
func (p *peerService) ReplaceTable(args *controlrpc.ReplaceTableArgs, reply *controlrpc.ReplaceTableReply) error {
	p.n.serveCall(args.Envelope, 0, &reply.Result, func(ctx context.Context) {
		*reply = p.n.replaceTableLocal(ctx, args)
	})
	return nil
}

// ReadTable returns the newest routing table, confirmed by a quorum.
func (c *controlService) ReadTable(args *controlrpc.ReadTableArgs, reply *controlrpc.ReadTableReply) error {
	c.n.serveCall(args.Envelope, 0, &reply.Result, func(ctx context.Context) {
		reply.Result = c.n.confirmRead(ctx)
		if reply.Result.Code == controlrpc.CodeOK {
			reply.Document = c.n.appliedTable()
		}
	})
	return nil
}

// appliedTable returns the routing table that this replica has applied.
func (n *Node) appliedTable() controlrpc.Document {
	n.machineMu.RLock()
	defer n.machineMu.RUnlock()
	return n.machine.Table()
}
