package experiment

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"wigeonbay/internal/load"
	"wigeonbay/internal/testbed"
)

// floorPolicy is the name of the floor among the policies.
const floorPolicy = "floor"

// simulation computes the floor: a choice that knows when each slot gets free,
// how slow each searcher is and how long each request will take, and costs no
// time itself. It places each shard search, in the order of arrival, on the
// slot that ends it first, and refuses a search that can't be whole by its
// deadline without any work done. It neither hedges nor looks ahead at later
// arrivals.
type simulation struct {
	shape    testbed.ServiceShape
	deadline time.Duration
	extra    time.Duration
	slow     func(number int) float64
	random   *rand.Rand
	// free holds, for each slot of each searcher, when it gets free.
	free [][]time.Duration
}

// placement is a slot chosen for a shard search.
type placement struct {
	searcher, slot int
	end            time.Duration
}

func newSimulation(e Experiment, shape testbed.ServiceShape, part Part, seed uint64) *simulation {
	s := &simulation{
		shape:    shape,
		deadline: e.Deadline,
		extra:    e.extra() + 2*shape.NetworkDelay,
		slow:     part.Slow,
		random:   rand.New(rand.NewPCG(seed, uint64(shape.Shards))),
		free:     make([][]time.Duration, shape.Searchers),
	}
	for i := range s.free {
		s.free[i] = make([]time.Duration, shape.Slots)
	}
	return s
}

// run returns what became of a schedule.
func (s *simulation) run(schedule []load.Arrival, length time.Duration) *load.Tally {
	tally := load.NewTally()
	for _, arrival := range schedule {
		tally.Searches++
		end := s.search(arrival.At)
		if end-arrival.At > s.deadline-s.extra {
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
		_ = tally.Latency.RecordValue((end - arrival.At + s.extra).Microseconds())
	}
	return tally
}

// search places all shard searches of a query that arrives at a time, and
// returns when the last of them ends. It takes no slot when that is too late.
func (s *simulation) search(at time.Duration) time.Duration {
	var taken []placement
	end := at
	for shard := range s.shape.Shards {
		p := s.place(shard, at)
		taken = append(taken, p)
		end = max(end, p.end)
		s.free[p.searcher][p.slot], p.end = p.end, s.free[p.searcher][p.slot]
		taken[shard].end = p.end
	}
	if end-at > s.deadline-s.extra {
		s.undo(taken)
	}
	return end
}

// undo gives slots back; each placement then holds the time before it.
func (s *simulation) undo(taken []placement) {
	for i := len(taken) - 1; i >= 0; i-- {
		s.free[taken[i].searcher][taken[i].slot] = taken[i].end
	}
}

// place finds the slot that ends a shard search first.
func (s *simulation) place(shard int, at time.Duration) placement {
	work := float64(s.shape.ServiceTime) * math.Exp(s.shape.Spread*s.random.NormFloat64())
	best := placement{end: math.MaxInt64}
	for number := range s.shape.Searchers {
		if !s.holds(number, shard) {
			continue
		}
		for slot, free := range s.free[number] {
			end := max(at, free) + time.Duration(work*s.slowness(number))
			if cmp.Less(end, best.end) {
				best = placement{number, slot, end}
			}
		}
	}
	return best
}

func (s *simulation) holds(number, shard int) bool {
	offset := (shard - number%s.shape.Shards + s.shape.Shards) % s.shape.Shards
	return offset < s.shape.ShardsPerSearcher
}

func (s *simulation) slowness(number int) float64 {
	if s.slow == nil {
		return 1
	}
	return s.slow(number)
}
