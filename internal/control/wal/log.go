package wal

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"sync/atomic"
	"syscall"

	"wigeonbay/internal/control/replica"
)

// ErrFailed reports that an earlier operation on the disk failed. The state of the
// disk is then unknown, since a second sync may succeed without having written
// anything. The log rejects all further writes and the process must stop.
var ErrFailed = errors.New("write-ahead log has failed")

// Options configures Open.
type Options struct {
	FS     FS
	Folder string
	// Group and Replica are compared with the identity of an existing folder.
	Group   string
	Replica string
	// NewIncarnation generates the incarnation of a folder without a log.
	NewIncarnation func() string
	// FirstStart is stored in the identity of a folder without a log.
	FirstStart bool
	// SegmentBytes is the size at which the log rotates to a new segment.
	SegmentBytes int64
	// OnFull is called when Open or Write fails because the disk is full. It may wait
	// before it returns: true retries the failed operation, false makes it fail. If
	// OnFull is nil, it fails at once.
	OnFull func() bool
}

// Recovered is the state that Open read from a data folder.
type Recovered struct {
	Identity Identity
	// Fresh is true if the folder had no log and Open has given it a new
	// identity.
	Fresh     bool
	HardState replica.HardState
	Snapshot  replica.Snapshot
	// Entries are the log entries after the snapshot.
	Entries []replica.Entry
	// Torn is true if an incomplete tail was truncated.
	Torn bool
}

// Log is an open write-ahead log. Only StoreSnapshot, Failed and Bytes may be called
// concurrently with other methods.
type Log struct {
	files        FS
	folder       string
	segmentBytes int64
	onFull       func() bool
	lock         io.Closer

	active    *segment
	closed    []closedSegment
	hardState replica.HardState
	// newestSnapshot is the index of the newest snapshot.
	newestSnapshot uint64
	// bytes is the total size of the segments.
	bytes atomic.Int64
	torn  *tornTail
	// stale is true if the entries found by recovery are older than the snapshot.
	stale  bool
	failed atomic.Pointer[error]
}

// closedSegment describes a segment that is not written to any more.
type closedSegment struct {
	number    uint64
	frames    uint64
	lastIndex uint64
	size      int64
}

// Open opens a data folder, and initialises it if it has no log. A folder that is
// damaged or belongs to another replica is rejected with a *FolderError.
func Open(o Options) (*Log, Recovered, error) {
	l := &Log{files: o.FS, folder: o.Folder, segmentBytes: o.SegmentBytes, onFull: o.OnFull}
	if err := l.files.MkdirAll(o.Folder); err != nil {
		return nil, Recovered{}, fmt.Errorf("create data folder: %w", err)
	}
	lock, err := l.files.Lock(filepath.Join(o.Folder, lockName))
	if err != nil {
		return nil, Recovered{}, fmt.Errorf("lock data folder: %w", err)
	}
	l.lock = lock
	out, err := l.open(o)
	if err != nil {
		return nil, Recovered{}, errors.Join(err, lock.Close())
	}
	return l, out, nil
}

func (l *Log) open(o Options) (Recovered, error) {
	identity, fresh, err := l.loadIdentity(o)
	if err != nil {
		return Recovered{}, err
	}
	names, err := l.files.ReadDir(l.folder)
	if err != nil {
		return Recovered{}, fmt.Errorf("list data folder: %w", err)
	}
	out, err := l.recoverLog(names)
	if err != nil {
		return Recovered{}, err
	}
	if err := l.repair(names); err != nil {
		return Recovered{}, err
	}
	out.Identity, out.Fresh, out.Torn = identity, fresh, l.torn != nil
	return out, l.startSegment()
}

// startSegment starts a new segment; its creation syncs the folder, which makes
// the repairs durable. If the entries are older than the snapshot, it writes a reset
// record, since new entries would otherwise leave a gap in the log. If the disk is
// too full for a new segment, the newest one is reopened, if there is one.
func (l *Log) startSegment() error {
	err := l.awaitingSpace(func() error {
		err := l.rotate()
		if errors.Is(err, syscall.ENOSPC) && len(l.closed) > 0 {
			err = l.reopenNewest()
		}
		return err
	})
	if err != nil {
		return err
	}
	if !l.stale {
		return nil
	}
	return l.active.write(batch{Records: []record{{ResetTo: l.newestSnapshot}}})
}

// loadIdentity returns the folder's identity. A folder without a log gets a new
// incarnation, even if it has an identity: either that identity was never used, or
// the log was lost.
func (l *Log) loadIdentity(o Options) (identity Identity, fresh bool, err error) {
	want := Identity{Format: Format, Group: o.Group, Replica: o.Replica, FirstStart: o.FirstStart}
	found, err := readIdentity(l.files, l.folder)
	if err != nil {
		return Identity{}, false, err
	}
	if found != nil {
		if err := found.validate(l.folder, want); err != nil {
			return Identity{}, false, err
		}
		names, err := l.files.ReadDir(l.folder)
		if err != nil || hasLogFiles(names) {
			return *found, false, errors.Join(err, l.upgrade(found))
		}
	}
	want.Incarnation = o.NewIncarnation()
	return want, true, l.saveIdentity(want)
}

func (l *Log) saveIdentity(identity Identity) error {
	return l.awaitingSpace(func() error { return writeIdentity(l.files, l.folder, identity) })
}

// awaitingSpace repeats an operation that fails because the disk is full, as long as onFull
// allows it. The operation must be repeatable from its beginning.
func (l *Log) awaitingSpace(operation func() error) error {
	for {
		err := operation()
		if !errors.Is(err, syscall.ENOSPC) || l.onFull == nil || !l.onFull() {
			return err
		}
	}
}

// upgrade updates the format in the identity of an older folder. It runs before
// anything is written that an older program can't read.
func (l *Log) upgrade(found *Identity) error {
	if found.Format >= Format {
		return nil
	}
	found.Format = Format
	return l.saveIdentity(*found)
}

func hasLogFiles(names []string) bool {
	return len(sortedNumbers(names, segmentNumber))+len(sortedNumbers(names, snapshotIndex)) > 0
}

// Write makes the hard states, entries and resets in writes durable, in order, in
// one frame with one sync. Snapshots among them are saved first, in files of their
// own. After an error the log rejects all further writes.
func (l *Log) Write(writes []replica.Persist) error {
	if err := l.Failed(); err != nil {
		return err
	}
	return l.fail(l.write(writes))
}

func (l *Log) write(writes []replica.Persist) error {
	var b batch
	for _, w := range writes {
		if w.HardState != nil {
			b.HardState = w.HardState
		}
		if w.Snapshot != nil {
			if err := l.installSnapshot(*w.Snapshot); err != nil {
				return err
			}
		}
		if w.ResetLog {
			b.Records = append(b.Records, record{ResetTo: w.Snapshot.Meta.Index})
		}
		for i := range w.Entries {
			b.Records = append(b.Records, record{Entry: &w.Entries[i]})
		}
	}
	if b.HardState == nil && len(b.Records) == 0 {
		return nil
	}
	before := l.active.size
	if err := l.active.write(b); err != nil {
		return err
	}
	l.bytes.Add(l.active.size - before)
	if b.HardState != nil {
		l.hardState = *b.HardState
	}
	if l.active.size < l.segmentBytes {
		return nil
	}
	if err := l.rotate(); err != nil && !errors.Is(err, syscall.ENOSPC) {
		return err
	}
	// If the disk is too full for a new segment, this one continues to grow.
	return nil
}

// installSnapshot saves a snapshot of the leader. Unlike one of the replica's own state machine
// it can't be left out on a full disk, as the log lacks what it replaces.
func (l *Log) installSnapshot(snapshot replica.Snapshot) error {
	err := l.awaitingSpace(func() error { return saveSnapshot(l.files, l.folder, snapshot) })
	if err != nil {
		return err
	}
	l.newestSnapshot = max(l.newestSnapshot, snapshot.Meta.Index)
	return nil
}

// StoreSnapshot durably saves a snapshot of the replica's own state machine. It may
// run concurrently with the other methods, so that writing a large snapshot doesn't
// delay commits. A full disk doesn't make the log fail.
func (l *Log) StoreSnapshot(snapshot replica.Snapshot) error {
	if err := l.Failed(); err != nil {
		return err
	}
	err := saveSnapshot(l.files, l.folder, snapshot)
	if errors.Is(err, syscall.ENOSPC) {
		// Nothing is lost: the log still contains what the snapshot would replace.
		return err
	}
	return l.fail(err)
}

// Retire removes the files that are superseded by the saved snapshot with this
// index.
func (l *Log) Retire(index uint64) error {
	if err := l.Failed(); err != nil {
		return err
	}
	l.newestSnapshot = max(l.newestSnapshot, index)
	return l.fail(l.removeObsolete())
}

// removeObsolete removes the snapshots before newestSnapshot, and the oldest closed
// segments as long as they have no entries after it. After a crash in between, a
// later call removes the remaining files.
func (l *Log) removeObsolete() error {
	names, err := l.files.ReadDir(l.folder)
	if err != nil {
		return fmt.Errorf("list data folder: %w", err)
	}
	for _, index := range sortedNumbers(names, snapshotIndex) {
		if index < l.newestSnapshot {
			if err := l.files.Remove(filepath.Join(l.folder, snapshotName(index))); err != nil {
				return fmt.Errorf("remove snapshot: %w", err)
			}
		}
	}
	for len(l.closed) > 0 && l.closed[0].lastIndex <= l.newestSnapshot {
		path := filepath.Join(l.folder, segmentName(l.closed[0].number))
		if err := l.files.Remove(path); err != nil {
			return fmt.Errorf("remove segment: %w", err)
		}
		l.bytes.Add(-l.closed[0].size)
		l.closed = l.closed[1:]
	}
	if err := l.files.SyncDir(l.folder); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return nil
}

// rotate creates the next segment, closes the active one and makes the new one
// active.
func (l *Log) rotate() error {
	number := uint64(1)
	if n := len(l.closed); n > 0 {
		number = l.closed[n-1].number + 1
	}
	if l.active != nil {
		number = l.active.number + 1
	}
	next, err := createSegment(l.files, l.folder, number, l.hardState)
	if err != nil {
		return err
	}
	if err := l.closeActive(); err != nil {
		return errors.Join(err, next.file.Close())
	}
	next.onFull = l.onFull
	l.active = next
	l.bytes.Add(next.size)
	return nil
}

// reopenNewest makes the newest closed segment the active one.
func (l *Log) reopenNewest() error {
	newestClosed := l.closed[len(l.closed)-1]
	seg, err := reopenSegment(l.files, l.folder, newestClosed)
	if err != nil {
		return err
	}
	seg.onFull = l.onFull
	l.closed = l.closed[:len(l.closed)-1]
	l.active = seg
	return nil
}

// closeActive closes the active segment, if there is one.
func (l *Log) closeActive() error {
	if l.active == nil {
		return nil
	}
	if err := l.active.file.Close(); err != nil {
		return fmt.Errorf("close segment: %w", err)
	}
	l.closed = append(l.closed, closedSegment{
		number: l.active.number, frames: l.active.frames, lastIndex: l.active.lastIndex, size: l.active.size,
	})
	return nil
}

// Failed returns the first error that made the log fail, or nil. It is safe for
// concurrent use.
func (l *Log) Failed() error {
	if failed := l.failed.Load(); failed != nil {
		return *failed
	}
	return nil
}

// fail marks the log as failed if err is not nil.
func (l *Log) fail(err error) error {
	if err == nil {
		return nil
	}
	err = fmt.Errorf("%w: %w", ErrFailed, err)
	l.failed.CompareAndSwap(nil, &err)
	return l.Failed()
}

// Bytes returns the total size of the segments. It is safe for concurrent use.
func (l *Log) Bytes() int64 { return l.bytes.Load() }

// Close closes the log and unlocks the folder. Unless the log has failed, it syncs
// the last sync marker.
func (l *Log) Close() error {
	if l.Failed() != nil {
		return errors.Join(l.active.file.Close(), l.lock.Close())
	}
	return errors.Join(l.active.close(), l.lock.Close())
}
