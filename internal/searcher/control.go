package searcher

import (
	"time"

	"wigeonbay/internal/api"
)

// AddHolding makes the searcher hold shards of a snapshot, in place of what it
// held of it, and announces it.
func (s *Searcher) AddHolding(h api.Holding) {
	s.change(func() bool {
		s.holdings = with(s.holdings, h)
		return true
	})
}

// RemoveHolding makes the searcher give up a snapshot and announces it.
// Searches that run on it finish.
func (s *Searcher) RemoveHolding(snapshot api.Snapshot) {
	s.change(func() bool {
		s.holdings = without(s.holdings, snapshot)
		return true
	})
}

// Warm marks a snapshot as serving at full speed and announces it.
func (s *Searcher) Warm(snapshot api.Snapshot) {
	s.change(func() bool {
		h, ok := find(s.holdings, snapshot)
		if !ok || h.Warm {
			return false
		}
		h.Warm = true
		s.holdings = with(s.holdings, h)
		return true
	})
}

// Holdings returns what the searcher holds.
func (s *Searcher) Holdings() []api.Holding {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdings
}

// Straggle multiplies the service times from now on; 1 ends it.
func (s *Searcher) Straggle(factor float64) {
	s.times.setStraggle(factor)
}

// Shed makes the searcher shed every request, or ends that.
func (s *Searcher) Shed(on bool) {
	s.shedding.Store(on)
}

// Silence makes every open connection go silent for good, while new ones work.
// It returns how many.
func (s *Searcher) Silence() int {
	return s.listener.silence()
}

// ReportLoad changes how the searcher reports its load.
func (s *Searcher) ReportLoad(mode LoadMode) {
	s.reports.set(mode, presentLoad(s.slots), time.Now())
}

// DelayAccept changes the delay of new connections.
func (s *Searcher) DelayAccept(d time.Duration) {
	s.listener.acceptDelay.Store(int64(d))
}
