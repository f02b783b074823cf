package driver

import (
	"context"
	"errors"
	"time"

	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/wire"
)

// route carries a call out at the leader: here, or at the replica that leads.
// It tries again only when the last try certainly had no effect.
func (n *Node) route(ctx context.Context, here func() controlrpc.Result, there func(address string) error, result *controlrpc.Result) {
	giveUp := time.NewTimer(n.patience())
	defer giveUp.Stop()
	for {
		changed := n.changed.next()
		n.attempt(here, there, result)
		if !mayRetry(*result) {
			return
		}
		retry := time.NewTimer(n.set.Replication.Heartbeat)
		select {
		case <-changed:
		case <-retry.C:
		case <-giveUp.C:
			retry.Stop()
			*result = neverApplied(controlrpc.CodeNoQuorum, "no leader within reach")
			return
		case <-ctx.Done():
			retry.Stop()
			*result = neverApplied(controlrpc.CodeNoQuorum, "no leader within reach")
			return
		}
		retry.Stop()
	}
}

func (n *Node) attempt(here func() controlrpc.Result, there func(address string) error, result *controlrpc.Result) {
	v := n.view.Load()
	switch {
	case n.stop.Err() != nil:
		*result = neverApplied(controlrpc.CodeStopping, errStopping.Error())
	case v.role == replica.RoleLeader:
		*result = here()
	case v.leaderAddress == "":
		*result = n.notLeader()
	default:
		if err := there(v.leaderAddress); err != nil {
			*result = forwardFailed(err)
		}
	}
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

func mayRetry(r controlrpc.Result) bool {
	return r.NotApplied && (r.Code == controlrpc.CodeNotLeader || r.Code == controlrpc.CodeNoQuorum)
}

// patience is how long a call waits for a leader: through an election when the
// replica was current a moment ago, not at all when it is cut off.
func (n *Node) patience() time.Duration {
	election := n.set.Replication.ElectionTimeout
	age, ok := n.quorumAge()
	if !ok || age > 4*election {
		return n.set.Replication.Heartbeat
	}
	return 3 * election
}
