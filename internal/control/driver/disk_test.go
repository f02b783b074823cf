package driver

import (
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wigeonbay/internal/control/wal"
)

// faultyFS is a file system whose disk can be full or whose syncs can block.
type faultyFS struct {
	wal.FS
	full  atomic.Bool
	stuck sync.RWMutex
}

type faultyFile struct {
	wal.File
	fs *faultyFS
}

func (f *faultyFS) Append(path string) (wal.File, error) {
	file, err := f.FS.Append(path)
	return &faultyFile{file, f}, err
}

func (f *faultyFS) Create(path string) (wal.File, error) {
	if f.full.Load() {
		return nil, syscall.ENOSPC
	}
	file, err := f.FS.Create(path)
	return &faultyFile{file, f}, err
}

// Write writes half of the data and fails if the disk is full.
func (f *faultyFile) Write(p []byte) (int, error) {
	if !f.fs.full.Load() {
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:len(p)/2])
	if err != nil {
		return n, err
	}
	return n, syscall.ENOSPC
}

func (f *faultyFile) Sync() error {
	f.fs.stuck.RLock()
	defer f.fs.stuck.RUnlock()
	return f.File.Sync()
}

// newFaultyDiskGroup starts a group and returns it with its leader and the
// leader's file system.
func newFaultyDiskGroup(t *testing.T) (*group, string, *faultyFS) {
	g := newGroup(t, "a", "b", "c")
	disks := map[string]*faultyFS{}
	for _, peer := range g.members {
		disks[peer.ID] = &faultyFS{FS: wal.OS()}
		g.start(peer, Options{FS: disks[peer.ID], Fatal: func(err error) { t.Errorf("%s failed: %v", peer.ID, err) }}, false)
	}
	g.mustApply("a", 1)
	leader := g.leader()
	return g, leader, disks[leader]
}

// awaitOtherLeader waits until another replica leads.
func (g *group) awaitOtherLeader(old string) {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		for id, node := range g.nodes {
			if id != old && node.view.Load().leader.ID != old && !node.view.Load().leader.IsZero() {
				return poll.Success()
			}
		}
		return poll.Continue("%s still leads", old)
	}, poll.WithTimeout(10*time.Second))
}

// fault: full-disk x ticket
func TestFullDiskDoesNotStopReplica(t *testing.T) {
	g, leader, disk := newFaultyDiskGroup(t)
	disk.full.Store(true)
	// The leader's write can't finish; the other replicas elect a new leader.
	_ = g.apply(leader, 2)
	g.awaitOtherLeader(leader)
	other := g.other(leader)
	g.mustApply(other, 3)
	disk.full.Store(false)
	g.waitUntilCurrent(leader, 3)
	g.kill(leader)
	g.start(g.peer(leader), Options{}, false)
	g.waitUntilCurrent(leader, 3)
}

// fault: full-disk x restart
func TestReplicaRestartsOnFullDisk(t *testing.T) {
	g, leader, disk := newFaultyDiskGroup(t)
	disk.full.Store(true)
	g.kill(leader)
	g.mustApply(g.other(leader), 2)
	g.start(g.peer(leader), Options{FS: disk, Fatal: func(err error) { t.Errorf("%s failed: %v", leader, err) }}, false)
	g.mustApply(g.other(leader), 3)
	disk.full.Store(false)
	g.waitUntilCurrent(leader, 3)
}

// fault: stuck-disk x ticket
func TestStuckDiskTransfersLeadership(t *testing.T) {
	g, leader, disk := newFaultyDiskGroup(t)
	disk.stuck.Lock()
	began := time.Now()
	_ = g.apply(leader, 2)
	g.awaitOtherLeader(leader)
	g.mustApply(g.other(leader), 3)
	disk.stuck.Unlock()
	assert.Assert(t, time.Since(began) < 5*time.Second, "the next ticket was committed only after %v", time.Since(began))
	g.waitUntilCurrent(leader, 3)
}
