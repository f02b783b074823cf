package entry

import (
	"fmt"
	"net/http"
	"time"

	"wigeonbay/internal/api"
)

const (
	// answerMargin is kept of each deadline for merging and for the way back
	// to the caller.
	answerMargin = 3 * time.Millisecond
	// executionQuantile is the quantile of the reply times that a search is
	// expected to take.
	executionQuantile = 0.95
	// unavailableRetry is when to come back to a service without targets: by
	// then a target's renewal would have arrived.
	unavailableRetry = time.Second
)

// arriveSearch admits or refuses a search and sends its first requests.
func (s *State) arriveSearch(ev SearchArrived) {
	s.counters.Searches++
	svc, problem := s.routeRequest(ev.Service, ev.Caller, ev.Seed)
	if problem == nil {
		problem = s.admitSearch(svc, ev)
	}
	if problem != nil {
		s.refuse(ev.Query, problem)
		return
	}
	q := &search{id: ev.Query, service: svc, seed: ev.Seed, started: s.now, deadline: ev.Deadline}
	s.searches[ev.Query] = q
	svc.inFlight++
	s.pin(q)
	if len(svc.waiting) > 0 {
		s.enqueue(q)
	} else {
		s.dispatch(q)
	}
	s.setTimer(q)
}

// routeRequest finds the service that serves a request, after the operators'
// routing rules.
func (s *State) routeRequest(name, caller string, seed uint64) (*service, *api.Problem) {
	name, _ = s.applyRules(name, caller, seed)
	svc := s.services[name]
	if svc == nil || !svc.configured {
		detail := fmt.Sprintf("no service %q is configured", name)
		return nil, api.NewProblem(http.StatusNotFound, api.CodeUnknownService, api.RanNo, detail)
	}
	return svc, nil
}

// admitSearch refuses at once what can't be answered in time.
func (s *State) admitSearch(svc *service, ev SearchArrived) *api.Problem {
	timeLeft := ev.Deadline.Sub(s.now) - answerMargin
	if timeLeft <= 0 {
		return api.NewProblem(http.StatusRequestTimeout, api.CodeDeadlineExpired, api.RanNo, "the deadline has passed")
	}
	placement := svc.indexOf().Pin()
	if placement == nil {
		detail := fmt.Sprintf("no target of service %q accepts work", svc.config.Name)
		return s.unavailable(detail, ev.Seed)
	}
	covered := placement.Shards - len(placement.Uncovered)
	if float64(covered) < svc.config.LeastCoverage*float64(placement.Shards) {
		detail := fmt.Sprintf("%d of %d shards have a replica", covered, placement.Shards)
		problem := s.unavailable(detail, ev.Seed)
		problem.Code = api.CodeLowCoverage
		return problem
	}
	if svc.config.MaxInFlight > 0 && svc.inFlight >= svc.config.MaxInFlight {
		return s.overloaded(svc, ev.Seed, "the service's limit of searches in progress is reached")
	}
	if len(svc.waiting) > 0 && !s.baseline() && !svc.admission.Admit(len(svc.waiting), timeLeft, s.execution(svc)) {
		return s.overloaded(svc, ev.Seed, "the search would not finish before its deadline")
	}
	return nil
}

// execution is the time that a search of the service takes once its requests
// are sent: the slow end of the target's replies, since a search waits for the
// slowest. It is 0 while that isn't known.
func (s *State) execution(svc *service) time.Duration {
	slow, _ := svc.replies.Quantile(s.now, executionQuantile)
	return slow
}

func (s *State) unavailable(detail string, seed uint64) *api.Problem {
	p := api.NewProblem(http.StatusServiceUnavailable, api.CodeUnavailable, api.RanNo, detail)
	return p.RetryAfter(spread(unavailableRetry, seed))
}

func (s *State) overloaded(svc *service, seed uint64, detail string) *api.Problem {
	p := api.NewProblem(http.StatusServiceUnavailable, api.CodeOverloaded, api.RanNo, detail)
	return p.RetryAfter(svc.admission.RetryAfter(len(svc.waiting), seed))
}

func (s *State) refuse(q QueryID, p *api.Problem) {
	s.counters.Refused++
	s.emit(Refuse{Query: q, Problem: p})
}

// spread returns a time between d and 2d, so that callers refused together
// don't come back together.
func spread(d time.Duration, seed uint64) time.Duration {
	return d + time.Duration(seed%uint64(d))
}

// pin fixes the snapshot that all of the search's requests ask for.
func (s *State) pin(q *search) {
	q.placement = q.service.indexOf().Pin()
	q.groups = make([]groupState, len(q.placement.Groups))
	q.undecided = len(q.groups)
	q.missing = len(q.placement.Uncovered)
	q.accepted = q.accepted[:0]
}
