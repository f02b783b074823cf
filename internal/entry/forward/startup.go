package forward

import (
	"net/http"
	"slices"
	"time"
)

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
	return s.justStarted() && r.deadline.Sub(r.arrived) < time.Duration(usual)
}

// awaitsTargets reports whether a request is to wait for the first target of a pool. It
// answers the load after a stop of everything, when callers come back before all targets
// are known again: a second refusal would be the last answer that they get. Callers that
// come for the first time are refused at once, as another node may have targets already.
func (s *State) awaitsTargets(r *request, p *pool) bool {
	if !r.returning || !s.justStarted() || r.bound.isEmpty() {
		return false
	}
	for _, t := range p.targets {
		if t.acceptsWork() && r.mayReach(t) {
			return false
		}
	}
	return true
}

// maxEarlyRequests limits the requests that wait for the first routing table. Further
// ones are refused at once.
const maxEarlyRequests = 1000

// earlyRequest is a request that came before the first routing table.
type earlyRequest struct {
	request *request
	event   RequestArrived
}

// keepsForTable reports whether a request is to wait for the first routing table, which
// usually comes within a second of the start. Without a table the node doesn't know
// whether its caller comes back; once there is one, the request is decided on like others.
func (s *State) keepsForTable(ev RequestArrived) bool {
	return s.justStarted() && len(s.early) < maxEarlyRequests && ev.Deadline.Sub(s.now) > 2*answerMargin
}

// keepForTable keeps a request for at most half of its time, so that its caller can still
// try another node.
func (s *State) keepForTable(r *request, ev RequestArrived) {
	s.early = append(s.early, earlyRequest{r, ev})
	until := earlier(s.started.Add(announceTime), s.now.Add(ev.Deadline.Sub(s.now)/2))
	s.emit(SetTimer{Request: r.id, At: until})
}

// admitEarly admits the requests that have waited for the routing table.
func (s *State) admitEarly() {
	early := s.early
	s.early = nil
	for _, e := range early {
		s.admit(e.request, e.event)
	}
}

// takeEarly removes a request that waits for the routing table, and returns nil if there
// is none with the ID.
func (s *State) takeEarly(id RequestID) *request {
	at := slices.IndexFunc(s.early, func(e earlyRequest) bool { return e.request.id == id })
	if at < 0 {
		return nil
	}
	r := s.early[at].request
	s.early = slices.Delete(s.early, at, at+1)
	return r
}

func (s *State) refuseWithoutTable(r *request) {
	s.refuse(r, http.StatusServiceUnavailable, ReasonNoTable, s.addJitter(r, noTableRetry))
}
