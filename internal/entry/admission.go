package entry

import (
	"fmt"
	"net/http"
	"time"

	"wigeonbay/internal/api"
)

const (
	// answerMargin is the time reserved before each deadline for merging
	// replies and sending the answer to the caller.
	answerMargin = 3 * time.Millisecond
	// executionQuantile is the quantile of the service's reply times used as
	// the expected execution time of a search.
	executionQuantile = 0.95
	// unavailableRetry is the minimum Retry-After for a service without
	// targets. Within that time a renewed announcement would have arrived.
	unavailableRetry = time.Second
)

// handleSearchArrived admits or refuses a search. An admitted search sends its
// first requests, or is queued if other searches are waiting.
func (s *State) handleSearchArrived(ev SearchArrived) {
	s.counters.Searches++
	if problem := s.rejectPassedOn(ev.PassedOn, ev.Seed); problem != nil {
		s.refuse(ev.Query, problem)
		return
	}
	if ev.PassedOn == nil && s.passOn(&passedOn{query: ev.Query, seed: ev.Seed, deadline: ev.Deadline}) {
		return
	}
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
	s.pinSnapshot(q)
	if len(svc.waiting) > 0 {
		s.enqueue(q)
	} else {
		s.dispatch(q)
	}
	s.setTimer(q)
}

// routeRequest returns the service that serves a request after the routing
// rules are applied.
func (s *State) routeRequest(name, caller string, seed uint64) (*service, *api.Problem) {
	name, _ = s.applyRules(name, caller, seed)
	svc := s.services[name]
	if svc == nil || !svc.configured {
		detail := fmt.Sprintf("no service %q is configured", name)
		return nil, api.NewProblem(http.StatusNotFound, api.CodeUnknownService, api.RanNo, detail)
	}
	return svc, nil
}

// admitSearch returns a problem if the search can't be answered within its
// deadline, with enough coverage and within the service's limits.
func (s *State) admitSearch(svc *service, ev SearchArrived) *api.Problem {
	timeLeft := ev.Deadline.Sub(s.now) - answerMargin
	if timeLeft <= 0 {
		return api.NewProblem(http.StatusRequestTimeout, api.CodeDeadlineExpired, api.RanNo, "the deadline has passed")
	}
	placement := svc.currentIndex().Pin()
	if placement == nil {
		detail := fmt.Sprintf("no target of service %q accepts work", svc.config.Name)
		return s.unavailableProblem(detail, ev.Seed)
	}
	covered := placement.Shards - len(placement.Uncovered)
	if float64(covered) < svc.config.LeastCoverage*float64(placement.Shards) {
		detail := fmt.Sprintf("%d of %d shards have a replica", covered, placement.Shards)
		problem := s.unavailableProblem(detail, ev.Seed)
		problem.Code = api.CodeLowCoverage
		return problem
	}
	if svc.config.MaxInFlight > 0 && svc.inFlight >= svc.config.MaxInFlight {
		return s.overloadedProblem(svc, ev.Seed, "the service's limit of searches in progress is reached")
	}
	if len(svc.waiting) > 0 && !s.baseline() && !svc.admission.Admit(len(svc.waiting), timeLeft, s.expectedExecution(svc)) {
		return s.overloadedProblem(svc, ev.Seed, "the search would not finish before its deadline")
	}
	return nil
}

// expectedExecution returns the expected time of a search of the service after
// its requests are sent: a high quantile of the reply times, because a search
// waits for its slowest reply. It returns 0 if there are too few samples.
func (s *State) expectedExecution(svc *service) time.Duration {
	slow, _ := svc.replyTimes.Quantile(s.now, executionQuantile)
	return slow
}

func (s *State) unavailableProblem(detail string, seed uint64) *api.Problem {
	p := api.NewProblem(http.StatusServiceUnavailable, api.CodeUnavailable, api.RanNo, detail)
	return p.RetryAfter(addJitter(unavailableRetry, seed))
}

func (s *State) overloadedProblem(svc *service, seed uint64, detail string) *api.Problem {
	p := api.NewProblem(http.StatusServiceUnavailable, api.CodeOverloaded, api.RanNo, detail)
	return p.RetryAfter(svc.admission.RetryAfter(len(svc.waiting), seed))
}

func (s *State) refuse(q QueryID, p *api.Problem) {
	s.counters.Refused++
	s.emit(Refuse{Query: q, Problem: p})
}

// addJitter returns a duration between d and 2d that depends on seed, so that
// callers refused at the same time don't retry at the same time.
func addJitter(d time.Duration, seed uint64) time.Duration {
	return d + time.Duration(seed%uint64(d))
}

// pinSnapshot selects the snapshot that all requests of the search use, and
// resets the search's progress.
func (s *State) pinSnapshot(q *search) {
	q.placement = q.service.currentIndex().Pin()
	q.groups = make([]groupState, len(q.placement.Groups))
	q.undecided = len(q.groups)
	q.missing = len(q.placement.Uncovered)
	q.accepted = q.accepted[:0]
}
