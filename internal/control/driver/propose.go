package driver

import (
	"context"
	"fmt"
	"time"

	"wigeonbay/internal/control/machine"
	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/controlrpc"
)

// propose commits a command through this replica, if it leads. The result
// holds only with CodeOK.
func (n *Node) propose(ctx context.Context, command machine.Command) (machine.Result, controlrpc.Result) {
	if n.view.Load().role != replica.RoleLeader {
		return machine.Result{}, n.notLeader()
	}
	command.NowUnixMS = time.Now().UnixMilli()
	data, err := machine.Encode(command)
	if err != nil {
		return machine.Result{}, invalid(err.Error())
	}
	done := make(chan decided, 1)
	p := proposal{id: n.nextID.Add(1), data: data, done: done}
	select {
	case n.proposed <- p:
	case <-ctx.Done():
		return machine.Result{}, neverApplied(controlrpc.CodeNoQuorum, "the replica is too busy")
	case <-n.stop.Done():
		return machine.Result{}, stoppingResult()
	}
	d := n.await(ctx, done)
	return d.result, n.outcome(d)
}

// await waits for a proposal's end. Once the loop may have it, giving up leaves
// it in doubt.
func (n *Node) await(ctx context.Context, done <-chan decided) decided {
	select {
	case d := <-done:
		return d
	case <-ctx.Done():
		return decided{fate: fateDoubt}
	case <-n.stop.Done():
		return decided{fate: fateStopped}
	}
}

// outcome states a proposal's end; NotApplied only when it is certain.
func (n *Node) outcome(d decided) controlrpc.Result {
	switch d.fate {
	case fateApplied:
		return controlrpc.Result{}
	case fateNever:
		if d.reason != "" && d.reason != replica.RefusedNotLeader {
			return neverApplied(controlrpc.CodeInvalid, string(d.reason))
		}
		return n.notLeader()
	case fateStopped:
		return controlrpc.Result{Code: controlrpc.CodeStopping, Detail: errStopping.Error()}
	}
	return controlrpc.Result{Code: controlrpc.CodeNoQuorum, Detail: "no quorum confirmed it in time"}
}

func (n *Node) notLeader() controlrpc.Result {
	return controlrpc.Result{
		Code:       controlrpc.CodeNotLeader,
		Leader:     n.view.Load().leaderAddress,
		NotApplied: true,
		Detail:     fmt.Sprintf("replica %s does not lead the group", n.self.ID),
	}
}

func neverApplied(code controlrpc.ErrorCode, detail string) controlrpc.Result {
	return controlrpc.Result{Code: code, NotApplied: true, Detail: detail}
}

func invalid(detail string) controlrpc.Result {
	return neverApplied(controlrpc.CodeInvalid, detail)
}

// confirm waits for a quorum to confirm that this replica has applied all that
// was committed when confirm was called.
func (n *Node) confirm(ctx context.Context) controlrpc.Result {
	done := make(chan bool, 1)
	select {
	case n.asked <- done:
	case <-ctx.Done():
		return neverApplied(controlrpc.CodeNoQuorum, "the replica is too busy")
	case <-n.stop.Done():
		return stoppingResult()
	}
	select {
	case ok := <-done:
		if ok {
			return controlrpc.Result{}
		}
	case <-ctx.Done():
	case <-n.stop.Done():
		return stoppingResult()
	}
	return neverApplied(controlrpc.CodeNoQuorum, "no quorum confirmed the read")
}
