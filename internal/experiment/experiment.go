package experiment

import (
	"context"
	"fmt"
	"time"

	"wigeonbay/internal/testbed"
)

// Experiment is one named measurement.
type Experiment struct {
	Name string
	// About says in a sentence what happens.
	About string
	// Entries is the number of entry nodes.
	Entries int
	// Services are the services; the first Measured of them count, the others
	// are only there to disturb.
	Services []testbed.ServiceShape
	Measured int
	// Deadline is that of each search.
	Deadline time.Duration
	// Even spaces the arrivals evenly, and the policies' between each other's,
	// so that one policy's burst of work isn't measured as the other's.
	Even bool
	// ClientDelay is the one-way delay between callers and entry nodes, added
	// to each latency twice.
	ClientDelay time.Duration
	// Before is measured first, for comparison; its Length may be 0.
	Before Part
	// During is what the experiment is about.
	During Part
}

// Part is a time in which the load stays the same.
type Part struct {
	Length time.Duration
	// Load and Others are the searches sent to the measured services and to
	// the others, as shares of what their slots carry.
	Load   float64
	Others float64
	// Fault runs beside the load, if it is set.
	Fault func(context.Context, *testbed.Testbed) error
	// Slow tells the floor how many times slower a searcher of a measured
	// service is, gone for one that is lost; nil means that all are well.
	Slow func(number int) float64
}

// gone is how slow a searcher is that answers nothing.
const gone = 1e9

// Find returns the named experiment.
func Find(name string) (Experiment, error) {
	for _, e := range All() {
		if e.Name == name {
			return e, nil
		}
	}
	return Experiment{}, fmt.Errorf("no experiment is named %q", name)
}

// Names returns the names of all experiments.
func Names() []string {
	var names []string
	for _, e := range All() {
		names = append(names, e.Name)
	}
	return names
}

// measured returns the services that count.
func (e Experiment) measured() []testbed.ServiceShape {
	return e.Services[:e.Measured]
}

// extra is the part of each latency that no process here takes.
func (e Experiment) extra() time.Duration {
	return 2 * e.ClientDelay
}
