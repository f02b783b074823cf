package wal

import (
	"errors"
	"fmt"
	"path/filepath"
	"syscall"

	"github.com/vmihailenco/msgpack/v5"

	"wigeonbay/internal/control/replica"
)

// batch is the payload of a frame, that is, one group commit. The first frame of a
// segment contains the hard state, so that older segments can be removed.
type batch struct {
	HardState *replica.HardState
	Records   []record
}

// record is either a log entry or a reset of the log to a snapshot.
type record struct {
	Entry *replica.Entry
	// ResetTo, if Entry is nil, is the index of the snapshot that replaces all
	// entries before this record.
	ResetTo uint64
}

// segment is a segment file that is open for appending.
type segment struct {
	number uint64
	file   File
	size   int64
	// frames is the number of frames written, and so the number of the next frame.
	frames uint64
	// lastIndex is the highest index of an entry in the segment.
	lastIndex uint64
	// pendingMarker is the part of the last sync marker that did not fit on a full
	// disk.
	pendingMarker []byte
	// onFull is Options.OnFull.
	onFull func() bool
}

// createSegment creates a segment whose first frame contains the hard state. The
// segment is durable when createSegment returns.
func createSegment(files FS, folder string, number uint64, hardState replica.HardState) (*segment, error) {
	path := filepath.Join(folder, segmentName(number))
	file, err := files.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create segment: %w", err)
	}
	seg := &segment{number: number, file: file}
	err = seg.write(batch{HardState: &hardState})
	if err == nil {
		err = files.SyncDir(folder)
	}
	if err != nil {
		// The previous segment may stay in use after a full disk, and recovery
		// accepts a torn tail only in the newest segment.
		return nil, errors.Join(err, file.Close(), files.Remove(path))
	}
	return seg, nil
}

// reopenSegment opens a closed segment for appending.
func reopenSegment(files FS, folder string, c closedSegment) (*segment, error) {
	file, err := files.Append(filepath.Join(folder, segmentName(c.number)))
	if err != nil {
		return nil, fmt.Errorf("reopen segment: %w", err)
	}
	return &segment{number: c.number, file: file, size: c.size, frames: c.frames, lastIndex: c.lastIndex}, nil
}

// write appends one frame and syncs it, and then appends a sync marker without
// syncing it. Once the marker is on the disk, later damage to the frame can be told
// from a torn tail.
func (s *segment) write(b batch) error {
	payload, err := msgpack.Marshal(&b)
	if err != nil {
		return fmt.Errorf("encode batch: %w", err)
	}
	if len(payload) > maxFrameBytes {
		return fmt.Errorf("batch of %d bytes exceeds the limit of %d", len(payload), maxFrameBytes)
	}
	data := appendFrame(s.pendingMarker, s.frames, payload)
	if err := s.writeAll(data); err != nil {
		return fmt.Errorf("write segment: %w", err)
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("sync segment: %w", err)
	}
	s.frames++
	s.size += int64(len(data))
	if err := s.writeSyncMarker(); err != nil {
		return fmt.Errorf("write segment: %w", err)
	}
	for _, r := range b.Records {
		if r.Entry != nil {
			s.lastIndex = max(s.lastIndex, r.Entry.Index)
		}
	}
	return nil
}

// writeSyncMarker appends a marker that states that all frames so far are synced.
// If the disk is full, the rest of the marker is written before the next frame.
func (s *segment) writeSyncMarker() error {
	marker := appendSyncMarker(nil, s.frames)
	written, err := s.file.Write(marker)
	if err != nil && !errors.Is(err, syscall.ENOSPC) {
		return err
	}
	s.size += int64(written)
	s.pendingMarker = marker[written:]
	return nil
}

// close syncs the file, which makes the last sync marker durable, and closes it.
func (s *segment) close() error {
	return errors.Join(s.file.Sync(), s.file.Close())
}

// writeAll writes all of data. If the disk is full and onFull returns true, it goes on
// with the part that was not written. Until the frame is complete it is a torn
// tail, which has not been acknowledged.
func (s *segment) writeAll(data []byte) error {
	for {
		written, err := s.file.Write(data)
		if err == nil || !errors.Is(err, syscall.ENOSPC) || s.onFull == nil || !s.onFull() {
			return err
		}
		data = data[written:]
	}
}

// segmentContents is the result of reading a segment.
type segmentContents struct {
	batches []batch
	// size is the offset at which the valid frames and markers end; torn is true if
	// an incomplete tail follows that has to be truncated.
	size      int64
	torn      bool
	lastIndex uint64
}

// readSegment reads a segment. Only the newest segment may have a torn tail; any
// segment may end in a partial sync marker.
func readSegment(files FS, folder string, number uint64, newest bool) (segmentContents, error) {
	name := segmentName(number)
	data, err := files.ReadFile(filepath.Join(folder, name))
	if err != nil {
		return segmentContents{}, fmt.Errorf("read segment: %w", err)
	}
	var out segmentContents
	for frame := uint64(0); int(out.size) < len(data); frame++ {
		if count, ok := readSyncMarker(data[out.size:]); ok && count == frame {
			out.size += frameHeaderSize
		}
		if int(out.size) == len(data) {
			break
		}
		rest := data[out.size:]
		payload, size, ok := readFrame(rest, frame)
		if !ok && isPartialSyncMarker(rest, frame) {
			// The last marker may be lost even in a closed segment, since it
			// isn't always synced.
			out.torn = newest
			return out, nil
		}
		if !ok {
			if !newest || provesSynced(rest, frame) {
				detail := fmt.Sprintf("%s is damaged at byte %d, before its end", name, out.size)
				return segmentContents{}, &FolderError{folder, detail}
			}
			out.torn = true
			return out, nil
		}
		var b batch
		if err := msgpack.Unmarshal(payload, &b); err != nil {
			return segmentContents{}, &FolderError{folder, fmt.Sprintf("%s: frame %d: %v", name, frame, err)}
		}
		out.add(b)
		out.size += int64(size)
	}
	return out, nil
}

func (c *segmentContents) add(b batch) {
	c.batches = append(c.batches, b)
	for _, r := range b.Records {
		if r.Entry != nil {
			c.lastIndex = max(c.lastIndex, r.Entry.Index)
		}
	}
}
