package experiment

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"wigeonbay/internal/load"
	"wigeonbay/internal/searcher"
	"wigeonbay/internal/testbed"
)

// policies are those of the entry nodes, in the order of the results.
var policies = []string{"shipped", "baseline"}

// distinctQueries is the number of different queries of a run.
const distinctQueries = 200

// Run runs an experiment with both policies at the same time, each on entry
// nodes and searchers of its own and both on the same arrivals, and computes
// the floor for these arrivals.
func Run(ctx context.Context, e Experiment, entry testbed.NewEntryFunc, seed uint64) ([]Result, error) {
	runs, err := start(ctx, e, entry, seed)
	if err != nil {
		return nil, err
	}
	defer stop(runs)
	results, err := measure(ctx, e, runs, seed)
	if err != nil {
		return nil, fmt.Errorf("experiment %s: %w", e.Name, err)
	}
	return append(results, floorResult(e, seed)), nil
}

// policyRun is one policy's side of an experiment.
type policyRun struct {
	policy string
	bed    *testbed.Testbed
}

func start(ctx context.Context, e Experiment, entry testbed.NewEntryFunc, seed uint64) ([]policyRun, error) {
	var runs []policyRun
	for _, policy := range policies {
		bed, err := testbed.Start(ctx, testbed.Options{
			Name: e.Name, Policy: policy, Entries: e.Entries, Services: e.Services, NewEntry: entry, Seed: seed,
		})
		if err != nil {
			stop(runs)
			return nil, fmt.Errorf("start %s with policy %s: %w", e.Name, policy, err)
		}
		runs = append(runs, policyRun{policy, bed})
	}
	return runs, nil
}

func stop(runs []policyRun) {
	for _, r := range runs {
		// What is left of a testbed ends with the process.
		_ = r.bed.Stop()
	}
}

func measure(ctx context.Context, e Experiment, runs []policyRun, seed uint64) ([]Result, error) {
	before, err := measurePart(ctx, e, runs, e.Before, seed)
	if err != nil {
		return nil, err
	}
	during, err := measurePart(ctx, e, runs, e.During, seed+1)
	if err != nil {
		return nil, err
	}
	for i := range during {
		if e.Before.Length > 0 {
			during[i].BeforeP99MS = before[i].P99MS
			during[i].Lost += before[i].Lost
			during[i].Mixed += before[i].Mixed
		}
	}
	return during, nil
}

// measurePart runs one part with all policies at once.
func measurePart(ctx context.Context, e Experiment, runs []policyRun, part Part, seed uint64) ([]Result, error) {
	results := make([]Result, len(runs))
	errs := make([]error, len(runs))
	delays := watchMachine()
	var wait sync.WaitGroup
	for i, r := range runs {
		wait.Go(func() { results[i], errs[i] = r.measure(ctx, e, part, seed) })
	}
	wait.Wait()
	delay := delays.stop()
	for i := range results {
		results[i].MachineDelayMS = delay
	}
	return results, errors.Join(errs...)
}

func (r policyRun) measure(ctx context.Context, e Experiment, part Part, seed uint64) (Result, error) {
	result := Result{Experiment: e.Name, Policy: r.policy, Load: part.Load}
	if part.Length == 0 {
		return result, nil
	}
	sum := r.sumStats(e)
	var fault error
	var wait sync.WaitGroup
	if part.Fault != nil {
		wait.Go(func() { fault = part.Fault(ctx, r.bed) })
	}
	tally := r.send(ctx, e, part, seed)
	wait.Wait()
	result.fill(tally)
	result.stats(sum, r.sumStats(e), tally)
	result.Useful = useful(e, part, tally)
	return result, errors.Join(fault, ctx.Err())
}

// send sends the load of a part to all services, and returns the tally of
// those that are measured.
func (r policyRun) send(ctx context.Context, e Experiment, part Part, seed uint64) *load.Tally {
	total := load.NewTally()
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i, shape := range e.Services {
		searches := r.searches(e, part, i, shape, seed)
		wait.Go(func() {
			tally := searches.Run(ctx)
			if i >= e.Measured {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			total.Merge(tally)
		})
	}
	wait.Wait()
	return total
}

func (r policyRun) searches(e Experiment, part Part, number int, shape testbed.ServiceShape, seed uint64) *load.SearchRun {
	return &load.SearchRun{
		Client:       r.bed.Client,
		Service:      shape.Service.Name,
		Catalogue:    shape.Catalogue,
		Schedule:     r.schedule(e, part, number, seed),
		Deadline:     e.Deadline,
		Name:         fmt.Sprintf("%s-%d-%d", r.policy, number, seed),
		ExtraLatency: e.extra(),
		Length:       part.Length,
	}
}

// schedule returns the policy's arrivals: those of every policy, or evenly
// spaced ones that lie between the other policy's.
func (r policyRun) schedule(e Experiment, part Part, number int, seed uint64) []load.Arrival {
	arrivals := schedule(e, part, number, seed)
	if !e.Even {
		return arrivals
	}
	gap := part.Length / time.Duration(len(arrivals)+1)
	offset := gap * time.Duration(slices.Index(policies, r.policy)) / time.Duration(len(policies))
	for i := range arrivals {
		arrivals[i].At = gap*time.Duration(i) + offset
	}
	return arrivals
}

// schedule returns the arrivals on one service; they are the same for every
// policy and for the floor.
func schedule(e Experiment, part Part, number int, seed uint64) []load.Arrival {
	shape := e.Services[number]
	share := part.Load
	if number >= e.Measured {
		share = part.Others
	}
	if share <= 0 {
		return nil
	}
	queries := shape.Catalogue.Queries(distinctQueries, seed)
	return load.Schedule(share*shape.Capacity(), part.Length, queries, seed+uint64(number)<<32)
}

// useful is the whole answers that ended in time as a share of what the slots
// of the measured services carry.
func useful(e Experiment, part Part, tally *load.Tally) float64 {
	capacity := 0.0
	for _, shape := range e.measured() {
		capacity += shape.Capacity()
	}
	return float64(tally.WholeInTime) / (capacity * part.Length.Seconds())
}

// sumStats adds up the counts of the searchers of the measured services.
func (r policyRun) sumStats(e Experiment) searcher.Stats {
	var sum searcher.Stats
	for _, shape := range e.measured() {
		for _, s := range r.bed.Searchers[shape.Service.Name] {
			stats := s.Stats()
			sum.Shards += stats.Shards
			sum.LongAfterDrain += stats.LongAfterDrain
			sum.RefusedConnections += stats.RefusedConnections
			sum.Shed += stats.Shed
			sum.Late += stats.Late
			sum.Cancelled += stats.Cancelled
		}
	}
	return sum
}

// stats fills in what the searchers have seen between two counts.
func (r *Result) stats(before, after searcher.Stats, tally *load.Tally) {
	r.LateWork = after.LongAfterDrain - before.LongAfterDrain
	r.RefusedConnections = after.RefusedConnections - before.RefusedConnections
	r.Shed = after.Shed - before.Shed
	r.Late = after.Late - before.Late
	r.Cancelled = after.Cancelled - before.Cancelled
	if tally.Shards > 0 {
		r.ExtraLoad = float64(after.Shards-before.Shards)/float64(tally.Shards) - 1
	}
}

// floorResult simulates the perfect choice on the same arrivals.
func floorResult(e Experiment, seed uint64) Result {
	result := Result{Experiment: e.Name, Policy: floorPolicy, Load: e.During.Load}
	during := simulate(e, e.During, seed+1)
	result.fill(during)
	result.Useful = useful(e, e.During, during)
	if e.Before.Length > 0 {
		result.BeforeP99MS = load.PercentileMS(simulate(e, e.Before, seed).Latency, 99)
	}
	return result
}

func simulate(e Experiment, part Part, seed uint64) *load.Tally {
	total := load.NewTally()
	for number, shape := range e.measured() {
		simulation := newSimulation(e, shape, part, seed+uint64(number))
		total.Merge(simulation.run(schedule(e, part, number, seed), part.Length))
	}
	return total
}

// settle is the time between the start of a part and its fault, so that the
// fault meets a running load.
const settle = time.Second
