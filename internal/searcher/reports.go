package searcher

import (
	"net/http"
	"sync"
	"time"

	"wigeonbay/internal/api"
)

// LoadMode says how a searcher reports its load.
type LoadMode string

// Ways of reporting load.
const (
	// LoadTrue reports the load as it is.
	LoadTrue LoadMode = "true"
	// LoadIdle always reports an idle searcher.
	LoadIdle LoadMode = "idle"
	// LoadBusy always reports twice the slots in flight.
	LoadBusy LoadMode = "busy"
	// LoadStale goes on reporting the load of the moment it was set, and says
	// how old that is.
	LoadStale LoadMode = "stale"
)

// Health is the body of /health.
type Health struct {
	State api.TargetState `json:"state"`
}

// reports keeps how the searcher reports its load.
type reports struct {
	mu     sync.Mutex
	mode   LoadMode
	frozen api.LoadReport
	since  time.Time
}

func (p *reports) set(mode LoadMode, present api.LoadReport, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.frozen, p.since = mode, present, now
}

// report returns what is told of the present load.
func (p *reports) report(present api.LoadReport, now time.Time) api.LoadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch p.mode {
	case LoadIdle:
		return api.LoadReport{Slots: present.Slots}
	case LoadBusy:
		return api.LoadReport{InFlight: 2 * present.Slots, Slots: present.Slots}
	case LoadStale:
		stale := p.frozen
		stale.AgeMS = now.Sub(p.since).Milliseconds()
		return stale
	default:
		return present
	}
}

// inFlight returns the number told in the header of each reply.
func (p *reports) inFlight(s *slots) int {
	return p.report(presentLoad(s), time.Now()).InFlight
}

func presentLoad(s *slots) api.LoadReport {
	running, queued := s.load()
	return api.LoadReport{InFlight: running + queued, Queued: queued, Slots: s.limit}
}

func (s *Searcher) handleHealth(w http.ResponseWriter, r *http.Request) {
	s.counters.probes.Add(1)
	s.answer(w, r, http.StatusOK, Health{State: s.State()})
}

func (s *Searcher) handleLoad(w http.ResponseWriter, r *http.Request) {
	s.counters.probes.Add(1)
	s.answer(w, r, http.StatusOK, s.reports.report(presentLoad(s.slots), time.Now()))
}
