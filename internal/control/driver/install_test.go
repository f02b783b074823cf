package driver

import (
	"bytes"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"wigeonbay/internal/control/ledger"
	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/control/wal"
	"wigeonbay/internal/controlrpc"
)

func TestSnapshotAssembly(t *testing.T) {
	b1, b2 := replica.Identity{ID: "b", Incarnation: "b1"}, replica.Identity{ID: "b", Incarnation: "b2"}
	type chunk struct {
		from   replica.Identity
		index  uint64
		offset int
		data   string
		held   int
		whole  string
	}
	cases := []struct {
		name   string
		chunks []chunk
	}{
		{"in order", []chunk{{b1, 5, 0, "ab", 2, ""}, {b1, 5, 2, "cd", 4, ""}, {b1, 5, 4, "ef", 6, "abcdef"}}},
		{"repeated chunk", []chunk{{b1, 5, 0, "ab", 2, ""}, {b1, 5, 2, "cd", 4, ""}, {b1, 5, 2, "cd", 4, ""}, {b1, 5, 4, "ef", 6, "abcdef"}}},
		{"lost chunk", []chunk{{b1, 5, 0, "ab", 2, ""}, {b1, 5, 4, "ef", 2, ""}}},
		{"restarted with a newer snapshot", []chunk{{b1, 5, 0, "ab", 2, ""}, {b1, 6, 0, "ghijkl", 6, "ghijkl"}}},
		{"chunks of two snapshots", []chunk{{b1, 5, 0, "ab", 2, ""}, {b1, 6, 2, "cdef", 2, ""}}},
		{"chunks of two senders", []chunk{{b1, 5, 0, "ab", 2, ""}, {b2, 5, 2, "cdef", 2, ""}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var a snapshotAssembly
			for _, p := range c.chunks {
				args := &InstallArgs{Size: 6, Offset: p.offset, Data: []byte(p.data)}
				held, whole, done := a.add(p.from, replica.SnapshotMeta{Index: p.index}, args)
				assert.Equal(t, held, p.held)
				assert.Equal(t, string(whole), p.whole)
				assert.Equal(t, done, p.whole != "")
			}
		})
	}
}

func TestDeliverBatchIsBounded(t *testing.T) {
	queue := make(chan replica.Message, peerQueueSize)
	entries := []replica.Entry{{Data: bytes.Repeat([]byte("x"), 1<<20)}}
	for range 20 {
		queue <- replica.Message{Body: replica.AppendRequest{Entries: entries}}
	}
	batch := collectBatch(<-queue, queue)
	assert.Equal(t, len(batch), maxBatchBytes>>20)
}

// TestLargeSnapshotIsSentInChunks replaces a replica that lost its disk when
// the state is larger than one chunk.
func TestLargeSnapshotIsSentInChunks(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.startAll()
	g.mustApply("a", 1)
	result := strings.Repeat("x", ledger.MaxOutcomeBytes)
	claims := 3*chunkBytes/len(result) + g.snapshotEntries
	now := time.Now().UnixMilli()
	var running errgroup.Group
	running.SetLimit(16)
	for i := range claims {
		running.Go(func() error {
			key := fmt.Sprintf("key-%d", i)
			// A claim with an unknown outcome is repeated, as an entry node
			// does.
			reply := g.claimAt("a", key, 1, now)
			for reply.Result.Code == controlrpc.CodeNoQuorum {
				reply = g.claimAt("a", key, 1, now)
			}
			if reply.Verdict != controlrpc.ClaimGranted {
				return fmt.Errorf("%s: %+v", key, reply)
			}
			args := &controlrpc.RecordArgs{
				Key: key, Claim: 1, State: controlrpc.ClaimRan, KeyTimeUnixMS: now,
				Outcome: controlrpc.Outcome{Status: 200, Result: result},
			}
			recorded := controlrpc.RecordReply{Result: controlrpc.Result{Code: controlrpc.CodeNoQuorum}}
			for recorded.Result.Code == controlrpc.CodeNoQuorum {
				recorded = controlrpc.RecordReply{}
				if err := g.call(g.peer("b").Address, controlrpc.MethodRecord, args, &recorded); err != nil {
					return err
				}
			}
			return nil
		})
	}
	assert.NilError(t, running.Wait())
	leader := g.leader()
	lost := g.other(leader)
	g.loseDisk(lost)
	g.start(g.peer(lost), Options{}, false)
	g.mustReplace(leader, lost, g.peer(lost))
	g.waitUntilCurrent(lost, 1)
	assert.Equal(t, g.status(lost).Claims, claims)
}

// blockingFS blocks the creation of snapshot files until release is closed.
type blockingFS struct {
	wal.FS
	release chan struct{}
	blocked atomic.Int32
}

func (f *blockingFS) Create(path string) (wal.File, error) {
	if strings.Contains(path, ".snap") {
		f.blocked.Add(1)
		<-f.release
	}
	return f.FS.Create(path)
}

func TestSnapshotDoesNotBlockCommits(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	files := &blockingFS{FS: wal.OS(), release: make(chan struct{})}
	for _, peer := range g.members {
		g.start(peer, Options{FS: files}, false)
	}
	number := uint64(1)
	for files.blocked.Load() < int32(len(g.members)) {
		g.mustApply("a", number)
		number++
	}
	for range g.snapshotEntries {
		assert.Equal(t, g.mustApply("b", number).Version, number)
		number++
	}
	close(files.release)
	g.waitFor("snapshots are stored", func() error {
		for id, node := range g.nodes {
			if node.applier.snapshotPending.Load() {
				return fmt.Errorf("%s is still storing its snapshot", id)
			}
		}
		return nil
	})
}
