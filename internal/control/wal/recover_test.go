package wal

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/control/replica"
)

// lastWritten is the index of the last entry that newPopulatedFS writes. It leaves
// several frames in the newest segment.
const lastWritten = 20

// newPopulatedFS returns a file system with a data folder that contains several
// segments and a snapshot.
func newPopulatedFS(t *testing.T) *fakeFS {
	files := newFakeFS()
	log, _, err := openTestLog(files)
	assert.NilError(t, err)
	for index := uint64(1); index <= lastWritten; index++ {
		assert.NilError(t, log.Write([]replica.Persist{{Entries: []replica.Entry{entry(index, 1)}}}))
	}
	meta := replica.SnapshotMeta{Index: 5, Term: 1}
	assert.NilError(t, snapshotOp(replica.Snapshot{Meta: meta, Data: []byte("state")})(log))
	assert.NilError(t, log.Close())
	return files
}

// pathsWithSuffix returns the paths in the data folder that end in suffix, sorted.
func (f *fakeFS) pathsWithSuffix(suffix string) []string {
	all, _ := f.ReadDir(testFolder)
	var out []string
	for _, name := range all {
		if strings.HasSuffix(name, suffix) {
			out = append(out, filepath.Join(testFolder, name))
		}
	}
	return out
}

func (f *fakeFS) fileContents() map[string]string {
	out := map[string]string{}
	for path, file := range f.live {
		out[path] = string(file.data)
	}
	return out
}

func replaceInFile(path, old, replacement string) func(*fakeFS) {
	return func(f *fakeFS) {
		file := f.live[filepath.Join(testFolder, path)]
		file.data = []byte(strings.Replace(string(file.data), old, replacement, 1))
	}
}

func TestInvalidFolderIsRejectedUnchanged(t *testing.T) {
	flipBit := func(f *fakeFS, path string, offset int) { f.live[path].data[offset] ^= 1 }
	cases := []struct {
		name   string
		damage func(*fakeFS)
		want   string
	}{
		{"belongs to another replica", replaceInFile(identityName, `"replica": "a"`, `"replica": "b"`), `belongs to replica "b", not "a"`},
		{"belongs to another group", replaceInFile(identityName, `"group": "g"`, `"group": "h"`), `belongs to group "h", not "g"`},
		{"newer format", replaceInFile(identityName, `"format": 2`, `"format": 3`), "has format 3, newer than this program's 2"},
		{"damaged identity", replaceInFile(identityName, `{`, `[`), "identity.json is damaged"},
		{"identity without incarnation", replaceInFile(identityName, `"incarnation": "i1"`, `"incarnation": ""`), "a field is missing"},
		{"missing identity", func(f *fakeFS) { delete(f.live, filepath.Join(testFolder, identityName)) }, "holds log segments but no identity.json"},
		{"damaged middle of the newest segment", func(f *fakeFS) {
			all := f.pathsWithSuffix(segmentSuffix)
			flipBit(f, all[len(all)-1], frameHeaderSize+40)
		}, "is damaged at byte"},
		{"damaged length in the middle", func(f *fakeFS) {
			all := f.pathsWithSuffix(segmentSuffix)
			flipBit(f, all[len(all)-1], 13)
		}, "is damaged at byte 0, before its end"},
		{"damaged end of an older segment", func(f *fakeFS) {
			path := f.pathsWithSuffix(segmentSuffix)[0]
			flipBit(f, path, len(f.live[path].data)-frameHeaderSize-1)
		}, "is damaged at byte"},
		{"truncated older segment", func(f *fakeFS) {
			file := f.live[f.pathsWithSuffix(segmentSuffix)[0]]
			file.data = file.data[:len(file.data)-frameHeaderSize-3]
		}, "is damaged at byte"},
		{"damaged last frame with a sync marker", func(f *fakeFS) {
			all := f.pathsWithSuffix(segmentSuffix)
			path := all[len(all)-1]
			flipBit(f, path, len(f.live[path].data)-frameHeaderSize-1)
		}, "is damaged at byte"},
		{"damaged header of the last frame with a sync marker", func(f *fakeFS) {
			all := f.pathsWithSuffix(segmentSuffix)
			path := all[len(all)-1]
			flipBit(f, path, lastFrameOffset(f.live[path].data)+5)
		}, "is damaged at byte"},
		{"damaged sync marker in an older segment", func(f *fakeFS) {
			path := f.pathsWithSuffix(segmentSuffix)[0]
			flipBit(f, path, len(f.live[path].data)-1)
		}, "is damaged at byte"},
		{"missing segment", func(f *fakeFS) { delete(f.live, f.pathsWithSuffix(segmentSuffix)[1]) }, "is missing"},
		{"missing entries after the snapshot", func(f *fakeFS) {
			for _, path := range f.pathsWithSuffix(segmentSuffix)[:2] {
				delete(f.live, path)
			}
		}, "are missing"},
		{"damaged snapshot", func(f *fakeFS) { flipBit(f, f.pathsWithSuffix(snapshotSuffix)[0], 30) }, "snap is damaged"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			files := newPopulatedFS(t)
			c.damage(files)
			before := files.fileContents()
			_, _, err := openTestLog(files)
			var folderErr *FolderError
			assert.Assert(t, errors.As(err, &folderErr), "%v", err)
			assert.ErrorContains(t, err, c.want)
			assert.Assert(t, !strings.Contains(err.Error(), "\n"))
			assert.DeepEqual(t, files.fileContents(), before)
			assert.Assert(t, !files.locked)
		})
	}
}

// lastFrameOffset returns the offset of the last frame in data, or -1.
func lastFrameOffset(data []byte) int {
	for offset := len(data) - 1; offset >= 0; offset-- {
		if _, _, ok := readHeader(data[offset:], frameMagic); ok {
			return offset
		}
	}
	return -1
}

// TestTornTailIsTruncated checks that recovery drops an incomplete last frame without
// a sync marker, and nothing before it.
func TestTornTailIsTruncated(t *testing.T) {
	for truncated := 1; truncated < frameHeaderSize+20; truncated += 5 {
		files := newPopulatedFS(t)
		all := files.pathsWithSuffix(segmentSuffix)
		file := files.live[all[len(all)-1]]
		file.data = file.data[:len(file.data)-frameHeaderSize-truncated]
		log, found, err := openTestLog(files)
		assert.NilError(t, err)
		assert.Assert(t, found.Torn)
		assert.Equal(t, found.Entries[len(found.Entries)-1].Index, uint64(lastWritten-1), "only the torn entry must be lost")
		assert.NilError(t, log.Write([]replica.Persist{{Entries: []replica.Entry{entry(lastWritten, 2)}}}))
		assert.NilError(t, log.Close())
		_, found, err = openTestLog(files)
		assert.NilError(t, err)
		assert.Equal(t, found.Entries[len(found.Entries)-1].Term, uint64(2))
	}
}

// TestPartialSyncMarkerLosesNoEntries checks that recovery keeps the last frame when
// a power loss has left only part of its sync marker. The frame was synced, the
// marker was not.
func TestPartialSyncMarkerLosesNoEntries(t *testing.T) {
	for kept := range frameHeaderSize {
		for _, zeros := range []bool{false, true} {
			for _, newest := range []bool{true, false} {
				files := newPopulatedFS(t)
				all := files.pathsWithSuffix(segmentSuffix)
				path := all[0]
				if newest {
					path = all[len(all)-1]
				}
				file := files.live[path]
				marker := file.data[len(file.data)-frameHeaderSize:]
				clear(marker[kept:])
				if !zeros {
					file.data = file.data[:len(file.data)-frameHeaderSize+kept]
				}
				log, found, err := openTestLog(files)
				assert.NilError(t, err)
				assert.Equal(t, found.Entries[len(found.Entries)-1].Index, uint64(lastWritten))
				assert.NilError(t, log.Close())
			}
		}
	}
}

// TestUnsyncedFrameAfterLostMarkerIsTruncated has a valid frame after a sync marker
// that a power loss replaced by zeros. Neither was synced, so recovery must truncate
// the tail and not reject the folder.
func TestUnsyncedFrameAfterLostMarkerIsTruncated(t *testing.T) {
	files := newPopulatedFS(t)
	all := files.pathsWithSuffix(segmentSuffix)
	file := files.live[all[len(all)-1]]
	last := lastFrameOffset(file.data)
	clear(file.data[last-frameHeaderSize : last])
	file.data = file.data[:len(file.data)-frameHeaderSize]
	log, found, err := openTestLog(files)
	assert.NilError(t, err)
	assert.Assert(t, found.Torn)
	assert.Equal(t, found.Entries[len(found.Entries)-1].Index, uint64(lastWritten-1))
	assert.NilError(t, log.Close())
}

func TestOpenUpgradesFormat1(t *testing.T) {
	files := newPopulatedFS(t)
	replaceInFile(identityName, `"format": 2`, `"format": 1`)(files)
	for _, path := range files.pathsWithSuffix(segmentSuffix) {
		file := files.live[path]
		file.data = withoutSyncMarkers(file.data)
	}
	for range 2 {
		log, found, err := openTestLog(files)
		assert.NilError(t, err)
		assert.Equal(t, found.Identity.Format, Format)
		assert.Equal(t, found.Entries[len(found.Entries)-1].Index, uint64(lastWritten))
		assert.NilError(t, log.Close())
	}
}

func withoutSyncMarkers(data []byte) []byte {
	var out []byte
	for offset := 0; offset < len(data); {
		if _, ok := readSyncMarker(data[offset:]); ok {
			offset += frameHeaderSize
			continue
		}
		out = append(out, data[offset])
		offset++
	}
	return out
}

func TestOSFileSystem(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	o := Options{
		FS: OS(), Folder: folder, Group: "g", Replica: "a", SegmentBytes: 600,
		NewIncarnation: func() string { return "i1" },
	}
	log, found, err := Open(o)
	assert.NilError(t, err)
	assert.Assert(t, found.Fresh)
	_, _, err = Open(o)
	assert.ErrorIs(t, err, ErrLocked)
	for _, op := range script() {
		assert.NilError(t, op.run(log), op.name)
	}
	assert.NilError(t, log.Close())
	log, found, err = Open(o)
	assert.NilError(t, err)
	ops := script()
	assert.Equal(t, recoveredState(found), ops[len(ops)-1].want)
	assert.NilError(t, log.Close())
}
