package driver

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wigeonbay/internal/control/wal"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/settings"
)

// fullDiskTime is how long each disk of a sequence is full: longer than an election, so that
// the group has another leader before the disk has room again.
const fullDiskTime = time.Second

// diskSequence fills the disks of a group one after another while tickets are sent to all
// replicas.
type diskSequence struct {
	*group
	disks  map[string]*faultyFS
	number atomic.Uint64
}

// newDiskSequence starts a group. With small set, segments and snapshots are so small that
// every few tickets rotate the log and take a snapshot.
func newDiskSequence(t *testing.T, small bool) *diskSequence {
	s := &diskSequence{group: newGroup(t, "a", "b", "c"), disks: map[string]*faultyFS{}}
	if small {
		s.snapshotEntries, s.segmentBytes = 4, 200
	}
	for _, peer := range s.members {
		s.disks[peer.ID] = &faultyFS{FS: wal.OS()}
		s.startOn(peer.ID)
	}
	s.mustApply("a", s.number.Add(1))
	return s
}

// startOn starts a replica on its disk. It must not stop by itself.
func (s *diskSequence) startOn(id string) {
	s.start(s.peer(id), Options{
		FS: s.disks[id], Fatal: func(err error) { s.t.Errorf("%s stopped by itself: %v", id, err) },
	}, false)
}

// applyEverywhere sends tickets to all running replicas until stop is closed. Their outcome
// doesn't matter.
func (s *diskSequence) applyEverywhere(stop <-chan struct{}) {
	var running sync.WaitGroup
	for id := range s.nodes {
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
					_ = s.apply(id, s.number.Add(1))
				}
			}
		})
	}
	running.Wait()
}

// fill keeps a replica's disk full for fullDiskTime, with tickets sent to all replicas.
func (s *diskSequence) fill(id string) {
	stop := make(chan struct{})
	time.AfterFunc(fullDiskTime, func() { close(stop) })
	s.disks[id].full.Store(true)
	defer s.disks[id].full.Store(false)
	s.applyEverywhere(stop)
}

// checkRecovered checks that every replica accepts tickets and becomes current, and that a
// restart of all loses nothing.
func (s *diskSequence) checkRecovered() {
	s.t.Helper()
	for range 3 {
		for _, peer := range s.members {
			s.mustApplyNew(peer.ID)
		}
	}
	last := s.status("a").Version
	for _, peer := range s.members {
		s.waitUntilCurrent(peer.ID, last)
	}
	for _, peer := range s.members {
		s.kill(peer.ID)
	}
	for _, peer := range s.members {
		s.startOn(peer.ID)
	}
	for _, peer := range s.members {
		s.waitUntilCurrent(peer.ID, last)
		s.mustApplyNew(peer.ID)
	}
}

// mustApplyNew sends further tickets through a replica until one is accepted.
func (s *diskSequence) mustApplyNew(id string) {
	s.t.Helper()
	s.waitFor("ticket accepted by "+id, func() error {
		if reply := s.apply(id, s.number.Add(1)); reply.Result.Code != controlrpc.CodeOK {
			return fmt.Errorf("%+v", reply.Result)
		}
		return nil
	})
}

// inOrder returns the replicas in an order in which 0 is the leader, and 1 and 2 are the others.
func (s *diskSequence) inOrder(order [3]int) []string {
	leader := s.leader()
	roles := []string{leader, s.other(leader), s.other(leader, s.other(leader))}
	return []string{roles[order[0]], roles[order[1]], roles[order[2]]}
}

var diskOrders = [][3]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {2, 0, 1}, {1, 2, 0}, {2, 1, 0}}

// TestGroupRecoversFromDisksFullInTurn guards against tickets that stay refused after the last disk has room.
//
// fault: full-disk x ticket
func TestGroupRecoversFromDisksFullInTurn(t *testing.T) {
	for _, small := range []bool{false, true} {
		for _, order := range diskOrders {
			t.Run(fmt.Sprintf("order %v, small segments %t", order, small), func(t *testing.T) {
				t.Parallel()
				s := newDiskSequence(t, small)
				for _, id := range s.inOrder(order) {
					s.fill(id)
				}
				s.checkRecovered()
			})
		}
	}
}

// TestLaggingReplicaInstallsSnapshotOnFullDisk guards against a replica that stops when it gets a snapshot.
//
// fault: full-disk x repair
func TestLaggingReplicaInstallsSnapshotOnFullDisk(t *testing.T) {
	for _, order := range diskOrders {
		t.Run(fmt.Sprintf("order %v", order), func(t *testing.T) {
			t.Parallel()
			s := newDiskSequence(t, true)
			for _, id := range s.inOrder(order) {
				s.kill(id)
				for range 3 * s.snapshotEntries {
					s.mustApplyNew(s.other(id))
				}
				s.disks[id].full.Store(true)
				s.startOn(id)
				s.fill(id)
			}
			s.checkRecovered()
		})
	}
}

// TestDiskFillsDuringElection guards against an election that never ends because votes are written late.
//
// fault: full-disk x restart
func TestDiskFillsDuringElection(t *testing.T) {
	for _, order := range diskOrders {
		t.Run(fmt.Sprintf("order %v", order), func(t *testing.T) {
			t.Parallel()
			s := newDiskSequence(t, true)
			for _, id := range s.inOrder(order) {
				leader := s.leader()
				s.disks[id].full.Store(true)
				s.network.isolate(s.peer(leader).Address)
				s.fill(id)
				s.network.heal(s.peer(leader).Address)
			}
			s.checkRecovered()
		})
	}
}

// TestReplacedReplicaJoinsOnFullDisk guards against a replica without its folder that can't start or join.
//
// fault: full-disk x repair
func TestReplacedReplicaJoinsOnFullDisk(t *testing.T) {
	for _, small := range []bool{false, true} {
		t.Run(fmt.Sprintf("small segments %t", small), func(t *testing.T) {
			t.Parallel()
			s := newDiskSequence(t, small)
			for range 12 {
				s.mustApplyNew("a")
			}
			leader := s.leader()
			lost := s.other(leader)
			s.loseDisk(lost)
			s.disks[lost].full.Store(true)
			time.AfterFunc(fullDiskTime, func() { s.disks[lost].full.Store(false) })
			s.startOn(lost)
			s.fill(lost)
			s.mustReplace(leader, lost, s.peer(lost))
			for _, id := range s.inOrder([3]int{1, 0, 2}) {
				s.fill(id)
			}
			s.checkRecovered()
		})
	}
}

// TestGroupWithSparesRecoversFromFullDisks guards against a quorum lost by replacing replicas with full disks.
//
// fault: full-disk x repair
func TestGroupWithSparesRecoversFromFullDisks(t *testing.T) {
	t.Parallel()
	const longerThanLost = 2 * time.Second // settings.Repair.LostAfter is 1.5 s
	s := newSeededGroup(t, "a", "b", "c")
	s.snapshotEntries, s.segmentBytes = 4, 200
	disks := map[string]*faultyFS{}
	launch := func(peer settings.Peer, first bool) {
		disks[peer.ID] = &faultyFS{FS: wal.OS()}
		s.launchWith(peer, first, Options{FS: disks[peer.ID], Fatal: func(err error) { t.Errorf("%s stopped by itself: %v", peer.ID, err) }})
	}
	for _, peer := range s.members {
		launch(peer, true)
	}
	s.replaceTable(s.nodes["a"], 1, "first")
	for _, id := range []string{"d", "e"} {
		launch(settings.Peer{ID: id, Address: reserveAddress(t), DataCentre: "dc-" + id}, false)
	}
	version := uint64(1)
	for _, id := range []string{"a", "d", "b", "e", "c", "a"} {
		disks[id].full.Store(true)
		for end := time.Now().Add(longerThanLost); time.Now().Before(end); {
			for _, node := range s.nodes {
				version++
				ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
				_ = node.ReplaceTable(ctx, controlrpc.Document{Version: version, Packed: []byte("further")})
				cancel()
			}
		}
		disks[id].full.Store(false)
	}
	for _, node := range s.nodes {
		version++
		s.replaceTable(node, version, "last")
		assert.Equal(t, s.readTable(node).Version, version)
	}
}

// TestStartOnFullDiskCanBeInterrupted guards against a process that can't be stopped while it waits for room.
//
// fault: full-disk x restart
func TestStartOnFullDiskCanBeInterrupted(t *testing.T) {
	g := newGroup(t, "a")
	disk := &faultyFS{FS: wal.OS()}
	disk.full.Store(true)
	interrupted := make(chan struct{})
	time.AfterFunc(2*fullDiskRetryInterval, func() { close(interrupted) })
	_, err := New(g.settings(g.peer("a")), zap.NewNop(), Options{FS: disk, Interrupted: interrupted})
	assert.ErrorIs(t, err, syscall.ENOSPC)
}
