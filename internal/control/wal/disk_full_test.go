package wal

import (
	"errors"
	"fmt"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/control/replica"
)

// fillDisk makes all further writes fail, and freeDisk lets them succeed again.
func (f *fakeFS) fillDisk() { f.failAt, f.fault = f.steps+1, faultDiskFull }
func (f *fakeFS) freeDisk() { f.failAt = 0 }

func writeEntry(l *Log, index uint64) error {
	return l.Write([]replica.Persist{{Entries: []replica.Entry{entry(index, 1)}}})
}

// TestOpenOnFullDisk checks that a log can be opened when the disk has no room for a
// new segment, and that it accepts writes once there is room.
//
// fault: full-disk x restart
func TestOpenOnFullDisk(t *testing.T) {
	files := newPopulatedFS(t)
	files.fillDisk()
	log, found, err := openTestLog(files)
	assert.NilError(t, err)
	assert.Equal(t, found.Entries[len(found.Entries)-1].Index, uint64(lastWritten))
	files.freeDisk()
	for index := uint64(lastWritten + 1); index < lastWritten+20; index++ {
		assert.NilError(t, writeEntry(log, index))
	}
	assert.NilError(t, log.Close())
	_, found, err = openTestLog(files)
	assert.NilError(t, err)
	assert.Equal(t, found.Entries[len(found.Entries)-1].Index, uint64(lastWritten+19))
}

// TestFullDiskAtRotationLeavesNoNewerSegment guards against an unrecoverable log after
// a rotation that failed on a full disk. The old segment stays in use and may get a
// torn frame, which recovery accepts only in the newest segment, so the new segment's
// file must have been removed.
//
// fault: full-disk x restart
// fault: two-at-once x restart
func TestFullDiskAtRotationLeavesNoNewerSegment(t *testing.T) {
	// Steps 1 to 3 of a write are the frame, its sync and its sync marker. Steps 4
	// and 5 create the new segment and write its first frame.
	for _, step := range []int{4, 5} {
		files := newFakeFS()
		log, _, err := openTestLog(files)
		assert.NilError(t, err)
		log.segmentBytes = 1
		files.failAt, files.fault = files.steps+step, faultDiskFull
		assert.NilError(t, writeEntry(log, 1))
		assert.Equal(t, len(files.pathsWithSuffix(segmentSuffix)), 1)
		err = writeEntry(log, 2)
		assert.Assert(t, errors.Is(err, syscall.ENOSPC), "%v", err)
		files.locked = false
		files.freeDisk()
		_, found, err := openTestLog(files)
		assert.NilError(t, err)
		assert.Equal(t, found.Entries[len(found.Entries)-1].Index, uint64(1))
	}
}

// TestFullDiskWithinSyncMarker checks that the rest of a partly written sync marker
// is written before the next frame.
func TestFullDiskWithinSyncMarker(t *testing.T) {
	files := newFakeFS()
	log, _, err := openTestLog(files)
	assert.NilError(t, err)
	// Steps 1 to 3 of a write are the frame, its sync and its sync marker.
	files.failAt, files.fault = files.steps+3, faultDiskFull
	assert.NilError(t, writeEntry(log, 1))
	files.freeDisk()
	for index := uint64(2); index < 10; index++ {
		assert.NilError(t, writeEntry(log, index))
	}
	assert.NilError(t, log.Close())
	_, found, err := openTestLog(files)
	assert.NilError(t, err)
	assert.Assert(t, !found.Torn)
	assert.Equal(t, found.Entries[len(found.Entries)-1].Index, uint64(9))
}

// runScriptWithFullDisk runs the script on a disk that is full from a step on. Each time the
// log waits for room, or an operation fails, the disk gets room again.
func runScriptWithFullDisk(files *fakeFS) error {
	log, _, err := Open(Options{
		FS: files, Folder: testFolder, Group: "g", Replica: "a", SegmentBytes: 600,
		NewIncarnation: func() string { return "i1" },
		OnFull:         func() bool { files.freeDisk(); return true },
	})
	if err != nil {
		return err
	}
	for _, op := range script() {
		err := op.run(log)
		if errors.Is(err, syscall.ENOSPC) {
			files.freeDisk()
			err = op.run(log)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", op.name, err)
		}
	}
	return log.Close()
}

// TestFullDiskNeverFailsTheLog guards against a replica that stops, or doesn't start, whatever it was writing.
//
// fault: full-disk x repair
// fault: full-disk x restart
func TestFullDiskNeverFailsTheLog(t *testing.T) {
	reference := newFakeFS()
	_, err := runScript(reference)
	assert.NilError(t, err)
	ops := script()
	for step := 1; step <= reference.steps; step++ {
		files := newFakeFS()
		files.failAt, files.fault = step, faultDiskFull
		assert.NilError(t, runScriptWithFullDisk(files), "disk full from step %d on", step)
		assert.Equal(t, len(files.pathsWithSuffix(tempSuffix)), 0, "step %d left a temporary file", step)
		_, found, err := openTestLog(files)
		assert.NilError(t, err, "step %d", step)
		assert.Equal(t, recoveredState(found), ops[len(ops)-1].want, "step %d", step)
	}
}
