package driver

import (
	"context"
	"errors"
	"time"

	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/wire"
)

// leaderCall is a call with a reply of type R that only the leader can execute.
type leaderCall[R any] struct {
	// local executes the call at this replica.
	local func() R
	// method and args forward the call to the leader.
	method string
	args   any
	// result returns the Result of a reply.
	result func(*R) *controlrpc.Result
}

// callLeader executes a call at the leader, locally or by forwarding it. It
// retries only if the last attempt certainly had no effect.
func callLeader[R any](ctx context.Context, n *Node, call leaderCall[R]) R {
	timeout := time.NewTimer(n.leaderWait())
	defer timeout.Stop()
	for {
		leaderChanged := n.leaderChanged.next()
		reply := attempt(ctx, n, call)
		if !n.canRetry(*call.result(&reply)) {
			return reply
		}
		if n.awaitLeader(ctx, leaderChanged, timeout.C) {
			continue
		}
		*call.result(&reply) = notApplied(controlrpc.CodeNoQuorum, "no leader within reach")
		return reply
	}
}

func attempt[R any](ctx context.Context, n *Node, call leaderCall[R]) R {
	var reply R
	v := n.view.Load()
	switch {
	case n.stop.Err() != nil:
		*call.result(&reply) = stoppingResult()
	case v.role == replica.RoleLeader:
		reply = call.local()
	case v.leaderAddress == "":
		*call.result(&reply) = n.notLeader()
	default:
		if err := n.client.Call(ctx, v.leaderAddress, call.method, call.args, &reply); err != nil {
			var zero R
			reply = zero
			*call.result(&reply) = forwardFailed(err)
		}
	}
	return reply
}

// awaitLeader waits until the leader changes or a heartbeat interval has
// passed. It returns false if the call must give up.
func (n *Node) awaitLeader(ctx context.Context, leaderChanged <-chan struct{}, timeout <-chan time.Time) bool {
	retry := time.NewTimer(n.cfg.Replication.Heartbeat)
	defer retry.Stop()
	select {
	case <-leaderChanged:
		return true
	case <-retry.C:
		return true
	case <-timeout:
	case <-ctx.Done():
	case <-n.stop.Done():
	}
	return false
}

// forwardFailed returns the result of a call that got no reply from the leader.
// Only a call that was never sent is certain to have had no effect.
func forwardFailed(err error) controlrpc.Result {
	return controlrpc.Result{
		Code:       controlrpc.CodeNoQuorum,
		NotApplied: errors.Is(err, wire.ErrNotSent),
		Detail:     err.Error(),
	}
}

// canRetry reports whether the call had no effect and another attempt may
// succeed.
func (n *Node) canRetry(r controlrpc.Result) bool {
	if !r.NotApplied || n.stop.Err() != nil {
		return false
	}
	switch r.Code {
	case controlrpc.CodeNotLeader, controlrpc.CodeNoQuorum, controlrpc.CodeStopping:
		return true
	}
	return false
}

// leaderWait returns how long a call waits for a leader: long enough for an
// election if this replica was current recently, and one heartbeat if it
// appears to be disconnected.
func (n *Node) leaderWait() time.Duration {
	election := n.cfg.Replication.ElectionTimeout
	age, ok := n.quorumAge()
	if !ok || age > 4*election {
		return n.cfg.Replication.Heartbeat
	}
	return 3 * election
}
