package experiment

import (
	"testing"
	"time"

	"wigeonbay/internal/load"
	"wigeonbay/internal/testbed"

	"gotest.tools/v3/assert"
)

const median = 10 * time.Millisecond

// exactShape has service times without spread, so that ends can be told.
func exactShape(searchers, holds, slots int) testbed.ServiceShape {
	shape := coreShape("exact")
	shape.Shards, shape.Searchers, shape.ShardsPerSearcher, shape.Slots = 2, searchers, holds, slots
	shape.ServiceTime, shape.Spread = median, 0
	return shape
}

func TestFloorPlacesShardSearches(t *testing.T) {
	at := func(times ...time.Duration) []load.Arrival {
		var out []load.Arrival
		for _, d := range times {
			out = append(out, load.Arrival{At: d})
		}
		return out
	}
	tests := []struct {
		name     string
		shape    testbed.ServiceShape
		slow     func(int) float64
		arrivals []load.Arrival
		// worst is the greatest latency and refused the number of refusals.
		worst   time.Duration
		refused int64
	}{
		{"a free slot each", exactShape(2, 1, 1), nil, at(0), median, 0},
		{"waits for a slot", exactShape(2, 1, 1), nil, at(0, 0), 2 * median, 0},
		{"takes the other replica", exactShape(4, 1, 1), nil, at(0, 0), median, 0},
		{"avoids the straggler", exactShape(4, 1, 1), slowFirst(20), at(0), median, 0},
		{"waits rather than take the straggler", exactShape(4, 1, 1), slowFirst(20), at(0, 0), 2 * median, 0},
		{"one searcher for two shards", exactShape(1, 2, 1), nil, at(0), 2 * median, 0},
		{"refuses what comes too late", exactShape(2, 1, 1), nil, at(0, 0, 0, 0, 0, 0), 5 * median, 1},
		{"work refused takes no slot", exactShape(2, 1, 1), nil, at(0, 0, 0, 0, 0, 0, median), 5 * median, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := Experiment{Deadline: 5 * median}
			s := newSimulation(e, test.shape, Part{Slow: test.slow}, 1)
			tally := s.run(test.arrivals, time.Second)
			assert.Equal(t, int64(tally.Refused), test.refused)
			assert.Equal(t, tally.Whole+tally.Refused, len(test.arrivals))
			worst := time.Duration(tally.Latency.Max()) * time.Microsecond
			assert.Assert(t, worst >= test.worst && worst < test.worst+test.worst/100, "worst is %v", worst)
		})
	}
}

func TestCapacityCountsWholeSearches(t *testing.T) {
	// 4 searchers of 1 slot run 400 shard searches a second: 200 of 2 shards.
	assert.Equal(t, exactShape(4, 1, 1).Capacity(), 200.0)
}

func TestEveryShardHasReplicasAndEveryExperimentItsName(t *testing.T) {
	names := map[string]bool{}
	for _, e := range All() {
		assert.Assert(t, !names[e.Name], "two experiments are named %q", e.Name)
		names[e.Name] = true
		for _, shape := range e.Services {
			replicas := make([]int, shape.Shards)
			for number := range shape.Searchers {
				for _, shard := range shape.ShardsOf(number) {
					replicas[shard]++
				}
			}
			for shard, n := range replicas {
				assert.Equal(t, n, shape.Searchers*shape.ShardsPerSearcher/shape.Shards, "%s: shard %d", e.Name, shard)
			}
		}
	}
	_, err := Find("no such thing")
	assert.ErrorContains(t, err, "no such thing")
}
