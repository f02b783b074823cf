package searcher

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// coldFactor is how many times slower a request runs at the very start of a
// cold start, and on a version that is not warm.
const coldFactor = 4.0

// serviceTimes draws log-normal service times around a median.
type serviceTimes struct {
	median time.Duration
	spread float64
	cold   time.Duration

	mu       sync.Mutex
	random   *rand.Rand
	straggle float64
	started  time.Time
}

func newServiceTimes(cfg Config) *serviceTimes {
	return &serviceTimes{
		median:   cfg.ServiceTime,
		spread:   cfg.Spread,
		cold:     cfg.ColdStart,
		random:   rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(string(cfg.Name)))),
		straggle: 1,
	}
}

// MeanServiceTime returns the mean of log-normal service times with the given
// median and spread, the standard deviation of their logarithm.
func MeanServiceTime(median time.Duration, spread float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(spread*spread/2))
}

// draw returns the service time of one shard of a request that begins at now.
func (t *serviceTimes) draw(now time.Time, warm bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	factor := math.Exp(t.spread*t.random.NormFloat64()) * t.straggle
	factor *= max(t.coldFactor(now), versionFactor(warm))
	return time.Duration(float64(t.median) * factor)
}

// coldFactor falls from the constant of that name to 1 over the cold start.
func (t *serviceTimes) coldFactor(now time.Time) float64 {
	age := now.Sub(t.started)
	if t.cold <= 0 || age >= t.cold {
		return 1
	}
	return coldFactor - (coldFactor-1)*float64(age)/float64(t.cold)
}

func versionFactor(warm bool) float64 {
	if warm {
		return 1
	}
	return coldFactor
}

func (t *serviceTimes) start(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.started = now
}

func (t *serviceTimes) setStraggle(factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.straggle = factor
}
