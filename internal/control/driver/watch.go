package driver

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/api"
	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/discovery"
	"wigeonbay/internal/quarantine"
	"wigeonbay/internal/telemetry"
)

const (
	// maxWatchWait bounds how long a poll is held. It determines how soon a
	// watcher that has disappeared expires.
	maxWatchWait = time.Second
	// watcherExpiry is how long a watcher counts as live after its last poll:
	// the longest hold and a round trip with a lost packet.
	watcherExpiry = maxWatchWait + 500*time.Millisecond
	// coalesceDelay is how long a held poll waits for further changes of
	// targets after the first one. It counts towards confirmTimeout.
	coalesceDelay = 40 * time.Millisecond
	// asideCoalesceDelay is coalesceDelay for watchers with Aside set.
	// Meanwhile the records reach them through the closer control process,
	// which takes twice coalesceDelay and a round trip between regions. It
	// leaves enough of confirmTimeout for comparing checksums and two more
	// round trips.
	asideCoalesceDelay = 300 * time.Millisecond
	// watcherReturnTime is how long watchers may take to poll this process
	// again after it has started: their longest pause after a failed poll and a
	// round trip.
	watcherReturnTime = time.Second
	// entryNodesSettleTime is how long after the start of this process its count of entry
	// nodes may leave some out, also if they are slow to return.
	entryNodesSettleTime = 2 * watcherExpiry
)

// directory holds the records of targets and the watchers that poll them. It is
// safe for concurrent use.
type directory struct {
	epoch   uint64
	started time.Time
	// changed is signalled when a record or watcherTable changes, confirmed
	// when a watcher polls.
	changed   *broadcast
	confirmed *broadcast

	mu       sync.Mutex
	targets  *discovery.Targets
	watchers *discovery.Watchers
	// watcherTable is the newest routing table that a watcher sent.
	watcherTable controlrpc.Document
	// watcherEvacuations are the newest orders to evacuate data centres that a watcher sent.
	watcherEvacuations controlrpc.Evacuations
	// quarantine holds what entry nodes report of requests that crash targets.
	quarantine *quarantine.Set
}

func newDirectory(epoch uint64) *directory {
	return &directory{
		epoch:     epoch,
		started:   time.Now(),
		changed:   newBroadcast(),
		confirmed: newBroadcast(),
		targets:   discovery.NewTargets(),
		watchers:  discovery.NewWatchers(watcherExpiry),

		quarantine: quarantine.NewSet(),
	}
}

// merge merges announcements that this process has been told of. It returns the changed
// records and the revision that contains them.
func (d *directory) merge(announcements ...api.Announcement) ([]api.Announcement, uint64) {
	return d.apply(func() (changed []api.Announcement) {
		for _, a := range announcements {
			changed = append(changed, d.targets.Merge(a)...)
		}
		return changed
	})
}

// hear applies an announcement that a target has made to this process.
func (d *directory) hear(a api.Announcement) ([]api.Announcement, uint64) {
	return d.apply(func() []api.Announcement { return d.targets.Hear(time.Now(), a) })
}

// apply changes the records and wakes the watchers if any has changed.
func (d *directory) apply(change func() []api.Announcement) ([]api.Announcement, uint64) {
	d.mu.Lock()
	changed := change()
	revision := d.targets.Revision()
	d.mu.Unlock()
	if len(changed) > 0 {
		d.changed.signal()
	}
	return changed, revision
}

// Watch returns what the watcher lacks, at once or when something changes.
func (c *controlService) Watch(args *controlrpc.WatchArgs, reply *controlrpc.WatchReply) error {
	wait := min(max(time.Duration(args.WaitMS)*time.Millisecond, 0), maxWatchWait)
	reply.QuorumAgeMS = -1
	c.n.serveCall(args.Envelope, wait, &reply.Result, func(ctx context.Context) {
		c.n.watchLocal(ctx, args, wait, reply)
	})
	return nil
}

func (n *Node) watchLocal(ctx context.Context, args *controlrpc.WatchArgs, wait time.Duration, reply *controlrpc.WatchReply) {
	d := n.directory
	since := args.Revision
	if args.Epoch != d.epoch {
		since = 0
	}
	for _, a := range args.Withdrawals {
		if a.State.Withdrawn() {
			n.mergeAnnouncement(a, args.Node)
		}
	}
	n.recordCrashes(args)
	n.recordPoll(args, since)
	// A node that starts must not get a table from this process without the orders that go with it.
	n.recordEvacuations(args)
	n.recordTable(args)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; waiting && !n.hasChanges(args, since); {
		changed, applied := d.changed.next(), n.applied.next()
		if n.hasChanges(args, since) {
			break
		}
		select {
		case <-changed:
			n.coalesce(ctx, args)
		case <-applied:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		case <-n.calls.stopping:
			waiting = false
		case <-n.stop.Done():
			waiting = false
		}
	}
	n.fillWatchReply(args, since, reply)
}

// coalesce waits for further changes of targets, so that many changes within a
// short time reach each node in a few replies instead of one for each change.
func (n *Node) coalesce(ctx context.Context, args *controlrpc.WatchArgs) {
	wait := coalesceDelay
	if args.Aside {
		wait = asideCoalesceDelay
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-n.calls.stopping:
	case <-n.stop.Done():
	}
}

// recordCrashes applies an entry node's crash reports and verdicts.
func (n *Node) recordCrashes(args *controlrpc.WatchArgs) {
	if len(args.CrashReports)+len(args.Verdicts) == 0 {
		return
	}
	now := time.Now()
	n.directory.mu.Lock()
	changed := n.directory.quarantine.Merge(now, args.Verdicts)
	for _, report := range args.CrashReports {
		if verdict, ok := n.directory.quarantine.Add(now, report); ok {
			changed = append(changed, verdict)
		}
	}
	n.directory.mu.Unlock()
	for _, verdict := range changed {
		telemetry.ControlVerdictChanged.Log(n.logger,
			zap.Stringer("fingerprint", verdict.Request),
			zap.Bool("in_force", verdict.InForce(now)),
			zap.Time("last_crash", time.UnixMilli(verdict.LastCrashMS).UTC()),
			zap.String("source", args.Node))
	}
}

// recordPoll marks the watcher as live. Polling with a revision confirms it,
// which wakes the callers that wait for the confirmation.
func (n *Node) recordPoll(args *controlrpc.WatchArgs, since uint64) {
	now := time.Now()
	n.directory.mu.Lock()
	fresh := n.directory.watchers.RecordPoll(now, args.Node, args.Kind, args.DataCentre, since)
	n.directory.watchers.SetFeatures(args.Node, discovery.Features{Level: args.FeatureLevel, Evacuations: args.EvacuationsVersion})
	peeringChanged := args.TellsPeerAddress && n.directory.watchers.SetPeerAddress(args.Node, args.PeerAddress)
	gone := n.directory.watchers.Expire(now)
	n.directory.mu.Unlock()
	if fresh {
		telemetry.ControlWatcherConnected.Log(n.logger, zap.String("node", args.Node), zap.String("kind", string(args.Kind)))
	}
	if peeringChanged {
		telemetry.ControlPeerChanged.Log(n.logger, zap.String("node", args.Node), zap.String("address", args.PeerAddress))
	}
	for _, node := range gone {
		telemetry.ControlWatcherLost.Log(n.logger, zap.String("node", node))
	}
	n.directory.confirmed.signal()
}

// hasChanges reports whether the watcher lacks something that it should be told
// at once. A watcher with Aside set gets most records from a closer control
// process, but a leaving target waits for each watcher's confirmation. A
// watcher without a routing table can't serve requests, and the closer process
// may lack the table too, as it does for a watcher that requests an offered one.
// Orders to evacuate reach it from the closer process, or at the latest when the
// poll ends.
func (n *Node) hasChanges(args *controlrpc.WatchArgs, since uint64) bool {
	n.directory.mu.Lock()
	revision := n.directory.targets.Revision()
	if args.Aside {
		revision = n.directory.targets.DrainRevision()
	}
	n.directory.mu.Unlock()
	return revision > since || args.Epoch != n.directory.epoch || n.wantsTable(args) || n.wantsEvacuations(args) ||
		followsEvacuations(args) && !args.Aside && n.newestEvacuations().Version > args.EvacuationsVersion ||
		n.newestTable().Version > args.TableVersion && (!args.Aside || args.TableVersion == 0 || args.Offered > 0)
}

// recordTable keeps a newer routing table that a watcher sent. The table is
// committed, or the watcher would not have it; this replica may not have
// received it because it was disconnected. The table is passed on to other
// watchers, so that an entry node that starts in a disconnected data centre
// gets no older table than its neighbours use. Confirmed reads and commands use
// only the log.
func (n *Node) recordTable(args *controlrpc.WatchArgs) {
	if args.Table == nil {
		return
	}
	n.directory.mu.Lock()
	newer := args.Table.Version > n.directory.watcherTable.Version
	if newer {
		n.directory.watcherTable = *args.Table
	}
	n.directory.mu.Unlock()
	if newer {
		n.directory.changed.signal()
	}
}

// wantsTable reports whether an entry node has a newer routing table than this
// process.
func (n *Node) wantsTable(args *controlrpc.WatchArgs) bool {
	return args.Kind == discovery.WatcherEntry && args.TableVersion > n.newestTable().Version
}

// newestTable returns the newest routing table that is known to be committed,
// from the log or from a watcher.
func (n *Node) newestTable() controlrpc.Document {
	appliedTable := n.appliedTable()
	n.directory.mu.Lock()
	defer n.directory.mu.Unlock()
	if n.directory.watcherTable.Version > appliedTable.Version {
		return n.directory.watcherTable
	}
	return appliedTable
}

// publishMemberAddresses runs on the loop and makes the members' addresses
// visible to other goroutines.
func (n *Node) publishMemberAddresses() {
	members, _ := n.state.Membership()
	addresses := make([]string, 0, len(members.Members))
	for _, m := range members.Members {
		addresses = append(addresses, m.Address)
	}
	if before := n.memberAddresses.Load(); before != nil && slices.Equal(*before, addresses) {
		return
	}
	n.memberAddresses.Store(&addresses)
}

// isMember reports whether the replica is in the newest membership that it
// knows.
func isMember(s *replica.State) bool {
	members, _ := s.Membership()
	_, ok := members.Find(s.Identity())
	return ok
}
