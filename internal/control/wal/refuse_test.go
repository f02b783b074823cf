package wal

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/control/replica"
)

// lastWritten leaves several frames in the newest segment.
const lastWritten = 18

// written returns a folder with several segments and a snapshot.
func written(t *testing.T) *fakeFS {
	files := newFakeFS()
	log, _, err := openOn(files)
	assert.NilError(t, err)
	for index := uint64(1); index <= lastWritten; index++ {
		assert.NilError(t, log.Write([]replica.Persist{{Entries: []replica.Entry{entry(index, 1)}}}))
	}
	meta := replica.SnapshotMeta{Index: 5, Term: 1}
	assert.NilError(t, saveOwn(replica.Snapshot{Meta: meta, Data: []byte("state")})(log))
	assert.NilError(t, log.Close())
	return files
}

func (f *fakeFS) names(suffix string) []string {
	all, _ := f.ReadDir(testFolder)
	var out []string
	for _, name := range all {
		if strings.HasSuffix(name, suffix) {
			out = append(out, filepath.Join(testFolder, name))
		}
	}
	return out
}

func (f *fakeFS) contents() map[string]string {
	out := map[string]string{}
	for path, file := range f.live {
		out[path] = string(file.data)
	}
	return out
}

func replaceIn(path, old, fresh string) func(*fakeFS) {
	return func(f *fakeFS) {
		file := f.live[filepath.Join(testFolder, path)]
		file.data = []byte(strings.Replace(string(file.data), old, fresh, 1))
	}
}

func TestFolderIsRefusedUnchanged(t *testing.T) {
	flip := func(f *fakeFS, path string, at int) { f.live[path].data[at] ^= 1 }
	cases := []struct {
		name   string
		damage func(*fakeFS)
		want   string
	}{
		{"another replica's", replaceIn(identityName, `"replica": "a"`, `"replica": "b"`), `belongs to replica "b", not "a"`},
		{"another group's", replaceIn(identityName, `"group": "g"`, `"group": "h"`), `belongs to group "h", not "g"`},
		{"newer format", replaceIn(identityName, `"format": 1`, `"format": 2`), "has format 2, newer than this program's 1"},
		{"damaged identity", replaceIn(identityName, `{`, `[`), "identity.json is damaged"},
		{"identity without incarnation", replaceIn(identityName, `"incarnation": "i1"`, `"incarnation": ""`), "a field is missing"},
		{"lost identity", func(f *fakeFS) { delete(f.live, filepath.Join(testFolder, identityName)) }, "holds log segments but no identity.json"},
		{"damaged middle of the newest segment", func(f *fakeFS) {
			all := f.names(segmentSuffix)
			flip(f, all[len(all)-1], frameHeaderSize+40)
		}, "is damaged at byte"},
		{"damaged length in the middle", func(f *fakeFS) {
			all := f.names(segmentSuffix)
			flip(f, all[len(all)-1], 13)
		}, "is damaged at byte 0, before its end"},
		{"damaged end of an older segment", func(f *fakeFS) {
			path := f.names(segmentSuffix)[0]
			flip(f, path, len(f.live[path].data)-1)
		}, "is damaged at byte"},
		{"older segment cut short", func(f *fakeFS) {
			file := f.live[f.names(segmentSuffix)[0]]
			file.data = file.data[:len(file.data)-3]
		}, "is damaged at byte"},
		{"missing segment", func(f *fakeFS) { delete(f.live, f.names(segmentSuffix)[1]) }, "is missing"},
		{"missing entries after the snapshot", func(f *fakeFS) {
			for _, path := range f.names(segmentSuffix)[:2] {
				delete(f.live, path)
			}
		}, "are missing"},
		{"damaged snapshot", func(f *fakeFS) { flip(f, f.names(snapshotSuffix)[0], 30) }, "snap is damaged"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			files := written(t)
			c.damage(files)
			before := files.contents()
			_, _, err := openOn(files)
			var refused *FolderError
			assert.Assert(t, errors.As(err, &refused), "%v", err)
			assert.ErrorContains(t, err, c.want)
			assert.Assert(t, !strings.Contains(err.Error(), "\n"))
			assert.DeepEqual(t, files.contents(), before)
			assert.Assert(t, !files.locked)
		})
	}
}

func TestTornTailIsCutOff(t *testing.T) {
	for cut := 1; cut < frameHeaderSize+20; cut += 5 {
		files := written(t)
		all := files.names(segmentSuffix)
		file := files.live[all[len(all)-1]]
		file.data = file.data[:len(file.data)-cut]
		log, found, err := openOn(files)
		assert.NilError(t, err)
		assert.Assert(t, found.Torn)
		assert.Equal(t, found.Entries[len(found.Entries)-1].Index, uint64(lastWritten-1), "the torn entry alone is gone")
		assert.NilError(t, log.Write([]replica.Persist{{Entries: []replica.Entry{entry(lastWritten, 2)}}}))
		assert.NilError(t, log.Close())
		_, found, err = openOn(files)
		assert.NilError(t, err)
		assert.Equal(t, found.Entries[len(found.Entries)-1].Term, uint64(2))
	}
}

func TestOperatingSystemFiles(t *testing.T) {
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
		assert.NilError(t, op.do(log), op.name)
	}
	assert.NilError(t, log.Close())
	log, found, err = Open(o)
	assert.NilError(t, err)
	ops := script()
	assert.Equal(t, stateOf(found), ops[len(ops)-1].want)
	assert.NilError(t, log.Close())
}
