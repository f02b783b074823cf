package driver

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/control/wal"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/settings"
)

// volatileFS is a file system that knows what of its files would survive a power loss: what was
// synced, under the names of the last SyncDir.
type volatileFS struct {
	wal.FS
	mu sync.Mutex
	// synced holds the synced content of each file by its present path, durable that of the
	// files that survive.
	synced  map[string]*[]byte
	durable map[string]*[]byte
}

func newVolatileFS() *volatileFS {
	return &volatileFS{FS: wal.OS(), synced: map[string]*[]byte{}, durable: map[string]*[]byte{}}
}

type volatileFile struct {
	wal.File
	fs   *volatileFS
	path string
	// content is what survives of the file.
	content *[]byte
}

func (f *volatileFS) Create(path string) (wal.File, error) {
	file, err := f.FS.Create(path)
	f.mu.Lock()
	defer f.mu.Unlock()
	content := &[]byte{}
	f.synced[path] = content
	return &volatileFile{file, f, path, content}, err
}

func (f *volatileFile) Sync() error {
	if err := f.File.Sync(); err != nil {
		return err
	}
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	data, err := os.ReadFile(f.path)
	*f.content = data
	return err
}

func (f *volatileFS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.synced[to] = f.synced[from]
	delete(f.synced, from)
	return f.FS.Rename(from, to)
}

func (f *volatileFS) Remove(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.synced, path)
	return f.FS.Remove(path)
}

func (f *volatileFS) SyncDir(folder string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.durable = maps.Clone(f.synced)
	return f.FS.SyncDir(folder)
}

// survivors returns the files that a power loss at this moment would leave.
func (f *volatileFS) survivors() map[string][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	files := map[string][]byte{}
	for path, content := range f.durable {
		files[path] = slices.Clone(*content)
	}
	return files
}

// restoreFolder replaces the files of a data folder.
func restoreFolder(folder string, files map[string][]byte) error {
	if err := os.RemoveAll(folder); err != nil {
		return err
	}
	for path, content := range files {
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			return err
		}
		if err := os.WriteFile(path, content, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// TestAcknowledgedTableOutlastsPowerLossAndALostDisk has all other machines, spare ones too, lose power at that moment.
//
// fault: two-at-once x restart
// fault: lost-disk x restart
func TestAcknowledgedTableOutlastsPowerLossAndALostDisk(t *testing.T) {
	for _, lost := range []string{"a", "b", "c"} {
		for _, spares := range []string{"", "de"} {
			t.Run(fmt.Sprintf("%s loses its disk, spares %q", lost, spares), func(t *testing.T) {
				t.Parallel()
				s := newSeededGroup(t, "a", "b", "c")
				s.snapshotEntries, s.segmentBytes = 4, 200
				peers := s.members
				for _, id := range strings.Split(spares, "") {
					peers = append(peers, settings.Peer{ID: id, Address: reserveAddress(t), DataCentre: "dc-" + id})
				}
				disks := map[string]*volatileFS{}
				start := func(peer settings.Peer, first bool) {
					disks[peer.ID] = newVolatileFS()
					s.launchWith(peer, first, Options{FS: disks[peer.ID]})
				}
				for i, peer := range peers {
					start(peer, i < len(s.members))
				}
				version := uint64(1)
				s.replaceTable(s.nodes["a"], version, "first")
				end := time.Now().Add(time.Second)
				for i := 0; time.Now().Before(end); i++ {
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					next := controlrpc.Document{Version: version + 1, Packed: []byte("further")}
					if s.nodes[peers[i%len(peers)].ID].ReplaceTable(ctx, next) == nil {
						version++
					}
					cancel()
				}

				survivors := map[string]map[string][]byte{}
				for _, peer := range peers {
					survivors[peer.ID] = disks[peer.ID].survivors()
				}
				survivors[lost] = nil
				for _, peer := range peers {
					s.kill(peer.ID)
				}
				for _, peer := range peers {
					assert.NilError(t, restoreFolder(filepath.Join(s.folder, peer.ID), survivors[peer.ID]))
					start(peer, false)
				}
				for _, peer := range peers {
					// One that was not acknowledged may be in force.
					found := s.readTable(s.nodes[peer.ID]).Version
					assert.Assert(t, found >= version, "%s has version %d of %d", peer.ID, found, version)
				}
				s.replaceTable(s.nodes[lost], version+2, "last")
			})
		}
	}
}
