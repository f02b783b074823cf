package driver

import (
	"fmt"

	"wigeonbay/internal/control/machine"
	"wigeonbay/internal/control/replica"
)

// snapshotState follows the snapshots of the state machine.
type snapshotState struct {
	// saved is the newest snapshot on the disk, for members that lag behind.
	saved replica.Snapshot
	// takenAt is the index of the newest one taken, saved or not.
	takenAt uint64
	pending bool
}

// apply feeds committed entries to the state machine and answers those who
// proposed them.
func (n *Node) apply(entries []replica.Entry) {
	before := n.version()
	n.machineMu.Lock()
	for _, entry := range entries {
		n.applyEntry(entry)
	}
	n.machineMu.Unlock()
	if n.version() != before {
		n.applied.signal()
	}
	n.maybeSnapshot()
}

func (n *Node) applyEntry(entry replica.Entry) {
	if entry.Kind != replica.EntryCommand {
		n.waiters.applied(entry, machine.Result{})
		return
	}
	command, err := machine.Decode(entry.Data)
	if err != nil {
		panic(fmt.Sprintf("driver: committed entry %d does not decode: %v", entry.Index, err))
	}
	n.waiters.applied(entry, n.machine.Apply(entry.Index, command))
}

func (n *Node) version() uint64 {
	n.machineMu.RLock()
	defer n.machineMu.RUnlock()
	return n.machine.Version()
}

// restore takes over a snapshot that the leader sent.
func (n *Node) restore(snapshot replica.Snapshot) {
	n.machineMu.Lock()
	err := n.machine.Restore(snapshot.Data)
	n.machineMu.Unlock()
	if err != nil {
		n.fail(fmt.Errorf("restore snapshot %d: %w", snapshot.Meta.Index, err))
		return
	}
	n.shot.takenAt = max(n.shot.takenAt, snapshot.Meta.Index)
	n.shot.saved = snapshot
	n.waiters.restored(snapshot.Meta.Index)
	n.applied.signal()
}

// maybeSnapshot takes a snapshot when enough entries were applied since the
// last one; the disk's goroutine saves it.
func (n *Node) maybeSnapshot() {
	index := n.state.AppliedIndex()
	if n.shot.pending || index < n.shot.takenAt+uint64(n.set.Storage.SnapshotEntries) {
		return
	}
	term, ok := n.state.TermAt(index)
	if !ok {
		return
	}
	n.machineMu.RLock()
	data, err := n.machine.Snapshot()
	n.machineMu.RUnlock()
	if err != nil {
		n.fail(fmt.Errorf("take snapshot: %w", err))
		return
	}
	n.shot.pending = true
	n.shot.takenAt = index
	meta := replica.SnapshotMeta{Index: index, Term: term, Membership: n.state.MembershipAt(index)}
	n.disk.add(diskWork{snapshot: &replica.Snapshot{Meta: meta, Data: data}})
}

// snapshotSaved lets the log shrink, but for a tail that spares members that
// lag a little the whole snapshot.
func (n *Node) snapshotSaved(snapshot replica.Snapshot) {
	n.shot.pending = false
	if snapshot.Meta.Index < n.shot.saved.Meta.Index {
		return
	}
	n.shot.saved = snapshot
	keep := uint64(n.set.Storage.SnapshotEntries) / 2
	from := snapshot.Meta.Index + 1
	from -= min(keep, snapshot.Meta.Index)
	n.step(replica.SnapshotSaved{Index: snapshot.Meta.Index, KeepFrom: from})
}
