package telemetry

import (
	"expvar"
	"sync/atomic"
)

// Counter is a count since the start of the process. It is safe for concurrent use.
type Counter struct {
	value atomic.Int64
}

// Add adds n to the count.
func (c *Counter) Add(n int64) {
	c.value.Add(n)
}

// Value returns the count.
func (c *Counter) Value() int64 {
	return c.value.Load()
}

// CounterGroup is a named group of counters, published in /debug/vars.
type CounterGroup struct {
	counters map[string]*Counter
}

// NewCounterGroup publishes a group with the named counters. Like expvar.Publish, it
// panics if a variable with the group's name already exists.
func NewCounterGroup(group string, names ...string) *CounterGroup {
	g := &CounterGroup{counters: map[string]*Counter{}}
	for _, name := range names {
		g.counters[name] = &Counter{}
	}
	expvar.Publish(group, expvar.Func(func() any { return g.Snapshot() }))
	return g
}

// Counter returns the counter called name. It panics if the group has none: names are
// constants, so an unknown one is a programming error.
func (g *CounterGroup) Counter(name string) *Counter {
	counter, ok := g.counters[name]
	if !ok {
		panic("telemetry: unknown counter " + name)
	}
	return counter
}

// Snapshot returns the current counts by name.
func (g *CounterGroup) Snapshot() map[string]int64 {
	counts := make(map[string]int64, len(g.counters))
	for name, counter := range g.counters {
		counts[name] = counter.Value()
	}
	return counts
}
