package load

import (
	"math/rand/v2"
	"time"
)

// Arrival is one request of a schedule.
type Arrival struct {
	// At is the scheduled time, relative to the start of the run.
	At time.Duration
	// Query is the text of the search.
	Query string
	// Limit is the maximum number of hits to return; 0 means all.
	Limit int
}

// alternateLimit is the Limit of every second arrival; the others have none.
const alternateLimit = 10

// Schedule returns the arrivals of a Poisson process with the given rate per
// second and queries drawn at random. Equal arguments give equal schedules.
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
			Limit: alternateLimit * (len(arrivals) % 2),
		})
	}
}
