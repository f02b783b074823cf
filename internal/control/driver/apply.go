package driver

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/control/machine"
	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/telemetry"
)

// applier applies committed entries to the state machine in its own goroutine.
// The loop must not wait for the state machine: a snapshot of a large state
// takes longer than an election timeout, and a leader that sends no heartbeats
// for that long is replaced.
type applier struct {
	node *Node

	mu    sync.Mutex
	work  []any
	ready chan struct{}

	// currentAt is the latest time for which the replica is known to have
	// applied everything that was committed then; 0 means never.
	currentAt atomic.Int64

	// The fields below are used by the applier's goroutine only, except
	// snapshotPending.
	lastApplied     replica.SnapshotMeta // of the last applied entry
	snapshotIndex   uint64               // index of the newest snapshot taken
	storing         sync.WaitGroup
	snapshotPending atomic.Bool
}

// currentAtChanged tells the applier the protocol's new CurrentAt. The other
// work items are the effects Apply, Restore and ReadReady.
type currentAtChanged time.Duration

func newApplier(n *Node, recovered replica.SnapshotMeta) *applier {
	return &applier{node: n, ready: make(chan struct{}, 1), lastApplied: recovered, snapshotIndex: recovered.Index}
}

// add queues a work item. Items are processed in order: a ReadReady or a new
// CurrentAt counts only once everything queued before it is applied.
func (a *applier) add(work any) {
	a.mu.Lock()
	a.work = append(a.work, work)
	a.mu.Unlock()
	select {
	case a.ready <- struct{}{}:
	default:
	}
}

func (a *applier) takeAll() []any {
	a.mu.Lock()
	defer a.mu.Unlock()
	taken := a.work
	a.work = nil
	return taken
}

// run processes work until the node stops, then waits for a snapshot that is
// still being stored.
func (a *applier) run() {
	defer a.node.running.Done()
	defer a.storing.Wait()
	for {
		select {
		case <-a.node.stop.Done():
			return
		case <-a.ready:
		}
		for _, work := range a.takeAll() {
			a.process(work)
		}
	}
}

func (a *applier) process(work any) {
	switch w := work.(type) {
	case replica.Apply:
		a.apply(w.Entries)
	case replica.Restore:
		a.restore(w.Snapshot)
	case replica.ReadReady:
		a.node.waiters.readDone(w.ID, true)
	case currentAtChanged:
		a.currentAt.Store(int64(w))
	}
}

// apply applies committed entries and answers the callers that proposed them.
func (a *applier) apply(entries []replica.Entry) {
	n := a.node
	before, tableBefore, evacuationsBefore := n.configVersion(), n.appliedTable().Version, n.appliedEvacuations().Version
	n.machineMu.Lock()
	for _, entry := range entries {
		a.applyEntry(entry)
	}
	n.machineMu.Unlock()
	if n.configVersion() != before || n.appliedTable().Version != tableBefore || n.appliedEvacuations().Version != evacuationsBefore {
		n.applied.signal()
	}
	a.maybeSnapshot()
}

func (a *applier) applyEntry(entry replica.Entry) {
	a.lastApplied.Index, a.lastApplied.Term = entry.Index, entry.Term
	switch entry.Kind {
	case replica.EntryMembership:
		a.lastApplied.Membership = *entry.Membership
	case replica.EntryCommand:
		command, err := machine.Decode(entry.Data)
		if err != nil {
			panic(fmt.Sprintf("driver: decode committed entry %d: %v", entry.Index, err))
		}
		a.node.waiters.applied(entry, a.node.machine.Apply(entry.Index, command))
		return
	}
	a.node.waiters.applied(entry, machine.Result{})
}

// restore replaces the state machine's state by a snapshot from the leader.
func (a *applier) restore(snapshot replica.Snapshot) {
	n := a.node
	n.machineMu.Lock()
	err := n.machine.Restore(snapshot.Data)
	n.machineMu.Unlock()
	if err != nil {
		n.fail(fmt.Errorf("restore snapshot %d: %w", snapshot.Meta.Index, err))
		return
	}
	a.lastApplied = snapshot.Meta
	a.snapshotIndex = max(a.snapshotIndex, snapshot.Meta.Index)
	n.waiters.restored(snapshot.Meta.Index)
	n.applied.signal()
}

// maybeSnapshot takes a snapshot if enough entries were applied since the last
// one. A goroutine of its own stores it, so that log writes go on meanwhile.
func (a *applier) maybeSnapshot() {
	n := a.node
	if a.snapshotPending.Load() || a.lastApplied.Index < a.snapshotIndex+uint64(n.cfg.Storage.SnapshotEntries) {
		return
	}
	n.machineMu.RLock()
	data, err := n.machine.Snapshot()
	n.machineMu.RUnlock()
	if err != nil {
		n.fail(fmt.Errorf("take snapshot: %w", err))
		return
	}
	a.snapshotPending.Store(true)
	a.snapshotIndex = a.lastApplied.Index
	snapshot := replica.Snapshot{Meta: a.lastApplied, Data: data}
	a.storing.Go(func() { a.store(snapshot) })
}

// store writes a snapshot, then queues the removal of what it replaces for the
// disk goroutine.
func (a *applier) store(snapshot replica.Snapshot) {
	n := a.node
	err := n.log.StoreSnapshot(snapshot)
	if errors.Is(err, syscall.ENOSPC) {
		telemetry.ControlDiskFull.Log(n.logger, zap.String("write", "snapshot"), zap.Error(err))
		a.snapshotPending.Store(false)
		return
	}
	if err != nil {
		n.fail(err)
		return
	}
	telemetry.ControlSnapshotSaved.Log(n.logger,
		zap.Uint64("index", snapshot.Meta.Index),
		zap.Int("bytes", len(snapshot.Data)))
	n.disk.add(diskTask{storedSnapshot: &snapshot})
}

// snapshotSaved runs on the loop. It lets the protocol drop the log up to the
// snapshot, except for the last SnapshotEntries/2 entries, so that members that
// lag only a little don't need the whole snapshot.
func (n *Node) snapshotSaved(snapshot replica.Snapshot) {
	n.applier.snapshotPending.Store(false)
	if snapshot.Meta.Index < n.savedSnapshot.Meta.Index {
		return
	}
	n.savedSnapshot = snapshot
	keep := uint64(n.cfg.Storage.SnapshotEntries) / 2
	keepFrom := snapshot.Meta.Index + 1
	keepFrom -= min(keep, snapshot.Meta.Index)
	n.step(replica.SnapshotSaved{Index: snapshot.Meta.Index, KeepFrom: keepFrom})
}

// restore passes a snapshot from the leader to the applier, and keeps it to
// send to members that lag behind.
func (n *Node) restore(e replica.Restore) {
	n.savedSnapshot = e.Snapshot
	n.applier.add(e)
}

func (n *Node) configVersion() uint64 {
	n.machineMu.RLock()
	defer n.machineMu.RUnlock()
	return n.machine.Version()
}
