package driver

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/api"
	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/discovery"
	"wigeonbay/internal/telemetry"
)

const (
	// maxWatchWait bounds how long a poll is held. A watcher that is gone is
	// noticed, and no longer waited for, a little later.
	maxWatchWait = time.Second
	// watcherExpiry is how long a watcher counts as live after its last poll:
	// the longest hold and a round trip with a lost packet.
	watcherExpiry = maxWatchWait + 500*time.Millisecond
	// coalesceTime is how long a change of targets waits for further ones. It is
	// part of the time in which a leaving target is confirmed.
	coalesceTime = 40 * time.Millisecond
	// asideCoalesceTime is the same for entry nodes that follow another process nearer
	// by: meanwhile news reaches them from there, through two waits of coalesceTime
	// and a round trip between regions. It leaves confirmWait room for the
	// comparison and for two more round trips.
	asideCoalesceTime = 300 * time.Millisecond
	// confirmWait bounds how long a leaving target waits for the watchers;
	// targets give up on a call after a second.
	confirmWait = 700 * time.Millisecond
	// followTime is how long after the start of this process watchers may take to
	// follow it again: their longest pause after a failed poll and a round trip.
	followTime = time.Second
)

// errUnconfirmed refuses to acknowledge that a target leaves while a live
// watcher may not know it: the watcher could go on sending to the target after
// the time that was acknowledged.
var errUnconfirmed = errors.New("not every entry node has confirmed that the target leaves")

// directory holds the records of targets and who follows them. It is safe for
// concurrent use.
type directory struct {
	epoch   uint64
	started time.Time
	// changed is signalled with each change of the records, confirmed with each
	// poll of a watcher.
	changed   *broadcast
	confirmed *broadcast

	mu       sync.Mutex
	targets  *discovery.Targets
	watchers *discovery.Watchers
	// seen is the newest routing table that a watcher brought.
	seen controlrpc.Document
}

func newDirectory(epoch uint64) *directory {
	return &directory{
		epoch:     epoch,
		started:   time.Now(),
		changed:   newBroadcast(),
		confirmed: newBroadcast(),
		targets:   discovery.NewTargets(),
		watchers:  discovery.NewWatchers(watcherExpiry),
	}
}

// merge takes news and returns the records that changed and the revision that
// holds them.
func (d *directory) merge(news ...api.Announcement) ([]api.Announcement, uint64) {
	d.mu.Lock()
	var changed []api.Announcement
	for _, a := range news {
		changed = append(changed, d.targets.Merge(a)...)
	}
	revision := d.targets.Revision()
	d.mu.Unlock()
	if len(changed) > 0 {
		d.changed.signal()
	}
	return changed, revision
}

// Announce takes a target's news of itself. For a target that leaves, nil means
// that every live entry node and control process knows it.
func (n *Node) Announce(ctx context.Context, a api.Announcement) error {
	_, revision := n.takeNews(a, "announced")
	if a.State.AcceptsWork() {
		return nil
	}
	return n.confirmLeaving(ctx, a, revision)
}

// Depart notes that a target leaves; an incarnation of 0 stands for the known
// one.
func (n *Node) Depart(ctx context.Context, target api.TargetID, incarnation uint64) error {
	n.directory.mu.Lock()
	leaving := n.directory.targets.GoneAnnouncement(target, incarnation)
	n.directory.mu.Unlock()
	_, revision := n.takeNews(leaving, "departed")
	return n.confirmLeaving(ctx, leaving, revision)
}

func (n *Node) takeNews(a api.Announcement, source string) ([]api.Announcement, uint64) {
	changed, revision := n.directory.merge(a)
	for _, c := range changed {
		telemetry.ControlTargetChanged.Log(n.logger,
			zap.String("target", string(c.Target)),
			zap.String("service", c.Service),
			zap.String("state", string(c.State)),
			zap.Uint64("incarnation", c.Incarnation),
			zap.Uint64("sequence", c.Sequence),
			zap.String("source", source))
	}
	return changed, revision
}

func (n *Node) confirmLeaving(ctx context.Context, a api.Announcement, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	// Until then a watcher that is live may not have come back.
	following := time.NewTimer(time.Until(n.directory.started.Add(followTime)))
	defer following.Stop()
	for {
		polled := n.directory.confirmed.next()
		n.directory.mu.Lock()
		behind := n.directory.watchers.Behind(time.Now(), revision)
		n.directory.mu.Unlock()
		if len(behind) == 0 && time.Since(n.directory.started) >= followTime {
			return nil
		}
		select {
		case <-polled:
		case <-following.C:
		case <-ctx.Done():
			telemetry.ControlLeavingUnconfirmed.Log(n.logger,
				zap.String("target", string(a.Target)),
				zap.Strings("behind", behind),
				zap.Uint64("revision", revision))
			return errUnconfirmed
		case <-n.stop.Done():
			return errStopping
		}
	}
}

// Watch brings a watcher up to date, at once or when there is news.
func (c *controlService) Watch(args *controlrpc.WatchArgs, reply *controlrpc.WatchReply) error {
	wait := min(max(time.Duration(args.WaitMS)*time.Millisecond, 0), maxWatchWait)
	reply.QuorumAgeMS = -1
	c.n.serveCall(args.Envelope, wait, &reply.Result, func(ctx context.Context) {
		c.n.watchHere(ctx, args, wait, reply)
	})
	return nil
}

func (n *Node) watchHere(ctx context.Context, args *controlrpc.WatchArgs, wait time.Duration, reply *controlrpc.WatchReply) {
	d := n.directory
	since := args.Revision
	if args.Epoch != d.epoch {
		since = 0
	}
	n.notePoll(args, since)
	n.noteTable(args)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; waiting && !n.hasNews(args, since); {
		changed, applied := d.changed.next(), n.applied.next()
		if n.hasNews(args, since) {
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
	n.fillWatch(args, since, reply)
}

// coalesce waits a moment for further changes of targets: when many move at once,
// each node is told a few times and not once for each of them.
func (n *Node) coalesce(ctx context.Context, args *controlrpc.WatchArgs) {
	wait := coalesceTime
	if args.Aside {
		wait = asideCoalesceTime
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

// notePoll counts the watcher as live. What it polls after is confirmed, which
// wakes those who wait for that.
func (n *Node) notePoll(args *controlrpc.WatchArgs, since uint64) {
	now := time.Now()
	n.directory.mu.Lock()
	fresh := n.directory.watchers.RecordPoll(now, args.Node, args.Kind, args.DataCentre, since)
	gone := n.directory.watchers.Expire(now)
	n.directory.mu.Unlock()
	if fresh {
		telemetry.ControlWatcherJoined.Log(n.logger, zap.String("node", args.Node), zap.String("kind", string(args.Kind)))
	}
	for _, node := range gone {
		telemetry.ControlWatcherLost.Log(n.logger, zap.String("node", node))
	}
	n.directory.confirmed.signal()
}

// hasNews reports whether there is something that the watcher lacks and should be
// told at once. A watcher aside has most of it from nearer by; what a target that
// leaves waits for is its word that it has it. One without any routing table serves
// nobody, and the process nearby may lack the table too.
func (n *Node) hasNews(args *controlrpc.WatchArgs, since uint64) bool {
	n.directory.mu.Lock()
	revision := n.directory.targets.Revision()
	if args.Aside {
		revision = n.directory.targets.DrainRevision()
	}
	n.directory.mu.Unlock()
	return revision > since || args.Epoch != n.directory.epoch || n.lacksTable(args) ||
		n.newestTable().Version > args.TableVersion && (!args.Aside || args.TableVersion == 0)
}

// noteTable takes the routing table that a watcher brings. It was committed, or
// the watcher would not have it; this replica may have been cut off meanwhile.
// It is handed on to other watchers, so that an entry node that starts in a data
// centre that is cut off gets nothing older than its neighbours serve. The log
// alone decides about reads and orders.
func (n *Node) noteTable(args *controlrpc.WatchArgs) {
	if args.Table == nil {
		return
	}
	n.directory.mu.Lock()
	newer := args.Table.Version > n.directory.seen.Version
	if newer {
		n.directory.seen = *args.Table
	}
	n.directory.mu.Unlock()
	if newer {
		n.directory.changed.signal()
	}
}

// lacksTable reports whether a watcher holds a newer routing table than any that
// this process has heard of.
func (n *Node) lacksTable(args *controlrpc.WatchArgs) bool {
	return args.Kind == discovery.WatcherEntry && args.TableVersion > n.newestTable().Version
}

// newestTable returns the newest routing table that is known to be committed.
func (n *Node) newestTable() controlrpc.Document {
	table := n.table()
	n.directory.mu.Lock()
	defer n.directory.mu.Unlock()
	if n.directory.seen.Version > table.Version {
		return n.directory.seen
	}
	return table
}

// noteMembers runs on the loop and lets others see the members' addresses.
func (n *Node) noteMembers() {
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

// isMember reports whether the replica belongs to the membership that it knows.
func isMember(s *replica.State) bool {
	members, _ := s.Membership()
	_, ok := members.Find(s.Identity())
	return ok
}
