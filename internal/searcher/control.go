package searcher

import (
	"time"

	"wigeonbay/internal/api"
)

// AddHolding adds a holding, replacing one of the same snapshot, and announces
// the change.
func (s *Searcher) AddHolding(h api.Holding) {
	s.update(func() bool {
		s.holdings = withHolding(s.holdings, h)
		return true
	})
}

// RemoveHolding removes the holding of a snapshot and announces the change.
// Running searches of that snapshot finish.
func (s *Searcher) RemoveHolding(snapshot api.Snapshot) {
	s.update(func() bool {
		s.holdings = withoutSnapshot(s.holdings, snapshot)
		return true
	})
}

// Warm marks the holding of a snapshot as warm, so that it is searched at full
// speed, and announces the change. It does nothing if the snapshot isn't held
// or is already warm.
func (s *Searcher) Warm(snapshot api.Snapshot) {
	s.update(func() bool {
		h, ok := findHolding(s.holdings, snapshot)
		if !ok || h.Warm {
			return false
		}
		h.Warm = true
		s.holdings = withHolding(s.holdings, h)
		return true
	})
}

// Holdings returns the searcher's holdings. The caller must not modify them.
func (s *Searcher) Holdings() []api.Holding {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdings
}

// SetStraggleFactor multiplies all later service times by factor; 1 restores
// the normal speed.
func (s *Searcher) SetStraggleFactor(factor float64) {
	s.times.setStraggleFactor(factor)
}

// SetShedding makes the searcher shed every request, or stops that.
func (s *Searcher) SetShedding(on bool) {
	s.shedding.Store(on)
}

// SilenceConnections makes every open connection stop responding permanently,
// without closing it; new connections work. It returns the number of open
// connections.
func (s *Searcher) SilenceConnections() int {
	return s.listener.silenceAll()
}

// SetLoadMode sets how the searcher reports its load.
func (s *Searcher) SetLoadMode(mode LoadMode) {
	s.loadReporter.set(mode, currentLoad(s.slots), time.Now())
}

// SetAcceptDelay sets the delay before a new connection is served.
func (s *Searcher) SetAcceptDelay(d time.Duration) {
	s.listener.acceptDelay.Store(int64(d))
}
