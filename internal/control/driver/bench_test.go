package driver

import (
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/control/machine"
	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/control/wal"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/settings"
)

// BenchmarkCommit commits tickets through the leader of three replicas on
// loopback, each with its own data folder on disk, for several numbers of
// callers and limits of the group commit.
func BenchmarkCommit(b *testing.B) {
	for _, callers := range []int{1, 64} {
		for _, size := range []int{1, 8, 64, 256} {
			b.Run(fmt.Sprintf("callers=%d/groupcommit=%d", callers, size), func(b *testing.B) {
				benchmarkCommit(b, callers, size)
			})
		}
	}
}

func benchmarkCommit(b *testing.B, callers, size int) {
	g := newGroup(b, "a", "b", "c")
	g.snapshotEntries = settings.DefaultControl().Storage.SnapshotEntries
	for _, peer := range g.members {
		g.start(peer, Options{GroupCommit: size}, false)
	}
	g.mustApply("a", 1)
	measureCommits(b, g, callers)
}

// measureCommits sends b.N tickets to the leader from concurrent callers.
func measureCommits(b *testing.B, g *group, callers int) {
	leader := g.peer(g.leader())
	latencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var mu sync.Mutex
	var number atomic.Uint64
	var failed atomic.Int64
	number.Store(1)
	node := g.nodes[leader.ID]
	before := node.Counters()
	b.ResetTimer()
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for {
				n := number.Add(1)
				if n > uint64(b.N)+1 {
					return
				}
				begin := time.Now()
				if !g.commitOne(leader.Address, n) {
					failed.Add(1)
				}
				mu.Lock()
				_ = latencies.RecordValue(time.Since(begin).Microseconds())
				mu.Unlock()
			}
		})
	}
	running.Wait()
	b.StopTimer()
	after := node.Counters()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tickets/s")
	b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(b.N)/float64(after.Syncs-before.Syncs+1), "tickets/sync")
	b.ReportMetric(float64(failed.Load()), "failed")
}

// commitOne commits a ticket for one of 100 services in turn, so that tickets
// of concurrent callers are not rejected as stale.
func (g *group) commitOne(address string, number uint64) bool {
	args := &controlrpc.ApplyArgs{Ticket: api.Ticket{Number: number, Operator: "ana", Services: []api.Service{
		{Name: fmt.Sprintf("s%d", number%100), Prefer: api.PreferDeadline, LeastCoverage: 0.5, DeadlineMS: 100}}}}
	var reply controlrpc.ApplyReply
	err := g.call(address, controlrpc.MethodApply, args, &reply)
	return err == nil && reply.Result.Code == controlrpc.CodeOK && reply.Reply.Outcome == api.TicketAccepted
}

// BenchmarkRecovery opens a data folder with the given number of entries and
// restores the state machine.
func BenchmarkRecovery(b *testing.B) {
	for _, entries := range []int{1_000, 10_000, 40_000} {
		for _, snapshots := range []bool{false, true} {
			b.Run(fmt.Sprintf("entries=%d/snapshots=%v", entries, snapshots), func(b *testing.B) {
				benchmarkRecovery(b, entries, snapshots)
			})
		}
	}
}

func benchmarkRecovery(b *testing.B, entries int, snapshots bool) {
	o := wal.Options{
		FS: wal.OS(), Folder: filepath.Join(b.TempDir(), "data"), Group: "g", Replica: "a",
		NewIncarnation: func() string { return "i" }, SegmentBytes: 16 << 20,
	}
	writeLog(b, o, entries, snapshots)
	b.ResetTimer()
	for range b.N {
		log, found, err := wal.Open(o)
		assert.NilError(b, err)
		m := machine.New(time.Hour)
		if found.Snapshot.Meta.Index > 0 {
			assert.NilError(b, m.Restore(found.Snapshot.Data))
		}
		applyAll(b, m, found.Entries)
		assert.Equal(b, m.Applied(), uint64(entries))
		assert.NilError(b, log.Close())
	}
	b.ReportMetric(b.Elapsed().Seconds()*1000/float64(b.N), "ms/start")
}

func applyAll(b *testing.B, m *machine.Machine, entries []replica.Entry) {
	for _, entry := range entries {
		command, err := machine.Decode(entry.Data)
		assert.NilError(b, err)
		m.Apply(entry.Index, command)
	}
}

// writeLog writes tickets in batches. If snapshots is set, it stores a snapshot
// every 4,096 entries, as a replica with the default settings does.
func writeLog(b *testing.B, o wal.Options, entries int, snapshots bool) {
	const batch, interval = 128, 4096
	log, _, err := wal.Open(o)
	assert.NilError(b, err)
	m := machine.New(time.Hour)
	for first := 1; first <= entries; first += batch {
		var list []replica.Entry
		for i := first; i < min(first+batch, entries+1); i++ {
			data, err := machine.Encode(ticketCommand(uint64(i)))
			assert.NilError(b, err)
			list = append(list, replica.Entry{Index: uint64(i), Term: 1, Kind: replica.EntryCommand, Data: data})
		}
		assert.NilError(b, log.Write([]replica.Persist{{Entries: list}}))
		applyAll(b, m, list)
		last := list[len(list)-1].Index
		if snapshots && last%interval == 0 {
			data, err := m.Snapshot()
			assert.NilError(b, err)
			meta := replica.SnapshotMeta{Index: last, Term: 1}
			assert.NilError(b, log.StoreSnapshot(replica.Snapshot{Meta: meta, Data: data}))
			assert.NilError(b, log.Retire(last))
		}
	}
	assert.NilError(b, log.Close())
}

func ticketCommand(number uint64) machine.Command {
	ticket := api.Ticket{Number: number, Operator: "ana", Services: []api.Service{
		{Name: fmt.Sprintf("s%d", number%1000), Prefer: api.PreferDeadline, LeastCoverage: 0.5, DeadlineMS: 100}}}
	return machine.Command{Kind: machine.KindTicket, NowUnixMS: int64(number), Ticket: &ticket}
}

// BenchmarkLeaderLoss reports the time from stopping or killing the leader
// until a ticket is committed through a follower.
func BenchmarkLeaderLoss(b *testing.B) {
	shutdowns := []struct {
		name string
		end  func(*group, string)
	}{{"stopped", (*group).stop}, {"killed", (*group).kill}}
	for _, shutdown := range shutdowns {
		b.Run(shutdown.name, func(b *testing.B) {
			g := newGroup(b, "a", "b", "c")
			g.startAll()
			number := uint64(1)
			g.mustApply("a", number)
			var total time.Duration
			for range b.N {
				leader := g.leader()
				through := g.other(leader)
				g.waitUntilCurrent(through, number)
				number++
				follower := g.nodes[through]
				ended := make(chan struct{})
				go func() {
					shutdown.end(g, leader)
					close(ended)
				}()
				begin := time.Now()
				for follower.view.Load().leader.ID == leader {
					time.Sleep(time.Millisecond)
				}
				g.mustApply(through, number)
				total += time.Since(begin)
				<-ended
				g.start(g.peer(leader), Options{}, false)
				g.waitUntilCurrent(leader, number)
			}
			b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms/handover")
		})
	}
}
