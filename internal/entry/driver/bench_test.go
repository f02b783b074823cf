package driver

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry"
	"wigeonbay/internal/settings"
)

// BenchmarkQuery measures one search over loopback, with one target and one hit
// per shard. It reports the CPU time of the whole process, targets and caller
// included, per request to a target: an upper bound for the CPU time of the
// entry node alone.
func BenchmarkQuery(b *testing.B) {
	for _, targets := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			n := startBenchNode(b, targets)
			handler := n.callersHandler()
			before := cpuTime(b)
			for b.Loop() {
				req := httptest.NewRequest(http.MethodPost, "/v1/services/lots/search", strings.NewReader(`{"query":"x"}`))
				rec := httptest.NewRecorder()
				handler.ServeHTTP(rec, req)
				if rec.Code != http.StatusOK {
					b.Fatalf("%d: %s", rec.Code, rec.Body)
				}
			}
			requests := float64(b.N * targets)
			b.ReportMetric(float64(cpuTime(b)-before)/1e3/requests, "cpu-us/request")
		})
	}
}

// BenchmarkConnections measures the heap and stack memory in use per open
// connection to a target. It includes both ends of the connection and the
// target's server.
func BenchmarkConnections(b *testing.B) {
	const connections = 500
	for b.Loop() {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		n := startBareBenchNode(b)
		before := memoryInUse()
		n.pool.Configure("a", server.Listener.Addr().String(), connections, connections)
		for n.pool.OpenConnections("a") < connections {
			runtime.Gosched()
		}
		n.pool.Check("a")
		b.ReportMetric(float64(memoryInUse()-before)/connections, "heap-B/connection")
		assert.NilError(b, n.Stop(context.Background()))
		server.Close()
	}
}

func startBenchNode(b *testing.B, targets int) *Node {
	n := startBareBenchNode(b)
	b.Cleanup(func() { assert.Check(b, n.Stop(context.Background())) })
	n.InstallConfig(api.Configuration{Version: 1, Services: map[string]api.Service{
		"lots": {Name: "lots", Prefer: api.PreferDeadline, DeadlineMS: 10_000},
	}})
	for i := range targets {
		server := httptest.NewServer(http.HandlerFunc(serveShardRequest))
		b.Cleanup(server.Close)
		n.step(entry.TargetChanged{Announcement: api.Announcement{
			Target: api.TargetID(fmt.Sprint(i)), Incarnation: 1, Sequence: 1, Service: "lots", DataCentre: "oeste",
			Address: server.Listener.Addr().String(), State: api.TargetReady, Slots: 8, Connections: 30, LeaseMS: 60_000,
			Holdings: []api.Holding{{
				Snapshot: api.Snapshot{Layout: 1, Version: 1}, LayoutShards: targets,
				Shards: []api.ShardID{api.ShardID(i)}, Warm: true,
			}},
		}})
	}
	return n
}

func startBareBenchNode(b *testing.B) *Node {
	config := settings.DefaultEntry()
	config.Node = settings.Node{ID: "e1", DataCentre: "oeste"}
	config.Listen = settings.EntryListen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	config.Limits.DrainTime = time.Millisecond
	n, err := New(config, zap.NewNop())
	assert.NilError(b, err)
	assert.NilError(b, n.Start(b.Context()))
	return n
}

func serveShardRequest(w http.ResponseWriter, r *http.Request) {
	var request api.ShardRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		return // a ping
	}
	_ = json.NewEncoder(w).Encode(api.ShardReply{
		RequestID: request.RequestID, Attempt: request.Attempt, Snapshot: request.Snapshot,
		Shards: request.Shards, Totals: []int{1},
		Hits: []api.Hit{{Shard: request.Shards[0], ID: "flitch-00348", Score: 0.5, Text: "imbuia crown 2400mm"}},
	})
}

func cpuTime(b *testing.B) int64 {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return usage.Utime.Nano() + usage.Stime.Nano()
}

func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
