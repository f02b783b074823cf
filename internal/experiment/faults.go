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

// Sizes and times of the faults.
const (
	// stragglerFactor is how many times slower a straggler runs.
	stragglerFactor = 20
	// liarFactor is how many times slower a searcher runs that lies.
	liarFactor = 5
	// third is how many searchers there are to one that is hit.
	third = 3
	// rollPause passes between two searchers that change their version.
	rollPause = 250 * time.Millisecond
	// warmTime is how long a new version takes to be warm.
	warmTime = 150 * time.Millisecond
	// newLayoutShards is the number of shards after a repartition.
	newLayoutShards = 6
)

// each returns the searchers of every service that are chosen by their number
// within it.
func each(bed *testbed.Testbed, chosen func(number, count int) bool) []*searcher.Searcher {
	var out []*searcher.Searcher
	for _, all := range bed.Searchers {
		for number, s := range all {
			if chosen(number, len(all)) {
				out = append(out, s)
			}
		}
	}
	return out
}

// firstThird chooses the first third of a service's searchers: as shards are
// laid out in turn, that is one replica of each shard.
func firstThird(number, count int) bool {
	return number < count/third
}

func secondThird(number, count int) bool {
	return number >= count/third && number < 2*count/third
}

func first(number, _ int) bool {
	return number == 0
}

func slowFirst(factor float64) func(int) float64 {
	return func(number int) float64 {
		if number == 0 {
			return factor
		}
		return 1
	}
}

// slowThird slows the first third of the searchers of coreShape.
func slowThird(factor float64) func(int) float64 {
	count := coreShape("").Searchers
	return func(number int) float64 {
		if firstThird(number, count) {
			return factor
		}
		return 1
	}
}

func straggle(_ context.Context, bed *testbed.Testbed) error {
	for _, s := range each(bed, first) {
		s.SetStraggleFactor(stragglerFactor)
	}
	return nil
}

func loseThird(ctx context.Context, bed *testbed.Testbed) error {
	wait(ctx, settle)
	for _, s := range each(bed, firstThird) {
		s.Kill()
	}
	return nil
}

func loseFirst(ctx context.Context, bed *testbed.Testbed) error {
	wait(ctx, settle)
	for _, s := range each(bed, first) {
		s.Kill()
	}
	return nil
}

func silenceThird(ctx context.Context, bed *testbed.Testbed) error {
	wait(ctx, settle)
	for _, s := range each(bed, firstThird) {
		s.SilenceConnections()
	}
	return nil
}

func drainThird(ctx context.Context, bed *testbed.Testbed) error {
	wait(ctx, settle)
	leaving := each(bed, firstThird)
	errs := make([]error, len(leaving))
	var all sync.WaitGroup
	for i, s := range leaving {
		all.Go(func() { errs[i] = s.DrainAndStop(ctx) })
	}
	all.Wait()
	return errors.Join(errs...)
}

func lie(_ context.Context, bed *testbed.Testbed) error {
	for _, s := range each(bed, firstThird) {
		s.SetStraggleFactor(liarFactor)
		s.SetLoadMode(searcher.LoadIdle)
	}
	for _, s := range each(bed, secondThird) {
		s.SetLoadMode(searcher.LoadBusy)
	}
	return nil
}

// rollVersion brings version 2 to one searcher after the other, warms it, and
// takes version 1 from them in a second round.
func rollVersion(ctx context.Context, bed *testbed.Testbed) error {
	all := bed.AllSearchers()
	for _, s := range all {
		next := s.Holdings()[0]
		next.Snapshot.Version = 2
		next.Warm = false
		s.AddHolding(next)
		time.AfterFunc(warmTime, func() { s.Warm(next.Snapshot) })
		wait(ctx, rollPause)
	}
	for _, s := range all {
		s.RemoveHolding(api.Snapshot{Layout: 1, Version: 1})
		wait(ctx, rollPause)
	}
	return nil
}

// repartition brings a layout of other shards to one searcher after the other
// beside the old one, and takes the old one away in a second round.
func repartition(ctx context.Context, bed *testbed.Testbed) error {
	all := bed.AllSearchers()
	for number, s := range all {
		s.AddHolding(api.Holding{
			Snapshot:     api.Snapshot{Layout: 2, Version: 1},
			LayoutShards: newLayoutShards,
			Shards:       []api.ShardID{api.ShardID(number % newLayoutShards)},
			Warm:         true,
		})
		wait(ctx, rollPause)
	}
	for _, s := range all {
		s.RemoveHolding(api.Snapshot{Layout: 1, Version: 1})
		wait(ctx, rollPause)
	}
	return nil
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
