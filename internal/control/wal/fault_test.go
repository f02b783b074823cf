package wal

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/control/replica"
)

const testFolder = "data"

func openTestLog(files FS) (*Log, Recovered, error) {
	incarnations := 0
	return Open(Options{
		FS: files, Folder: testFolder, Group: "g", Replica: "a", SegmentBytes: 600,
		NewIncarnation: func() string { incarnations++; return fmt.Sprintf("i%d", incarnations) },
	})
}

// logState summarises the recovered state of a log.
type logState struct {
	term uint64
	last uint64
	// lastTerm is the term of the last entry.
	lastTerm uint64
	snap     uint64
}

func recoveredState(r Recovered) logState {
	out := logState{term: r.HardState.Term, snap: r.Snapshot.Meta.Index, last: r.Snapshot.Meta.Index, lastTerm: r.Snapshot.Meta.Term}
	if n := len(r.Entries); n > 0 {
		out.last = r.Entries[n-1].Index
		out.lastTerm = r.Entries[n-1].Term
	}
	return out
}

func entry(index, term uint64) replica.Entry {
	return replica.Entry{Index: index, Term: term, Kind: replica.EntryCommand, Data: []byte("0123456789012345678901234567890123456789")}
}

// operation is one operation of the script, with the state that must be recovered
// once it has been acknowledged.
type operation struct {
	name string
	run  func(*Log) error
	want logState
}

func writeOp(writes ...replica.Persist) func(*Log) error {
	return func(l *Log) error { return l.Write(writes) }
}

// snapshotOp saves a snapshot of the replica's own state machine and removes the
// files that it supersedes.
func snapshotOp(snapshot replica.Snapshot) func(*Log) error {
	return func(l *Log) error {
		if err := l.StoreSnapshot(snapshot); err != nil {
			return err
		}
		return l.Retire(snapshot.Meta.Index)
	}
}

// script covers every kind of write: hard state, entries, conflicting entries,
// rotation, own snapshots with removal of old files, and a leader's snapshot that
// replaces the log or keeps its tail.
func script() []operation {
	hard := func(term uint64) *replica.HardState { return &replica.HardState{Term: term} }
	snap := func(index, term uint64) *replica.Snapshot {
		return &replica.Snapshot{Meta: replica.SnapshotMeta{Index: index, Term: term}, Data: []byte("state")}
	}
	return []operation{
		{"hard state", writeOp(replica.Persist{HardState: hard(1)}), logState{1, 0, 0, 0}},
		{"entries", writeOp(replica.Persist{Entries: []replica.Entry{entry(1, 1), entry(2, 1)}}, replica.Persist{Entries: []replica.Entry{entry(3, 1)}}), logState{1, 3, 1, 0}},
		{"conflict", writeOp(replica.Persist{HardState: hard(2), Entries: []replica.Entry{entry(3, 2), entry(4, 2)}}), logState{2, 4, 2, 0}},
		{"rotation", writeOp(replica.Persist{Entries: []replica.Entry{entry(5, 2), entry(6, 2), entry(7, 2), entry(8, 2)}}), logState{2, 8, 2, 0}},
		{"more entries", writeOp(replica.Persist{Entries: []replica.Entry{entry(9, 2)}}), logState{2, 9, 2, 0}},
		{"own snapshot", snapshotOp(*snap(8, 2)), logState{2, 9, 2, 8}},
		{"entry after snapshot", writeOp(replica.Persist{Entries: []replica.Entry{entry(10, 2)}}), logState{2, 10, 2, 8}},
		{"leader's snapshot keeps the tail", writeOp(replica.Persist{Snapshot: snap(9, 2)}), logState{2, 10, 2, 9}},
		{"leader's snapshot replaces the log", writeOp(replica.Persist{HardState: hard(3), Snapshot: snap(20, 3), ResetLog: true}), logState{3, 20, 3, 20}},
		{"entries after it", writeOp(replica.Persist{Entries: []replica.Entry{entry(21, 3), entry(22, 3)}}), logState{3, 22, 3, 20}},
		{"second own snapshot", snapshotOp(*snap(22, 3)), logState{3, 22, 3, 22}},
		{"last entry", writeOp(replica.Persist{Entries: []replica.Entry{entry(23, 3)}}), logState{3, 23, 3, 22}},
	}
}

// runScript runs the script until an operation fails, and returns the number of
// acknowledged operations. After a failure it checks that the log rejects writes.
func runScript(files *fakeFS) (done int, err error) {
	log, _, err := openTestLog(files)
	if err != nil {
		return 0, err
	}
	for _, op := range script() {
		if err := op.run(log); err != nil {
			// The state of the disk is unknown after a failure, so nothing more
			// may be written.
			if again := log.Write([]replica.Persist{{HardState: &replica.HardState{Term: 99}}}); again == nil {
				return done, fmt.Errorf("log accepted a write after %w", err)
			}
			return done, err
		}
		done++
	}
	return done, nil
}

// TestFaultAtEachStepKeepsAcknowledgedWrites guards against the loss of acknowledged
// writes. It injects each kind of fault at each step of the script, simulates a
// power loss and recovers the log.
//
// fault: failed-sync x ticket
// fault: failed-sync x restart
// fault: kill x restart
func TestFaultAtEachStepKeepsAcknowledgedWrites(t *testing.T) {
	reference := newFakeFS()
	total, err := runScript(reference)
	assert.NilError(t, err)
	steps := reference.steps
	for name, kind := range faults {
		for _, tail := range []int{0, 7, 1 << 20} {
			t.Run(fmt.Sprintf("%s, %d unsynced bytes survive", name, tail), func(t *testing.T) {
				for step := 1; step <= steps; step++ {
					files := newFakeFS()
					files.failAt, files.fault = step, kind
					done, err := runScript(files)
					assert.Assert(t, err != nil || done == total, "step %d", step)
					files.losePower(tail)
					checkRecovered(t, files, step, done)
				}
			})
		}
	}
}

// checkRecovered opens the folder after a fault and checks that the recovered state
// contains the acknowledged operations and, beyond them, at most the one that
// failed. It also checks that the recovered log accepts writes.
func checkRecovered(t *testing.T, files *fakeFS, step, done int) {
	t.Helper()
	log, found, err := openTestLog(files)
	assert.NilError(t, err, "step %d", step)
	got := recoveredState(found)
	ops := script()
	var before logState
	if done > 0 {
		before = ops[done-1].want
	}
	if got != before {
		assert.Assert(t, done < len(ops), "step %d: %+v, want %+v", step, got, before)
		assert.Assert(t, isPartialState(got, before, ops[done].want), "step %d, in %s: recovered %+v, want a state between %+v and %+v", step, ops[done].name, got, before, ops[done].want)
	}
	// The recovered log must accept writes.
	next := entry(got.last+1, got.term+1)
	assert.NilError(t, log.Write([]replica.Persist{{Entries: []replica.Entry{next}}}), "step %d", step)
	assert.NilError(t, log.Close())
	_, found, err = openTestLog(files)
	assert.NilError(t, err, "step %d, second start", step)
	assert.Equal(t, recoveredState(found).last, next.Index, "step %d, second start", step)
}

// isPartialState reports whether got is a valid state after a failed operation that
// leads from before to after: either after itself, or before with the operation's
// snapshot.
func isPartialState(got, before, after logState) bool {
	if got == after {
		return true
	}
	saved := before
	saved.snap = after.snap
	if after.snap > before.last {
		saved.last, saved.lastTerm = after.snap, after.lastTerm
	}
	return got == saved
}

func TestSnapshotRemovesOnlyReplacedSegments(t *testing.T) {
	const last = 9
	for snap := uint64(1); snap <= last; snap++ {
		files := newFakeFS()
		log, _, err := Open(Options{
			FS: files, Folder: testFolder, Group: "g", Replica: "a", SegmentBytes: 1, // one write in each segment
			NewIncarnation: func() string { return "i1" },
		})
		assert.NilError(t, err)
		for index := uint64(1); index <= last; index++ {
			assert.NilError(t, log.Write([]replica.Persist{{Entries: []replica.Entry{entry(index, 1)}}}))
		}
		meta := replica.SnapshotMeta{Index: snap, Term: 1}
		assert.NilError(t, snapshotOp(replica.Snapshot{Meta: meta})(log))
		assert.NilError(t, log.Close())
		_, found, err := openTestLog(files)
		assert.NilError(t, err)
		assert.Equal(t, len(found.Entries), int(last-snap))
		// The remaining segments are those with entries after the snapshot, the
		// last active one and the one that the second Open created.
		assert.Equal(t, len(files.pathsWithSuffix(segmentSuffix)), int(last-snap)+2)
	}
}

func TestFolderWithoutLogGetsNewIncarnation(t *testing.T) {
	files := newFakeFS()
	_, first, err := openTestLog(files)
	assert.NilError(t, err)
	assert.Assert(t, first.Fresh)
	files.locked = false
	_, again, err := openTestLog(files)
	assert.NilError(t, err)
	assert.Assert(t, !again.Fresh, "folder with a log got a new incarnation")
	assert.Equal(t, again.Identity.Incarnation, first.Identity.Incarnation)
	for path := range files.live {
		if _, ok := segmentNumber(path[len(testFolder)+1:]); ok {
			delete(files.live, path)
		}
	}
	files.locked = false
	_, lost, err := Open(Options{
		FS: files, Folder: testFolder, Group: "g", Replica: "a", SegmentBytes: 600,
		NewIncarnation: func() string { return "new" },
	})
	assert.NilError(t, err)
	assert.Assert(t, lost.Fresh)
	assert.Equal(t, lost.Identity.Incarnation, "new")
}
