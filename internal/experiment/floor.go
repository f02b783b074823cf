package experiment

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"wigeonbay/internal/load"
	"wigeonbay/internal/testbed"
)

// floorPolicy is the policy name in the results of the floor.
const floorPolicy = "floor"

// simulation computes the floor: a scheduler that knows when each slot becomes
// free, the slowdown of each searcher and the service time of each request, and
// that takes no time itself. It places each shard search, in order of arrival,
// on the slot that completes it first. It refuses a search that can't be
// complete by its deadline before any work is done for it. It doesn't hedge or
// use knowledge of later arrivals.
type simulation struct {
	shape        testbed.ServiceShape
	deadline     time.Duration
	simulatedRTT time.Duration
	slowdown     func(searcherIndex int) float64
	rng          *rand.Rand
	// freeAt holds the time at which each slot of each searcher becomes free.
	freeAt [][]time.Duration
}

// placement is the slot assigned to a shard search and the end of the search.
type placement struct {
	searcher, slot int
	end            time.Duration
}

func newSimulation(e Experiment, shape testbed.ServiceShape, phase Phase, seed uint64) *simulation {
	s := &simulation{
		shape:        shape,
		deadline:     e.Deadline,
		simulatedRTT: e.simulatedRTT() + 2*shape.NetworkDelay,
		slowdown:     phase.Slowdown,
		rng:          rand.New(rand.NewPCG(seed, uint64(shape.Shards))),
		freeAt:       make([][]time.Duration, shape.Searchers),
	}
	for i := range s.freeAt {
		s.freeAt[i] = make([]time.Duration, shape.Slots)
	}
	return s
}

// run simulates a schedule and returns the tally of its searches.
func (s *simulation) run(schedule []load.Arrival, length time.Duration) *load.Tally {
	tally := load.NewTally()
	for _, arrival := range schedule {
		tally.Searches++
		end := s.placeSearch(arrival.At)
		if end-arrival.At > s.deadline-s.simulatedRTT {
			tally.Refused++
			_ = tally.RefusalLatency.RecordValue(0)
			continue
		}
		tally.Whole++
		tally.Shards += s.shape.Shards
		tally.Answered += s.shape.Shards
		if end <= length {
			tally.WholeInTime++
		}
		_ = tally.Latency.RecordValue((end - arrival.At + s.simulatedRTT).Microseconds())
	}
	return tally
}

// placeSearch places all shard searches of a query that arrives at the given
// time and returns the end of the last one. If that is past the deadline, no
// slot is occupied.
func (s *simulation) placeSearch(at time.Duration) time.Duration {
	var placements []placement
	end := at
	for shard := range s.shape.Shards {
		p := s.placeShardSearch(shard, at)
		placements = append(placements, p)
		end = max(end, p.end)
		s.freeAt[p.searcher][p.slot], p.end = p.end, s.freeAt[p.searcher][p.slot]
		placements[shard].end = p.end
	}
	if end-at > s.deadline-s.simulatedRTT {
		s.restoreSlots(placements)
	}
	return end
}

// restoreSlots undoes placements, whose end field holds the previous free time
// of their slot.
func (s *simulation) restoreSlots(placements []placement) {
	for i := len(placements) - 1; i >= 0; i-- {
		s.freeAt[placements[i].searcher][placements[i].slot] = placements[i].end
	}
}

// placeShardSearch returns the slot that completes a shard search first.
func (s *simulation) placeShardSearch(shard int, at time.Duration) placement {
	serviceTime := float64(s.shape.ServiceTime) * math.Exp(s.shape.Spread*s.rng.NormFloat64())
	best := placement{end: math.MaxInt64}
	for searcherIndex := range s.shape.Searchers {
		if !s.holds(searcherIndex, shard) {
			continue
		}
		for slot, freeAt := range s.freeAt[searcherIndex] {
			end := max(at, freeAt) + time.Duration(serviceTime*s.searcherSlowdown(searcherIndex))
			if cmp.Less(end, best.end) {
				best = placement{searcherIndex, slot, end}
			}
		}
	}
	return best
}

func (s *simulation) holds(searcherIndex, shard int) bool {
	offset := (shard - searcherIndex%s.shape.Shards + s.shape.Shards) % s.shape.Shards
	return offset < s.shape.ShardsPerSearcher
}

func (s *simulation) searcherSlowdown(searcherIndex int) float64 {
	if s.slowdown == nil {
		return 1
	}
	return s.slowdown(searcherIndex)
}
