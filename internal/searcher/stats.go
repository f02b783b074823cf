package searcher

import (
	"sync/atomic"
	"time"
)

// drainGrace is the time after the start of a drain by which entry nodes must
// have stopped sending new requests.
const drainGrace = 2 * time.Second

// counters holds the counts for Stats.
type counters struct {
	searches, submits, probes   atomic.Int64
	shards                      atomic.Int64
	ran, shed, late, cancelled  atomic.Int64
	noSnapshot                  atomic.Int64
	duringDrain, longAfterDrain atomic.Int64
}

// countDuringDrain counts a request that arrived sinceDrain after the drain
// began.
func (c *counters) countDuringDrain(sinceDrain time.Duration) {
	c.duringDrain.Add(1)
	if sinceDrain > drainGrace {
		c.longAfterDrain.Add(1)
	}
}

// Stats holds a searcher's counts since its start.
type Stats struct {
	// Searches and Submits count the requests received; Probes counts requests
	// to the health and load endpoints.
	Searches int64 `json:"searches"`
	Submits  int64 `json:"submits"`
	Probes   int64 `json:"probes"`
	// Shards counts the shards that searches requested, including refused
	// searches.
	Shards int64 `json:"shards"`
	// Ran counts the shards whose searches finished.
	Ran int64 `json:"ran"`
	// Shed counts refusals because the queue was full or SetShedding was on, Late
	// those of requests that could not finish before their deadline or ended
	// while they were queued, and NoSnapshot those for a snapshot or shards that
	// aren't held.
	Shed       int64 `json:"shed"`
	Late       int64 `json:"late"`
	NoSnapshot int64 `json:"no_snapshot"`
	// Cancelled counts searches that were cancelled while they occupied a slot.
	Cancelled int64 `json:"cancelled"`
	// DuringDrain counts requests that arrived after the drain began,
	// LongAfterDrain those of them that arrived more than 2 s after.
	DuringDrain    int64 `json:"during_drain"`
	LongAfterDrain int64 `json:"long_after_drain"`
	// Connections is the number of connections that currently count against the
	// limit, PeakConnections its highest value, and RefusedConnections counts the
	// connections closed because of the limit.
	Connections        int `json:"connections"`
	PeakConnections    int `json:"peak_connections"`
	RefusedConnections int `json:"refused_connections"`
}

// Stats returns the current counts.
func (s *Searcher) Stats() Stats {
	stats := Stats{
		Searches:       s.counters.searches.Load(),
		Submits:        s.counters.submits.Load(),
		Probes:         s.counters.probes.Load(),
		Shards:         s.counters.shards.Load(),
		Ran:            s.counters.ran.Load(),
		Shed:           s.counters.shed.Load(),
		Late:           s.counters.late.Load(),
		NoSnapshot:     s.counters.noSnapshot.Load(),
		Cancelled:      s.counters.cancelled.Load(),
		DuringDrain:    s.counters.duringDrain.Load(),
		LongAfterDrain: s.counters.longAfterDrain.Load(),
	}
	if s.listener != nil {
		stats.Connections, stats.RefusedConnections, stats.PeakConnections = s.listener.counts()
	}
	return stats
}
