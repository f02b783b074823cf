package wal

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/control/replica"
)

const testFolder = "data"

func openOn(files FS) (*Log, Recovered, error) {
	minted := 0
	return Open(Options{
		FS: files, Folder: testFolder, Group: "g", Replica: "a", SegmentBytes: 600,
		NewIncarnation: func() string { minted++; return fmt.Sprintf("i%d", minted) },
	})
}

// expected is what the disk must hold after each acknowledged operation.
type expected struct {
	term uint64
	last uint64
	// lastTerm is the term of the last entry.
	lastTerm uint64
	snap     uint64
}

func stateOf(r Recovered) expected {
	out := expected{term: r.HardState.Term, snap: r.Snapshot.Meta.Index, last: r.Snapshot.Meta.Index, lastTerm: r.Snapshot.Meta.Term}
	if n := len(r.Entries); n > 0 {
		out.last = r.Entries[n-1].Index
		out.lastTerm = r.Entries[n-1].Term
	}
	return out
}

func entry(index, term uint64) replica.Entry {
	return replica.Entry{Index: index, Term: term, Kind: replica.EntryCommand, Data: []byte("0123456789012345678901234567890123456789")}
}

// operation is one step of the script that every fault is put into.
type operation struct {
	name string
	do   func(*Log) error
	want expected
}

func writeOf(writes ...replica.Persist) func(*Log) error {
	return func(l *Log) error { return l.Write(writes) }
}

// saveOwn stores a snapshot of the own state machine and drops what it replaces.
func saveOwn(snapshot replica.Snapshot) func(*Log) error {
	return func(l *Log) error {
		if err := l.StoreSnapshot(snapshot); err != nil {
			return err
		}
		return l.Retire(snapshot.Meta.Index)
	}
}

// script goes through everything the log does: hard state, entries, conflict,
// rotation, own snapshot with cleaning, and a leader's snapshot that replaces
// the log or keeps its tail.
func script() []operation {
	hard := func(term uint64) *replica.HardState { return &replica.HardState{Term: term} }
	snap := func(index, term uint64) *replica.Snapshot {
		return &replica.Snapshot{Meta: replica.SnapshotMeta{Index: index, Term: term}, Data: []byte("state")}
	}
	return []operation{
		{"hard state", writeOf(replica.Persist{HardState: hard(1)}), expected{1, 0, 0, 0}},
		{"entries", writeOf(replica.Persist{Entries: []replica.Entry{entry(1, 1), entry(2, 1)}}, replica.Persist{Entries: []replica.Entry{entry(3, 1)}}), expected{1, 3, 1, 0}},
		{"conflict", writeOf(replica.Persist{HardState: hard(2), Entries: []replica.Entry{entry(3, 2), entry(4, 2)}}), expected{2, 4, 2, 0}},
		{"rotation", writeOf(replica.Persist{Entries: []replica.Entry{entry(5, 2), entry(6, 2), entry(7, 2), entry(8, 2)}}), expected{2, 8, 2, 0}},
		{"more entries", writeOf(replica.Persist{Entries: []replica.Entry{entry(9, 2)}}), expected{2, 9, 2, 0}},
		{"own snapshot", saveOwn(*snap(8, 2)), expected{2, 9, 2, 8}},
		{"entry after snapshot", writeOf(replica.Persist{Entries: []replica.Entry{entry(10, 2)}}), expected{2, 10, 2, 8}},
		{"leader's snapshot keeps the tail", writeOf(replica.Persist{Snapshot: snap(9, 2)}), expected{2, 10, 2, 9}},
		{"leader's snapshot replaces the log", writeOf(replica.Persist{HardState: hard(3), Snapshot: snap(20, 3), ResetLog: true}), expected{3, 20, 3, 20}},
		{"entries after it", writeOf(replica.Persist{Entries: []replica.Entry{entry(21, 3), entry(22, 3)}}), expected{3, 22, 3, 20}},
		{"second own snapshot", saveOwn(*snap(22, 3)), expected{3, 22, 3, 22}},
		{"last entry", writeOf(replica.Persist{Entries: []replica.Entry{entry(23, 3)}}), expected{3, 23, 3, 22}},
	}
}

// play runs the script until an operation fails, and returns how many were
// acknowledged.
func play(files *fakeFS) (done int, err error) {
	log, _, err := openOn(files)
	if err != nil {
		return 0, err
	}
	for _, op := range script() {
		if err := op.do(log); err != nil {
			// Nothing may be written after a failure: what is on the disk is
			// not known.
			if again := log.Write([]replica.Persist{{HardState: &replica.HardState{Term: 99}}}); again == nil {
				return done, fmt.Errorf("log went on after %w", err)
			}
			return done, err
		}
		done++
	}
	return done, nil
}

// TestEveryFaultAtEveryStepKeepsWhatWasAcknowledged breaks a script of every
// kind of write at each of its steps.
//
// fault: failed-sync x ticket
// fault: failed-sync x restart
// fault: kill x restart
func TestEveryFaultAtEveryStepKeepsWhatWasAcknowledged(t *testing.T) {
	whole := newFakeFS()
	total, err := play(whole)
	assert.NilError(t, err)
	steps := whole.steps
	for name, kind := range faults {
		for _, tail := range []int{0, 7, 1 << 20} {
			t.Run(fmt.Sprintf("%s, %d unsynced bytes survive", name, tail), func(t *testing.T) {
				for at := 1; at <= steps; at++ {
					files := newFakeFS()
					files.failAt, files.fault = at, kind
					done, err := play(files)
					assert.Assert(t, err != nil || done == total, "step %d", at)
					files.losePower(tail)
					checkRecovered(t, files, at, done)
				}
			})
		}
	}
}

// checkRecovered opens the folder after a fault and checks that it holds the
// acknowledged operations, and at most the one that was under way.
func checkRecovered(t *testing.T, files *fakeFS, at, done int) {
	t.Helper()
	log, found, err := openOn(files)
	assert.NilError(t, err, "step %d", at)
	got := stateOf(found)
	ops := script()
	var before expected
	if done > 0 {
		before = ops[done-1].want
	}
	if got != before {
		assert.Assert(t, done < len(ops), "step %d: %+v, want %+v", at, got, before)
		assert.Assert(t, partly(got, before, ops[done].want), "step %d, in %s: found %+v, between %+v and %+v", at, ops[done].name, got, before, ops[done].want)
	}
	// The recovered log goes on.
	next := entry(got.last+1, got.term+1)
	assert.NilError(t, log.Write([]replica.Persist{{Entries: []replica.Entry{next}}}), "step %d", at)
	assert.NilError(t, log.Close())
	_, found, err = openOn(files)
	assert.NilError(t, err, "step %d, second start", at)
	assert.Equal(t, stateOf(found).last, next.Index, "step %d, second start", at)
}

// partly reports whether got is after, or before with only the snapshot of the
// operation saved.
func partly(got, before, after expected) bool {
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

func TestSnapshotRemovesOnlyWhatItReplaces(t *testing.T) {
	const last = 9
	for snap := uint64(1); snap <= last; snap++ {
		files := newFakeFS()
		log, _, err := Open(Options{
			FS: files, Folder: testFolder, Group: "g", Replica: "a", SegmentBytes: 1, // one write each
			NewIncarnation: func() string { return "i1" },
		})
		assert.NilError(t, err)
		for index := uint64(1); index <= last; index++ {
			assert.NilError(t, log.Write([]replica.Persist{{Entries: []replica.Entry{entry(index, 1)}}}))
		}
		meta := replica.SnapshotMeta{Index: snap, Term: 1}
		assert.NilError(t, saveOwn(replica.Snapshot{Meta: meta})(log))
		assert.NilError(t, log.Close())
		_, found, err := openOn(files)
		assert.NilError(t, err)
		assert.Equal(t, len(found.Entries), int(last-snap))
		// The segments kept are those after the snapshot, the one that was
		// active and the one that this start began.
		assert.Equal(t, len(files.names(segmentSuffix)), int(last-snap)+2)
	}
}

func TestFolderWithoutLogGetsANewIncarnation(t *testing.T) {
	files := newFakeFS()
	_, first, err := openOn(files)
	assert.NilError(t, err)
	assert.Assert(t, first.Fresh)
	files.locked = false
	_, again, err := openOn(files)
	assert.NilError(t, err)
	assert.Assert(t, !again.Fresh, "a folder with a log must keep its incarnation")
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
