package driver

import (
	"context"
	"errors"
	"time"

	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/wire"
)

// routed is a call that only the leader can carry out, with a reply of type R.
type routed[R any] struct {
	// here carries it out at this replica.
	here func() R
	// method and args carry it out at the replica that leads.
	method string
	args   any
	// result finds the head of a reply.
	result func(*R) *controlrpc.Result
}

// route carries a call out at the leader, wherever that is. It tries again only
// when the last try certainly had no effect.
func route[R any](ctx context.Context, n *Node, call routed[R]) R {
	giveUp := time.NewTimer(n.patience())
	defer giveUp.Stop()
	for {
		changed := n.changed.next()
		reply := attempt(ctx, n, call)
		if !n.mayRetry(*call.result(&reply)) {
			return reply
		}
		if n.awaitLeader(ctx, changed, giveUp.C) {
			continue
		}
		*call.result(&reply) = neverApplied(controlrpc.CodeNoQuorum, "no leader within reach")
		return reply
	}
}

func attempt[R any](ctx context.Context, n *Node, call routed[R]) R {
	var reply R
	v := n.view.Load()
	switch {
	case n.stop.Err() != nil:
		*call.result(&reply) = stoppingResult()
	case v.role == replica.RoleLeader:
		reply = call.here()
	case v.leaderAddress == "":
		*call.result(&reply) = n.notLeader()
	default:
		if err := n.client.Call(ctx, v.leaderAddress, call.method, call.args, &reply); err != nil {
			var none R
			reply = none
			*call.result(&reply) = forwardFailed(err)
		}
	}
	return reply
}

// awaitLeader waits until another try may do better, and reports false when it
// is time to give up.
func (n *Node) awaitLeader(ctx context.Context, changed <-chan struct{}, giveUp <-chan time.Time) bool {
	retry := time.NewTimer(n.set.Replication.Heartbeat)
	defer retry.Stop()
	select {
	case <-changed:
		return true
	case <-retry.C:
		return true
	case <-giveUp:
	case <-ctx.Done():
	case <-n.stop.Done():
	}
	return false
}

// forwardFailed tells what is known when the leader did not answer: only a call
// that never left is certain to have had no effect.
func forwardFailed(err error) controlrpc.Result {
	return controlrpc.Result{
		Code:       controlrpc.CodeNoQuorum,
		NotApplied: errors.Is(err, wire.ErrNotSent),
		Detail:     err.Error(),
	}
}

// mayRetry reports whether another replica may yet carry the call out.
func (n *Node) mayRetry(r controlrpc.Result) bool {
	if !r.NotApplied || n.stop.Err() != nil {
		return false
	}
	switch r.Code {
	case controlrpc.CodeNotLeader, controlrpc.CodeNoQuorum, controlrpc.CodeStopping:
		return true
	}
	return false
}

// patience is how long a call waits for a leader: through an election when the
// replica was current a moment ago, hardly at all when it is cut off.
func (n *Node) patience() time.Duration {
	election := n.set.Replication.ElectionTimeout
	age, ok := n.quorumAge()
	if !ok || age > 4*election {
		return n.set.Replication.Heartbeat
	}
	return 3 * election
}
