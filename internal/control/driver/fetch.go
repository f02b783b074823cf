package driver

import (
	"context"
	"time"

	"wigeonbay/internal/controlrpc"
)

// maxFetchWait bounds a long poll, so that a caller that went away without a
// word does not hold resources for long.
const maxFetchWait = time.Minute

func fetchWait(args *controlrpc.FetchArgs) time.Duration {
	wait := time.Duration(args.WaitMS) * time.Millisecond
	return min(max(wait, 0), maxFetchWait)
}

// fetchHere answers from this replica. It always says how long ago a quorum
// knew the replica to be current; only a confirmed reply is current.
func (n *Node) fetchHere(ctx context.Context, args *controlrpc.FetchArgs, wait time.Duration) controlrpc.FetchReply {
	var reply controlrpc.FetchReply
	if args.Confirmed {
		reply.Result = n.confirm(ctx)
	}
	if reply.Result.Code == controlrpc.CodeOK && n.awaitNewer(ctx, args.Since, wait) && args.Confirmed {
		// The first confirmation is older than the wait.
		reply.Result = n.confirm(ctx)
	}
	// The age is taken before the version: the other way round it could belong
	// to a later version than the one that is told.
	reply.QuorumAgeMS = n.quorumAgeMS()
	n.machineMu.RLock()
	defer n.machineMu.RUnlock()
	reply.Applied = n.machine.Version()
	if reply.Result.Code == controlrpc.CodeOK {
		reply.Delta = n.machine.Delta(args.Since)
	}
	return reply
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
		if n.version() > since {
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
