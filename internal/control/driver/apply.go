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

// applier feeds the state machine in a goroutine of its own. The loop must not
// wait for the machine: a snapshot of a large state takes longer than an
// election timeout, and a leader that sends no heartbeat meanwhile is deposed.
type applier struct {
	node *Node

	mu    sync.Mutex
	work  []any
	ready chan struct{}

	// currentAt is the protocol's CurrentAt, as far as the machine has come.
	currentAt atomic.Int64

	// The fields below belong to the applier's goroutine.
	at      replica.SnapshotMeta // of the last entry applied
	takenAt uint64               // index of the newest snapshot taken
	storing sync.WaitGroup
	pending atomic.Bool
}

// Work for the applier, besides the effects Apply, Restore and ReadReady.
type currentSince time.Duration

func newApplier(n *Node, found replica.SnapshotMeta) *applier {
	return &applier{node: n, ready: make(chan struct{}, 1), at: found, takenAt: found.Index}
}

// add queues work. What an effect promises holds only once everything queued
// before it is applied.
func (a *applier) add(work any) {
	a.mu.Lock()
	a.work = append(a.work, work)
	a.mu.Unlock()
	select {
	case a.ready <- struct{}{}:
	default:
	}
}

func (a *applier) take() []any {
	a.mu.Lock()
	defer a.mu.Unlock()
	taken := a.work
	a.work = nil
	return taken
}

// run applies until the node stops, then waits for a snapshot under way.
func (a *applier) run() {
	defer a.node.running.Done()
	defer a.storing.Wait()
	for {
		select {
		case <-a.node.stop.Done():
			return
		case <-a.ready:
		}
		for _, work := range a.take() {
			a.do(work)
		}
	}
}

func (a *applier) do(work any) {
	switch w := work.(type) {
	case replica.Apply:
		a.apply(w.Entries)
	case replica.Restore:
		a.restore(w.Snapshot)
	case replica.ReadReady:
		a.node.waiters.read(w.ID, true)
	case currentSince:
		a.currentAt.Store(int64(w))
	}
}

// apply feeds committed entries to the machine and answers those who proposed
// them.
func (a *applier) apply(entries []replica.Entry) {
	n := a.node
	before, tableBefore := n.version(), n.table().Version
	n.machineMu.Lock()
	for _, entry := range entries {
		a.applyEntry(entry)
	}
	n.machineMu.Unlock()
	if n.version() != before || n.table().Version != tableBefore {
		n.applied.signal()
	}
	a.maybeSnapshot()
}

func (a *applier) applyEntry(entry replica.Entry) {
	a.at.Index, a.at.Term = entry.Index, entry.Term
	switch entry.Kind {
	case replica.EntryMembership:
		a.at.Membership = *entry.Membership
	case replica.EntryCommand:
		command, err := machine.Decode(entry.Data)
		if err != nil {
			panic(fmt.Sprintf("driver: committed entry %d does not decode: %v", entry.Index, err))
		}
		a.node.waiters.applied(entry, a.node.machine.Apply(entry.Index, command))
		return
	}
	a.node.waiters.applied(entry, machine.Result{})
}

// restore takes over a snapshot that the leader sent.
func (a *applier) restore(snapshot replica.Snapshot) {
	n := a.node
	n.machineMu.Lock()
	err := n.machine.Restore(snapshot.Data)
	n.machineMu.Unlock()
	if err != nil {
		n.fail(fmt.Errorf("restore snapshot %d: %w", snapshot.Meta.Index, err))
		return
	}
	a.at = snapshot.Meta
	a.takenAt = max(a.takenAt, snapshot.Meta.Index)
	n.waiters.restored(snapshot.Meta.Index)
	n.applied.signal()
}

// maybeSnapshot takes a snapshot when enough entries were applied since the
// last one. It is written beside the log's own writes.
func (a *applier) maybeSnapshot() {
	n := a.node
	if a.pending.Load() || a.at.Index < a.takenAt+uint64(n.set.Storage.SnapshotEntries) {
		return
	}
	n.machineMu.RLock()
	data, err := n.machine.Snapshot()
	n.machineMu.RUnlock()
	if err != nil {
		n.fail(fmt.Errorf("take snapshot: %w", err))
		return
	}
	a.pending.Store(true)
	a.takenAt = a.at.Index
	snapshot := replica.Snapshot{Meta: a.at, Data: data}
	a.storing.Go(func() { a.store(snapshot) })
}

// store writes a snapshot and lets the disk's goroutine drop what it replaces.
func (a *applier) store(snapshot replica.Snapshot) {
	n := a.node
	err := n.log.StoreSnapshot(snapshot)
	if errors.Is(err, syscall.ENOSPC) {
		telemetry.ControlDiskFull.Log(n.logger, zap.String("write", "snapshot"), zap.Error(err))
		a.pending.Store(false)
		return
	}
	if err != nil {
		n.fail(err)
		return
	}
	telemetry.ControlSnapshot.Log(n.logger,
		zap.Uint64("index", snapshot.Meta.Index),
		zap.Int("bytes", len(snapshot.Data)))
	n.disk.add(diskWork{stored: &snapshot})
}

// snapshotSaved runs on the loop. It lets the log shrink, but for a tail that
// spares members that lag a little the whole snapshot.
func (n *Node) snapshotSaved(snapshot replica.Snapshot) {
	n.applier.pending.Store(false)
	if snapshot.Meta.Index < n.saved.Meta.Index {
		return
	}
	n.saved = snapshot
	keep := uint64(n.set.Storage.SnapshotEntries) / 2
	from := snapshot.Meta.Index + 1
	from -= min(keep, snapshot.Meta.Index)
	n.step(replica.SnapshotSaved{Index: snapshot.Meta.Index, KeepFrom: from})
}

// restore hands over a snapshot that the leader sent, and keeps it for members
// that lag behind.
func (n *Node) restore(e replica.Restore) {
	n.saved = e.Snapshot
	n.applier.add(e)
}

func (n *Node) version() uint64 {
	n.machineMu.RLock()
	defer n.machineMu.RUnlock()
	return n.machine.Version()
}
