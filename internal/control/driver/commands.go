package driver

import (
	"context"

	"wigeonbay/internal/control/machine"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/wire"
)

// validate runs one of the state machine's checks before a command is proposed.
func (n *Node) validate(check func(*machine.Machine) error) (controlrpc.Result, bool) {
	n.machineMu.RLock()
	defer n.machineMu.RUnlock()
	if err := check(n.machine); err != nil {
		return invalidResult(err.Error()), false
	}
	return controlrpc.Result{}, true
}

func (n *Node) applyLocal(ctx context.Context, args *controlrpc.ApplyArgs) controlrpc.ApplyReply {
	refused, ok := n.validate(func(m *machine.Machine) error { return m.CheckTicket(args.Ticket) })
	if !ok {
		return controlrpc.ApplyReply{Result: refused}
	}
	result, status := n.propose(ctx, machine.Command{Kind: machine.KindTicket, Ticket: &args.Ticket})
	return controlrpc.ApplyReply{Result: status, Reply: result.Ticket}
}

func (n *Node) claimLocal(ctx context.Context, args *controlrpc.ClaimArgs) controlrpc.ClaimReply {
	refused, ok := n.validate(func(m *machine.Machine) error { return m.CheckClaim(*args) })
	if !ok {
		return controlrpc.ClaimReply{Result: refused}
	}
	claim := *args
	claim.Envelope = wire.Envelope{}
	result, status := n.propose(ctx, machine.Command{Kind: machine.KindClaim, Claim: &claim})
	return controlrpc.ClaimReply{Result: status, Verdict: result.Verdict, Outcome: result.Outcome}
}

func (n *Node) recordLocal(ctx context.Context, args *controlrpc.RecordArgs) controlrpc.RecordReply {
	refused, ok := n.validate(func(m *machine.Machine) error { return m.CheckRecord(*args) })
	if !ok {
		return controlrpc.RecordReply{Result: refused}
	}
	record := *args
	record.Envelope = wire.Envelope{}
	_, status := n.propose(ctx, machine.Command{Kind: machine.KindRecord, Record: &record})
	return controlrpc.RecordReply{Result: status}
}

func (n *Node) replaceTableLocal(ctx context.Context, args *controlrpc.ReplaceTableArgs) controlrpc.ReplaceTableReply {
	refused, ok := n.validate(func(m *machine.Machine) error { return m.CheckTable(args.Document) })
	if !ok {
		return controlrpc.ReplaceTableReply{Result: refused}
	}
	result, status := n.propose(ctx, machine.Command{Kind: machine.KindTable, Table: &args.Document})
	return controlrpc.ReplaceTableReply{Result: status, Version: result.TableVersion}
}
