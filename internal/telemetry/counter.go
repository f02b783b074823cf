package telemetry

import (
	"expvar"
	"sync/atomic"
)

// Counter counts something since the process started. It is safe for
// concurrent use.
type Counter struct {
	value atomic.Int64
}

// Add adds n.
func (c *Counter) Add(n int64) {
	c.value.Add(n)
}

// Value returns the count.
func (c *Counter) Value() int64 {
	return c.value.Load()
}

// CounterGroup is a group of counters of one part of a process. It appears
// under its name in /debug/vars.
type CounterGroup struct {
	counters map[string]*Counter
}

// NewCounterGroup publishes a group with the counters named. Like
// expvar.Publish, it panics when the process has a group of that name.
func NewCounterGroup(group string, names ...string) *CounterGroup {
	g := &CounterGroup{counters: map[string]*Counter{}}
	for _, name := range names {
		g.counters[name] = &Counter{}
	}
	expvar.Publish(group, expvar.Func(func() any { return g.Snapshot() }))
	return g
}

// Counter returns the counter called name. It panics when the group has none:
// names are constants, so that is a mistake in the program.
func (g *CounterGroup) Counter(name string) *Counter {
	counter, ok := g.counters[name]
	if !ok {
		panic("telemetry: no counter " + name)
	}
	return counter
}

// Snapshot returns the counts as they are now, by name.
func (g *CounterGroup) Snapshot() map[string]int64 {
	counts := make(map[string]int64, len(g.counters))
	for name, counter := range g.counters {
		counts[name] = counter.Value()
	}
	return counts
}
