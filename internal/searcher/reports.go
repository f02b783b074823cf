package searcher

import (
	"net/http"
	"sync"
	"time"

	"wigeonbay/internal/api"
)

// LoadMode selects how a searcher reports its load.
type LoadMode string

// Modes of load reporting.
const (
	// LoadTrue reports the actual load.
	LoadTrue LoadMode = "true"
	// LoadIdle always reports that no requests are in flight.
	LoadIdle LoadMode = "idle"
	// LoadBusy always reports twice as many requests in flight as there are
	// slots.
	LoadBusy LoadMode = "busy"
	// LoadStale reports the load at the time when the mode was set, together
	// with the age of that report.
	LoadStale LoadMode = "stale"
)

// Health is the response body of /health.
type Health struct {
	State api.TargetState `json:"state"`
}

// loadReporter converts the current load to the load that the searcher reports
// under its LoadMode. The zero value reports the actual load.
type loadReporter struct {
	mu   sync.Mutex
	mode LoadMode
	// recorded is the load at the time when the mode was set, for LoadStale.
	recorded   api.LoadReport
	recordedAt time.Time
}

func (p *loadReporter) set(mode LoadMode, current api.LoadReport, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.recorded, p.recordedAt = mode, current, now
}

// report returns the load to report when the actual load is current.
func (p *loadReporter) report(current api.LoadReport, now time.Time) api.LoadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch p.mode {
	case LoadIdle:
		return api.LoadReport{Slots: current.Slots}
	case LoadBusy:
		return api.LoadReport{InFlight: 2 * current.Slots, Slots: current.Slots}
	case LoadStale:
		stale := p.recorded
		stale.AgeMS = now.Sub(p.recordedAt).Milliseconds()
		return stale
	default:
		return current
	}
}

// inFlight returns the number of requests in flight to report in the header of
// each reply.
func (p *loadReporter) inFlight(s *slots) int {
	return p.report(currentLoad(s), time.Now()).InFlight
}

func currentLoad(s *slots) api.LoadReport {
	running, queued := s.load()
	return api.LoadReport{InFlight: running + queued, Queued: queued, Slots: s.limit}
}

func (s *Searcher) handleHealth(w http.ResponseWriter, r *http.Request) {
	s.counters.probes.Add(1)
	s.writeReply(w, r, http.StatusOK, Health{State: s.State()})
}

func (s *Searcher) handleLoad(w http.ResponseWriter, r *http.Request) {
	s.counters.probes.Add(1)
	s.writeReply(w, r, http.StatusOK, s.loadReporter.report(currentLoad(s.slots), time.Now()))
}
