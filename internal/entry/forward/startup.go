package forward

import "time"

// announceTime is how long after its start a node expects that targets are still to be
// announced to it. After a stop of everything each target does so with its next check-in.
const announceTime = 3 * time.Second

// justStarted reports whether targets may still have to be announced.
func (s *State) justStarted() bool { return s.now.Sub(s.started) < announceTime }

// mayReturnAfterStart reports whether the caller of a request that can't be served now may
// have been refused or cut off before. The usual time left isn't known after a start; most
// callers begin with the route's timeout.
func (s *State) mayReturnAfterStart(r *request) bool {
	usual := returningFraction * float64(r.route.config.Timeout)
	return s.justStarted() && r.deadline.Sub(s.now) < time.Duration(usual)
}

// awaitsTargets reports whether a request is to wait for the first target of a pool. It
// answers the load after a stop of everything, when callers come back before all targets
// are known again: a second refusal would be the last answer that they get. Callers that
// come for the first time are refused at once, as another node may have targets already.
func (s *State) awaitsTargets(r *request, p *pool) bool {
	if !r.returning || !s.justStarted() {
		return false
	}
	for _, t := range p.targets {
		if t.acceptsWork() {
			return false
		}
	}
	return true
}
