package driver

import (
	"context"
	"fmt"
	"time"

	"wigeonbay/internal/control/machine"
	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/controlrpc"
)

// propose commits a command if this replica leads. The machine's result is
// valid only with CodeOK.
func (n *Node) propose(ctx context.Context, command machine.Command) (machine.Result, controlrpc.Result) {
	if n.view.Load().role != replica.RoleLeader {
		return machine.Result{}, n.notLeader()
	}
	command.NowUnixMS = time.Now().UnixMilli()
	data, err := machine.Encode(command)
	if err != nil {
		return machine.Result{}, invalidResult(err.Error())
	}
	done := make(chan proposalResult, 1)
	p := proposal{id: n.nextID.Add(1), data: data, done: done}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return machine.Result{}, notApplied(controlrpc.CodeNoQuorum, "the replica is too busy")
	case <-n.stop.Done():
		return machine.Result{}, stoppingResult()
	}
	res := n.awaitResult(ctx, done)
	return res.result, n.callResult(res)
}

// awaitResult waits for the outcome of a proposal. If the caller stops waiting
// after the loop may have received the proposal, the outcome is unknown.
func (n *Node) awaitResult(ctx context.Context, done <-chan proposalResult) proposalResult {
	select {
	case res := <-done:
		return res
	case <-ctx.Done():
		return proposalResult{outcome: outcomeUnknown}
	case <-n.stop.Done():
		return proposalResult{outcome: outcomeStopped}
	}
}

// callResult converts the outcome of a proposal to a Result. NotApplied is set
// only if it is certain.
func (n *Node) callResult(res proposalResult) controlrpc.Result {
	switch res.outcome {
	case outcomeApplied:
		return controlrpc.Result{}
	case outcomeNotApplied:
		if res.reason != "" && res.reason != replica.RefusedNotLeader {
			return notApplied(controlrpc.CodeInvalid, string(res.reason))
		}
		return n.notLeader()
	case outcomeStopped:
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

func notApplied(code controlrpc.ErrorCode, detail string) controlrpc.Result {
	return controlrpc.Result{Code: code, NotApplied: true, Detail: detail}
}

func invalidResult(detail string) controlrpc.Result {
	return notApplied(controlrpc.CodeInvalid, detail)
}

// confirmRead waits for a quorum to confirm that this replica has applied
// everything that was committed when confirmRead was called.
func (n *Node) confirmRead(ctx context.Context) controlrpc.Result {
	done := make(chan bool, 1)
	select {
	case n.readRequests <- done:
	case <-ctx.Done():
		return notApplied(controlrpc.CodeNoQuorum, "the replica is too busy")
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
	return notApplied(controlrpc.CodeNoQuorum, "no quorum confirmed the read")
}
