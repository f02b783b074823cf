package entry

import (
	"fmt"
	"testing"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/route"
)

// newBenchState returns a reducer with one service that has the given number of
// shards and three replicas of each shard. Each searcher holds one shard.
func newBenchState(shards int) *State {
	s := New(Options{DataCentre: "oeste", Policy: route.PolicyShipped})
	s.Reduce(startTime, ConfigInstalled{Config: api.Configuration{
		Version:  1,
		Services: map[string]api.Service{"lots": {Name: "lots", ExtraLoadPercent: 2, Prefer: api.PreferDeadline}},
	}})
	for i := range 3 * shards {
		s.Reduce(startTime, TargetChanged{Announcement: api.Announcement{
			Target: api.TargetID(fmt.Sprintf("t%05d", i)), Incarnation: 1, Sequence: 1, Service: "lots",
			DataCentre: "oeste", Address: "127.0.0.1:1", State: api.TargetReady, Slots: 3, Connections: 30,
			Holdings: []api.Holding{{
				Snapshot: snapshotV1, LayoutShards: shards, Shards: []api.ShardID{api.ShardID(i % shards)}, Warm: true,
			}},
		}})
	}
	return s
}

// BenchmarkSearch measures a search from its arrival to the last reply of its
// targets. It also reports the time per reply.
func BenchmarkSearch(b *testing.B) {
	for _, shards := range []int{1, 3, 30, 300, 1200} {
		b.Run(fmt.Sprintf("searchers=%d", shards), func(b *testing.B) {
			s := newBenchState(shards)
			now := startTime
			var query QueryID
			var sent []SendShards
			b.ReportAllocs()
			for b.Loop() {
				query++
				now = now.Add(time.Millisecond)
				sent = sent[:0]
				for _, e := range s.Reduce(now, SearchArrived{Query: query, Service: "lots", Deadline: now.Add(time.Second), Seed: uint64(query)}) {
					if e, ok := e.(SendShards); ok {
						sent = append(sent, e)
					}
				}
				now = now.Add(time.Millisecond)
				for _, e := range sent {
					s.Reduce(now, ShardsReplied{Attempt: e.Attempt, Snapshot: snapshotV1, Header: readyHeader})
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/reply")
		})
	}
}

// BenchmarkTick measures the periodic work on a node's targets.
func BenchmarkTick(b *testing.B) {
	s := newBenchState(300)
	b.ReportAllocs()
	for b.Loop() {
		s.Reduce(startTime, Tick{})
	}
}
