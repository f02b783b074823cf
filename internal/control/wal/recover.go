package wal

import (
	"fmt"
	"path/filepath"
	"strings"

	"wigeonbay/internal/control/replica"
)

// replayedLog is the state that results from replaying the segments.
type replayedLog struct {
	hardState replica.HardState
	entries   []replica.Entry
	// base is the index that precedes the first of entries.
	base uint64
	// started is true after the first entry or reset.
	started bool
}

func (r *replayedLog) lastIndex() uint64 { return r.base + uint64(len(r.entries)) }

func (r *replayedLog) applyBatch(b batch) error {
	if b.HardState != nil {
		r.hardState = *b.HardState
	}
	for _, rec := range b.Records {
		if rec.Entry == nil {
			r.entries, r.base, r.started = nil, rec.ResetTo, true
			continue
		}
		if err := r.applyEntry(*rec.Entry); err != nil {
			return err
		}
	}
	return nil
}

// applyEntry adds an entry and drops all entries from its index on.
func (r *replayedLog) applyEntry(entry replica.Entry) error {
	if !r.started || entry.Index <= r.base {
		r.entries, r.base, r.started = nil, entry.Index-1, true
	}
	if entry.Index > r.lastIndex()+1 {
		return fmt.Errorf("entry %d follows entry %d: entries between them are missing", entry.Index, r.lastIndex())
	}
	r.entries = append(r.entries[:entry.Index-r.base-1], entry)
	return nil
}

// entriesAfter returns the entries that follow the snapshot. If the log doesn't
// contain the last entry that the snapshot covers, then the snapshot came from a
// leader and the process ended before it had written the reset record. Such a log is
// stale and has no entries to keep.
func (r *replayedLog) entriesAfter(snap replica.SnapshotMeta) (entries []replica.Entry, stale bool, err error) {
	switch {
	case !r.started:
		return nil, false, nil
	case snap.Index < r.base:
		return nil, false, fmt.Errorf("entries %d to %d are missing", snap.Index+1, r.base)
	case snap.Index == r.base:
		return r.entries, false, nil
	case snap.Index > r.lastIndex():
		return nil, true, nil
	}
	offset := snap.Index - r.base
	if r.entries[offset-1].Term != snap.Term {
		return nil, true, nil
	}
	return r.entries[offset:], false, nil
}

// recoverLog reads the newest snapshot and all segments. It changes nothing on disk.
func (l *Log) recoverLog(names []string) (Recovered, error) {
	snapshot, err := loadSnapshot(l.files, l.folder, names)
	if err != nil {
		return Recovered{}, err
	}
	segments := sortedNumbers(names, segmentNumber)
	var log replayedLog
	for i, number := range segments {
		if number != segments[0]+uint64(i) {
			return Recovered{}, &FolderError{l.folder, segmentName(number-1) + " is missing"}
		}
		found, err := readSegment(l.files, l.folder, number, i == len(segments)-1)
		if err != nil {
			return Recovered{}, err
		}
		if err := l.replaySegment(&log, number, found); err != nil {
			return Recovered{}, err
		}
	}
	entries, stale, err := log.entriesAfter(snapshot.Meta)
	if err != nil {
		return Recovered{}, &FolderError{l.folder, err.Error()}
	}
	l.hardState = log.hardState
	l.newestSnapshot = snapshot.Meta.Index
	l.stale = stale
	return Recovered{HardState: log.hardState, Snapshot: snapshot, Entries: entries}, nil
}

// replaySegment applies the batches of a segment to log and records the segment as
// closed.
func (l *Log) replaySegment(log *replayedLog, number uint64, found segmentContents) error {
	for _, b := range found.batches {
		if err := log.applyBatch(b); err != nil {
			return &FolderError{l.folder, fmt.Sprintf("%s: %v", segmentName(number), err)}
		}
	}
	l.closed = append(l.closed, closedSegment{
		number: number, frames: uint64(len(found.batches)), lastIndex: found.lastIndex, size: found.size,
	})
	l.bytes.Add(found.size)
	if found.torn {
		l.torn = &tornTail{number: number, size: found.size}
	}
	return nil
}

// tornTail is the segment with an incomplete tail, and its size without the tail.
type tornTail struct {
	number uint64
	size   int64
}

// repair removes temporary files and truncates a torn tail. It runs only after
// recovery has found no other damage.
func (l *Log) repair(names []string) error {
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			if err := l.files.Remove(filepath.Join(l.folder, name)); err != nil {
				return fmt.Errorf("remove temporary file: %w", err)
			}
		}
	}
	if l.torn == nil {
		return nil
	}
	path := filepath.Join(l.folder, segmentName(l.torn.number))
	if err := l.files.Truncate(path, l.torn.size); err != nil {
		return fmt.Errorf("truncate torn tail: %w", err)
	}
	return nil
}
