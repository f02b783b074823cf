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

// policies are the entry node policies to compare, in the order of the results.
var policies = []string{"shipped", "baseline"}

// distinctQueries is the number of different queries sent to each service.
const distinctQueries = 200

// Run runs an experiment with both policies at the same time and computes the
// floor for the same arrivals, except with EvenArrivals. Each policy has its own
// entry nodes and searchers.
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

// policyRun is the testbed of one policy in an experiment.
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
		// Anything that could not be stopped ends with the process.
		_ = r.bed.Stop()
	}
}

func measure(ctx context.Context, e Experiment, runs []policyRun, seed uint64) ([]Result, error) {
	before, err := measurePhase(ctx, e, runs, e.Before, seed)
	if err != nil {
		return nil, err
	}
	during, err := measurePhase(ctx, e, runs, e.During, seed+1)
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

// measurePhase runs one phase with all policies at the same time.
func measurePhase(ctx context.Context, e Experiment, runs []policyRun, phase Phase, seed uint64) ([]Result, error) {
	results := make([]Result, len(runs))
	errs := make([]error, len(runs))
	monitor := startTimerDelayMonitor()
	var wg sync.WaitGroup
	for i, r := range runs {
		wg.Go(func() { results[i], errs[i] = r.measure(ctx, e, phase, seed) })
	}
	wg.Wait()
	timerDelay := monitor.stop()
	for i := range results {
		results[i].TimerDelayP99MS = timerDelay
	}
	return results, errors.Join(errs...)
}

func (r policyRun) measure(ctx context.Context, e Experiment, phase Phase, seed uint64) (Result, error) {
	result := Result{Experiment: e.Name, Policy: r.policy, Load: phase.Load}
	if phase.Length == 0 {
		return result, nil
	}
	statsBefore := r.sumStats(e)
	var faultErr error
	var wg sync.WaitGroup
	if phase.Fault != nil {
		wg.Go(func() { faultErr = phase.Fault(ctx, r.bed) })
	}
	tally := r.sendLoad(ctx, e, phase, seed)
	wg.Wait()
	result.setTally(tally)
	result.setSearcherStats(statsBefore, r.sumStats(e), tally)
	result.GoodputFraction = goodputFraction(e, phase, tally)
	return result, errors.Join(faultErr, ctx.Err())
}

// sendLoad sends the load of a phase to all services and returns the tally of
// the measured ones.
func (r policyRun) sendLoad(ctx context.Context, e Experiment, phase Phase, seed uint64) *load.Tally {
	total := load.NewTally()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, shape := range e.Services {
		searches := r.searches(e, phase, i, shape, seed)
		wg.Go(func() {
			tally := searches.Run(ctx)
			if i >= e.MeasuredServices {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			total.Merge(tally)
		})
	}
	wg.Wait()
	return total
}

func (r policyRun) searches(e Experiment, phase Phase, serviceIndex int, shape testbed.ServiceShape, seed uint64) *load.SearchRun {
	return &load.SearchRun{
		Client:       r.bed.Client,
		Service:      shape.Service.Name,
		Catalogue:    shape.Catalogue,
		Schedule:     r.schedule(e, phase, serviceIndex, seed),
		Deadline:     e.Deadline,
		Name:         fmt.Sprintf("%s-%d-%d", r.policy, serviceIndex, seed),
		ExtraLatency: e.simulatedRTT(),
		Length:       phase.Length,
	}
}

// schedule returns the arrivals of one policy on one service. They are the same
// for every policy unless EvenArrivals is set: then they are evenly spaced and
// offset from those of the other policies.
func (r policyRun) schedule(e Experiment, phase Phase, serviceIndex int, seed uint64) []load.Arrival {
	arrivals := schedule(e, phase, serviceIndex, seed)
	if !e.EvenArrivals {
		return arrivals
	}
	gap := phase.Length / time.Duration(len(arrivals)+1)
	offset := gap * time.Duration(slices.Index(policies, r.policy)) / time.Duration(len(policies))
	for i := range arrivals {
		arrivals[i].At = gap*time.Duration(i) + offset
	}
	return arrivals
}

// schedule returns the random arrivals on one service. The same seed gives the
// same arrivals, for every policy and for the floor.
func schedule(e Experiment, phase Phase, serviceIndex int, seed uint64) []load.Arrival {
	shape := e.Services[serviceIndex]
	loadFraction := phase.Load
	if serviceIndex >= e.MeasuredServices {
		loadFraction = phase.OtherLoad
	}
	if loadFraction <= 0 {
		return nil
	}
	queries := shape.Catalogue.Queries(distinctQueries, seed)
	return load.Schedule(loadFraction*shape.Capacity(), phase.Length, queries, seed+uint64(serviceIndex)<<32)
}

// goodputFraction returns the number of complete answers that arrived within
// the phase, as a fraction of the capacity of the measured services' slots.
func goodputFraction(e Experiment, phase Phase, tally *load.Tally) float64 {
	capacity := 0.0
	for _, shape := range e.measuredServices() {
		capacity += shape.Capacity()
	}
	return float64(tally.WholeInTime) / (capacity * phase.Length.Seconds())
}

// sumStats returns the sum of the searchers' counters over the measured
// services.
func (r policyRun) sumStats(e Experiment) searcher.Stats {
	var sum searcher.Stats
	for _, shape := range e.measuredServices() {
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

// setSearcherStats sets the fields that come from the searchers' counters, as
// the difference between two readings.
func (r *Result) setSearcherStats(before, after searcher.Stats, tally *load.Tally) {
	r.LateWork = after.LongAfterDrain - before.LongAfterDrain
	r.RefusedConnections = after.RefusedConnections - before.RefusedConnections
	r.Shed = after.Shed - before.Shed
	r.Late = after.Late - before.Late
	r.Cancelled = after.Cancelled - before.Cancelled
	if tally.Shards > 0 {
		r.ExtraLoad = float64(after.Shards-before.Shards)/float64(tally.Shards) - 1
	}
}

// floorResult computes the floor for the arrivals of an experiment.
func floorResult(e Experiment, seed uint64) Result {
	result := Result{Experiment: e.Name, Policy: floorPolicy, Load: e.During.Load}
	during := simulateFloor(e, e.During, seed+1)
	result.setTally(during)
	result.GoodputFraction = goodputFraction(e, e.During, during)
	if e.Before.Length > 0 {
		result.BeforeP99MS = load.PercentileMS(simulateFloor(e, e.Before, seed).Latency, 99)
	}
	return result
}

func simulateFloor(e Experiment, phase Phase, seed uint64) *load.Tally {
	total := load.NewTally()
	for serviceIndex, shape := range e.measuredServices() {
		simulation := newSimulation(e, shape, phase, seed+uint64(serviceIndex))
		total.Merge(simulation.run(schedule(e, phase, serviceIndex, seed), phase.Length))
	}
	return total
}

// faultDelay is the time from the start of a phase until searchers are crashed,
// silenced or drained, so that requests are already in progress by then. The other
// faults begin with the phase.
const faultDelay = time.Second
