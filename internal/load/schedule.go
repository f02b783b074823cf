package load

import (
	"math/rand/v2"
	"time"
)

// Arrival is one request of a schedule.
type Arrival struct {
	// At is the intended start, counted from the start of the run.
	At time.Duration
	// Query is what is looked for.
	Query string
	// Limit is the greatest number of hits wanted; 0 means all.
	Limit int
}

// someLimit is the limit of every second arrival.
const someLimit = 10

// Schedule returns the arrivals of a Poisson process with the given rate per
// second. Equal arguments give equal schedules.
func Schedule(rate float64, length time.Duration, queries []string, seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, uint64(length)))
	var arrivals []Arrival
	at := 0.0
	for {
		at += random.ExpFloat64() / rate
		if at >= length.Seconds() {
			return arrivals
		}
		arrivals = append(arrivals, Arrival{
			At:    time.Duration(at * float64(time.Second)),
			Query: queries[random.IntN(len(queries))],
			Limit: someLimit * (len(arrivals) % 2),
		})
	}
}
