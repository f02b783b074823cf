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
	// Summary describes the load and the fault in one phrase.
	Summary string
	// Entries is the number of entry nodes.
	Entries int
	// Services are the services under load. Only the first MeasuredServices of
	// them are measured; the others compete for resources.
	Services         []testbed.ServiceShape
	MeasuredServices int
	// Deadline is the deadline of each search.
	Deadline time.Duration
	// EvenArrivals spaces arrivals evenly and interleaves those of the policies,
	// so that a burst of one policy doesn't increase the latency of the other.
	// The floor is still computed for the random arrivals.
	EvenArrivals bool
	// ClientDelay is the one-way delay between callers and entry nodes. It is
	// added to each latency twice.
	ClientDelay time.Duration
	// Before is measured first, for comparison. A Length of 0 skips it.
	Before Phase
	// During is the phase with the fault or overload under test.
	During Phase
}

// Phase is a period of constant load.
type Phase struct {
	Length time.Duration
	// Load and OtherLoad are the rates of searches sent to the measured services
	// and to the others, as fractions of the capacity of their slots.
	Load      float64
	OtherLoad float64
	// Fault, if not nil, runs concurrently with the load.
	Fault func(context.Context, *testbed.Testbed) error
	// Slowdown is the factor by which the floor multiplies the service times of
	// a searcher of a measured service; crashedSlowdown stands for a crashed
	// searcher. With nil all searchers run at normal speed.
	Slowdown func(searcherIndex int) float64
}

// crashedSlowdown is the slowdown of a searcher that never answers.
const crashedSlowdown = 1e9

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

// measuredServices returns the services whose results are reported.
func (e Experiment) measuredServices() []testbed.ServiceShape {
	return e.Services[:e.MeasuredServices]
}

// simulatedRTT is the round-trip time between caller and entry node. It is
// added to each latency, since callers and entry nodes run in one process.
func (e Experiment) simulatedRTT() time.Duration {
	return 2 * e.ClientDelay
}
