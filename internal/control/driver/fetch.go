package driver

import (
	"context"
	"time"

	"wigeonbay/internal/controlrpc"
)

// maxFetchWait bounds a long poll, so that a caller that disappeared silently
// does not hold resources for long.
const maxFetchWait = time.Minute

func fetchWait(args *controlrpc.FetchArgs) time.Duration {
	wait := time.Duration(args.WaitMS) * time.Millisecond
	return min(max(wait, 0), maxFetchWait)
}

// fetchLocal answers from this replica's state. The reply always contains the
// time since a quorum confirmed that the replica was current; only a confirmed
// reply is guaranteed to be current.
func (n *Node) fetchLocal(ctx context.Context, args *controlrpc.FetchArgs, wait time.Duration) controlrpc.FetchReply {
	var reply controlrpc.FetchReply
	if args.Confirmed {
		reply.Result = n.confirmRead(ctx)
	}
	if reply.Result.Code == controlrpc.CodeOK && n.awaitNewer(ctx, args.Since, wait) && args.Confirmed {
		// The configuration may have changed during the wait, so the read is
		// confirmed again.
		reply.Result = n.confirmRead(ctx)
	}
	// The age is read before the version. In the other order it could belong to
	// a later version than the one returned.
	reply.QuorumAgeMS = n.quorumAgeMS()
	n.machineMu.RLock()
	defer n.machineMu.RUnlock()
	reply.Applied = n.machine.Version()
	if reply.Result.Code == controlrpc.CodeOK {
		reply.Delta = n.machine.Delta(args.Since)
	}
	return reply
}

// awaitNewer waits until the state machine's version is above since, or until
// the wait ends. It reports whether it had to wait.
func (n *Node) awaitNewer(ctx context.Context, since uint64, wait time.Duration) bool {
	if wait <= 0 || n.configVersion() > since {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		newer := n.applied.next()
		if n.configVersion() > since {
			return true
		}
		select {
		case <-newer:
		case <-timer.C:
			return true
		case <-ctx.Done():
			return true
		case <-n.calls.stopping:
			return true
		case <-n.stop.Done():
			return true
		}
	}
}
