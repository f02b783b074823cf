package experiment

import (
	"context"
	"errors"
	"sync"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/searcher"
	"wigeonbay/internal/testbed"
)

// Parameters of the faults.
const (
	// stragglerFactor is the slowdown of a straggler.
	stragglerFactor = 20
	// misreportingFactor is the slowdown of a searcher that reports no load.
	misreportingFactor = 5
	// thirdDivisor selects one third of a service's searchers.
	thirdDivisor = 3
	// rolloutInterval is the pause between two searchers in a rollout.
	rolloutInterval = 250 * time.Millisecond
	// warmupTime is the time until a searcher has warmed up a new version.
	warmupTime = 150 * time.Millisecond
	// newLayoutShards is the number of shards after a repartition.
	newLayoutShards = 6
)

// selectSearchers returns the searchers of every service for which selected
// returns true, given the searcher's index and the number of searchers in its
// service.
func selectSearchers(bed *testbed.Testbed, selected func(index, count int) bool) []*searcher.Searcher {
	var out []*searcher.Searcher
	for _, all := range bed.Searchers {
		for index, s := range all {
			if selected(index, len(all)) {
				out = append(out, s)
			}
		}
	}
	return out
}

// inFirstThird selects the first third of a service's searchers. In the default
// shape these hold one replica of each shard, since shards are assigned
// round-robin.
func inFirstThird(index, count int) bool {
	return index < count/thirdDivisor
}

func inSecondThird(index, count int) bool {
	return index >= count/thirdDivisor && index < 2*count/thirdDivisor
}

func isFirst(index, _ int) bool {
	return index == 0
}

func firstSlowdown(factor float64) func(int) float64 {
	return func(index int) float64 {
		if index == 0 {
			return factor
		}
		return 1
	}
}

// firstThirdSlowdown returns a slowdown of the first third of the searchers in
// the default shape.
func firstThirdSlowdown(factor float64) func(int) float64 {
	count := defaultShape("").Searchers
	return func(index int) float64 {
		if inFirstThird(index, count) {
			return factor
		}
		return 1
	}
}

func slowDownFirst(_ context.Context, bed *testbed.Testbed) error {
	for _, s := range selectSearchers(bed, isFirst) {
		s.SetStraggleFactor(stragglerFactor)
	}
	return nil
}

func crashFirstThird(ctx context.Context, bed *testbed.Testbed) error {
	sleep(ctx, faultDelay)
	for _, s := range selectSearchers(bed, inFirstThird) {
		s.Kill()
	}
	return nil
}

func crashFirst(ctx context.Context, bed *testbed.Testbed) error {
	sleep(ctx, faultDelay)
	for _, s := range selectSearchers(bed, isFirst) {
		s.Kill()
	}
	return nil
}

func silenceFirstThird(ctx context.Context, bed *testbed.Testbed) error {
	sleep(ctx, faultDelay)
	for _, s := range selectSearchers(bed, inFirstThird) {
		s.SilenceConnections()
	}
	return nil
}

func drainFirstThird(ctx context.Context, bed *testbed.Testbed) error {
	sleep(ctx, faultDelay)
	leaving := selectSearchers(bed, inFirstThird)
	errs := make([]error, len(leaving))
	var wg sync.WaitGroup
	for i, s := range leaving {
		wg.Go(func() { errs[i] = s.DrainAndStop(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

func misreportLoad(_ context.Context, bed *testbed.Testbed) error {
	for _, s := range selectSearchers(bed, inFirstThird) {
		s.SetStraggleFactor(misreportingFactor)
		s.SetLoadMode(searcher.LoadIdle)
	}
	for _, s := range selectSearchers(bed, inSecondThird) {
		s.SetLoadMode(searcher.LoadBusy)
	}
	return nil
}

// rollOutVersion adds version 2 to the searchers one by one and warms it up,
// then removes version 1 from them in a second pass.
func rollOutVersion(ctx context.Context, bed *testbed.Testbed) error {
	all := bed.AllSearchers()
	for _, s := range all {
		next := s.Holdings()[0]
		next.Snapshot.Version = 2
		next.Warm = false
		s.AddHolding(next)
		time.AfterFunc(warmupTime, func() { s.Warm(next.Snapshot) })
		sleep(ctx, rolloutInterval)
	}
	for _, s := range all {
		s.RemoveHolding(api.Snapshot{Layout: 1, Version: 1})
		sleep(ctx, rolloutInterval)
	}
	return nil
}

// repartition adds a layout with newLayoutShards shards to the searchers one by
// one, which keep the old layout, then removes the old layout in a second pass.
func repartition(ctx context.Context, bed *testbed.Testbed) error {
	all := bed.AllSearchers()
	for index, s := range all {
		s.AddHolding(api.Holding{
			Snapshot:     api.Snapshot{Layout: 2, Version: 1},
			LayoutShards: newLayoutShards,
			Shards:       []api.ShardID{api.ShardID(index % newLayoutShards)},
			Warm:         true,
		})
		sleep(ctx, rolloutInterval)
	}
	for _, s := range all {
		s.RemoveHolding(api.Snapshot{Layout: 1, Version: 1})
		sleep(ctx, rolloutInterval)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
