package experiment

import (
	"testing"
	"time"

	"wigeonbay/internal/load"
	"wigeonbay/internal/testbed"

	"gotest.tools/v3/assert"
)

const medianServiceTime = 10 * time.Millisecond

// fixedTimeShape returns a shape with a constant service time, so that the tests
// can predict latencies.
func fixedTimeShape(searchers, shardsPerSearcher, slots int) testbed.ServiceShape {
	shape := defaultShape("exact")
	shape.Shards, shape.Searchers, shape.ShardsPerSearcher, shape.Slots = 2, searchers, shardsPerSearcher, slots
	shape.ServiceTime, shape.Spread = medianServiceTime, 0
	return shape
}

func TestFloorPlacesShardSearches(t *testing.T) {
	arrivalsAt := func(times ...time.Duration) []load.Arrival {
		var out []load.Arrival
		for _, d := range times {
			out = append(out, load.Arrival{At: d})
		}
		return out
	}
	tests := []struct {
		name     string
		shape    testbed.ServiceShape
		slowdown func(int) float64
		arrivals []load.Arrival
		// maxLatency is the expected maximum latency, refused the expected number
		// of refusals.
		maxLatency time.Duration
		refused    int64
	}{
		{"free slot for each shard", fixedTimeShape(2, 1, 1), nil, arrivalsAt(0), medianServiceTime, 0},
		{"wait for a slot", fixedTimeShape(2, 1, 1), nil, arrivalsAt(0, 0), 2 * medianServiceTime, 0},
		{"use the other replica", fixedTimeShape(4, 1, 1), nil, arrivalsAt(0, 0), medianServiceTime, 0},
		{"avoid the straggler", fixedTimeShape(4, 1, 1), firstSlowdown(20), arrivalsAt(0), medianServiceTime, 0},
		{"wait instead of using the straggler", fixedTimeShape(4, 1, 1), firstSlowdown(20), arrivalsAt(0, 0), 2 * medianServiceTime, 0},
		{"one searcher holds both shards", fixedTimeShape(1, 2, 1), nil, arrivalsAt(0), 2 * medianServiceTime, 0},
		{"refuse a search past its deadline", fixedTimeShape(2, 1, 1), nil, arrivalsAt(0, 0, 0, 0, 0, 0), 5 * medianServiceTime, 1},
		{"refused search occupies no slot", fixedTimeShape(2, 1, 1), nil, arrivalsAt(0, 0, 0, 0, 0, 0, medianServiceTime), 5 * medianServiceTime, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := Experiment{Deadline: 5 * medianServiceTime}
			s := newSimulation(e, test.shape, Phase{Slowdown: test.slowdown}, 1)
			tally := s.run(test.arrivals, time.Second)
			assert.Equal(t, int64(tally.Refused), test.refused)
			assert.Equal(t, tally.Whole+tally.Refused, len(test.arrivals))
			maxLatency := time.Duration(tally.Latency.Max()) * time.Microsecond
			assert.Assert(t, maxLatency >= test.maxLatency && maxLatency < test.maxLatency+test.maxLatency/100, "maximum latency is %v", maxLatency)
		})
	}
}

func TestCapacityIsInWholeSearches(t *testing.T) {
	// 4 searchers of 1 slot run 400 shard searches a second: 200 of 2 shards.
	assert.Equal(t, fixedTimeShape(4, 1, 1).Capacity(), 200.0)
}

func TestExperimentsHaveUniqueNamesAndExpectedReplicas(t *testing.T) {
	names := map[string]bool{}
	for _, e := range All() {
		assert.Assert(t, !names[e.Name], "two experiments are named %q", e.Name)
		names[e.Name] = true
		for _, shape := range e.Services {
			replicas := make([]int, shape.Shards)
			for searcherIndex := range shape.Searchers {
				for _, shard := range shape.ShardsOf(searcherIndex) {
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
