package searcher

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxColdFactor is the factor by which a request is slower at the beginning of a
// cold start, and on a snapshot that is not warm.
const maxColdFactor = 4.0

// serviceTimes draws log-normal service times around a median.
type serviceTimes struct {
	median    time.Duration
	spread    float64
	coldStart time.Duration

	mu             sync.Mutex
	rng            *rand.Rand
	straggleFactor float64
	started        time.Time
}

func newServiceTimes(cfg Config) *serviceTimes {
	return &serviceTimes{
		median:         cfg.ServiceTime,
		spread:         cfg.Spread,
		coldStart:      cfg.ColdStart,
		rng:            rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(string(cfg.Name)))),
		straggleFactor: 1,
	}
}

// MeanServiceTime returns the mean of log-normal service times with the given
// median and spread, the standard deviation of their logarithm.
func MeanServiceTime(median time.Duration, spread float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(spread*spread/2))
}

// draw returns a random service time for one shard of a request that begins at
// now. If the searcher is in a cold start and the snapshot isn't warm, only the
// larger slowdown applies.
func (t *serviceTimes) draw(now time.Time, warm bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	factor := math.Exp(t.spread*t.rng.NormFloat64()) * t.straggleFactor
	factor *= max(t.coldStartFactor(now), snapshotFactor(warm))
	return time.Duration(float64(t.median) * factor)
}

// coldStartFactor decreases linearly from maxColdFactor to 1 over the cold start.
func (t *serviceTimes) coldStartFactor(now time.Time) float64 {
	age := now.Sub(t.started)
	if t.coldStart <= 0 || age >= t.coldStart {
		return 1
	}
	return maxColdFactor - (maxColdFactor-1)*float64(age)/float64(t.coldStart)
}

func snapshotFactor(warm bool) float64 {
	if warm {
		return 1
	}
	return maxColdFactor
}

func (t *serviceTimes) start(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.started = now
}

func (t *serviceTimes) setStraggleFactor(factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.straggleFactor = factor
}
