package searcher

import (
	"sync/atomic"
	"time"
)

// drainGrace is the time after which a draining searcher must get no new work.
const drainGrace = 2 * time.Second

// counters counts what the searcher has seen since its start.
type counters struct {
	searches, submits, probes  atomic.Int64
	shards                     atomic.Int64
	ran, shed, late, cancelled atomic.Int64
	noSnapshot                 atomic.Int64
	duringDrain, longAfter     atomic.Int64
}

// afterDrain counts work that arrived at a draining searcher.
func (c *counters) afterDrain(since time.Duration) {
	c.duringDrain.Add(1)
	if since > drainGrace {
		c.longAfter.Add(1)
	}
}

// Stats is what a searcher has seen since its start.
type Stats struct {
	// Searches and Submits count the requests that arrived, Probes those to
	// the health and load endpoints.
	Searches int64 `json:"searches"`
	Submits  int64 `json:"submits"`
	Probes   int64 `json:"probes"`
	// Shards counts the shards that the searches asked for, also those that
	// were refused.
	Shards int64 `json:"shards"`
	// Ran counts the shards whose search finished.
	Ran int64 `json:"ran"`
	// Shed, Late and NoSnapshot count refusals: no room, no time, not held.
	Shed       int64 `json:"shed"`
	Late       int64 `json:"late"`
	NoSnapshot int64 `json:"no_snapshot"`
	// Cancelled counts searches given up while they held a slot.
	Cancelled int64 `json:"cancelled"`
	// DuringDrain counts the work that arrived while draining, LongAfterDrain
	// the part of it that came more than 2 s after the drain began.
	DuringDrain    int64 `json:"during_drain"`
	LongAfterDrain int64 `json:"long_after_drain"`
	// Connections is the number open now, PeakConnections the greatest number
	// and RefusedConnections those above the limit.
	Connections        int `json:"connections"`
	PeakConnections    int `json:"peak_connections"`
	RefusedConnections int `json:"refused_connections"`
}

// Stats returns the counts since the start.
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
		LongAfterDrain: s.counters.longAfter.Load(),
	}
	if s.listener != nil {
		stats.Connections, stats.RefusedConnections, stats.PeakConnections = s.listener.counts()
	}
	return stats
}
