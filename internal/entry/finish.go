package entry

import (
	"fmt"
	"net/http"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/gather"
)

const (
	// stuckFactor times the service's slowest usual reply is the age from
	// which a request that nobody waits for is cancelled; a younger one is
	// left to finish, since cancelling costs its connection.
	stuckFactor = 2
	// lateQuantile is the quantile of the reply times taken as slowest usual.
	lateQuantile = 0.99
	// lowCoverageRetry is when to come back after too little coverage.
	lowCoverageRetry = 250 * time.Millisecond
)

// miss goes without a group. A search that can't reach its service's least
// coverage any more is answered at once.
func (s *State) miss(q *search, g int, reason api.MissingReason) {
	state := &q.groups[g]
	if state.phase == groupAnswered || state.phase == groupMissing {
		return
	}
	state.phase = groupMissing
	state.reason = reason
	q.undecided--
	q.missing += len(q.placement.Groups[g].Shards)
	if q.undecided == 0 || q.tooLittle() {
		s.giveUp(q, reason)
	}
}

// tooLittle reports whether too many shards are missing for an answer.
func (q *search) tooLittle() bool {
	covered := q.placement.Shards - q.missing
	return float64(covered) < q.service.config.LeastCoverage*float64(q.placement.Shards)
}

// giveUp ends a search with what it has; what is still undecided is missing
// for the given reason.
func (s *State) giveUp(q *search, reason api.MissingReason) {
	for g := range q.groups {
		state := &q.groups[g]
		if state.phase == groupIdle || state.phase == groupSent {
			state.phase = groupMissing
			state.reason = reason
			q.missing += len(q.placement.Groups[g].Shards)
		}
	}
	q.undecided = 0
	s.finish(q)
}

// finish answers or refuses a search whose groups are all decided.
func (s *State) finish(q *search) {
	if q.done {
		return
	}
	q.done = true
	coverage := gather.Coverage(q.placement.Shards, s.missingShards(q))
	if q.tooLittle() {
		s.refuse(q.id, s.lowCoverage(q, &coverage))
		s.discardAccepted(q)
	} else {
		s.answer(q, coverage)
	}
	s.leave(q)
}

func (s *State) answer(q *search, coverage api.Coverage) {
	s.counters.Answered++
	var warnings []string
	if !coverage.Whole() {
		s.counters.Partial++
		warnings = append(warnings, fmt.Sprintf("%d of %d shards are missing", len(coverage.Missing), coverage.Shards))
	}
	q.service.durations.Record(s.now, s.now.Sub(q.started))
	s.emit(AnswerSearch{
		Query:         q.id,
		Service:       q.service.config.Name,
		Snapshot:      q.placement.Snapshot,
		NewestVersion: max(q.service.indexOf().Newest, q.placement.Snapshot.Version),
		ConfigVersion: s.config.Version,
		Coverage:      coverage,
		Accepted:      q.accepted,
		Warnings:      warnings,
	})
}

// lowCoverage says why a search is refused after it was admitted.
func (s *State) lowCoverage(q *search, coverage *api.Coverage) *api.Problem {
	if s.onlyWaited(q) {
		return s.overloaded(q.service, q.seed, "no target had room before the deadline")
	}
	code, status := api.CodeLowCoverage, http.StatusServiceUnavailable
	if !s.now.Before(q.deadline.Add(-answerMargin)) {
		code, status = api.CodeDeadlineExceeded, http.StatusGatewayTimeout
	}
	detail := fmt.Sprintf("%d of %d shards answered; the service asks for %.0f%%",
		coverage.Answered, coverage.Shards, 100*q.service.config.LeastCoverage)
	problem := api.NewProblem(status, code, api.RanNo, detail)
	problem.Coverage = coverage
	problem.Ran = s.searchRan(q)
	return problem.RetryAfter(spread(lowCoverageRetry, q.seed))
}

// searchRan says whether a target has worked on the search.
func (s *State) searchRan(q *search) api.Ran {
	switch {
	case len(q.accepted) > 0:
		return api.RanYes
	case s.onlyWaited(q):
		return api.RanNo
	default:
		return api.RanUnknown
	}
}

// onlyWaited reports whether none of the search's requests was ever sent.
func (s *State) onlyWaited(q *search) bool {
	for _, g := range q.groups {
		if g.tried != 0 {
			return false
		}
	}
	return true
}

func (s *State) missingShards(q *search) []api.MissingShard {
	var missing []api.MissingShard
	for _, shard := range q.placement.Uncovered {
		missing = append(missing, api.MissingShard{Shard: shard, Reason: api.MissingNoReplica})
	}
	for g, state := range q.groups {
		if state.phase != groupMissing {
			continue
		}
		for _, shard := range q.placement.Groups[g].Shards {
			missing = append(missing, api.MissingShard{Shard: shard, Reason: state.reason})
		}
	}
	return missing
}

// cancelSearch ends a search whose caller has gone.
func (s *State) cancelSearch(ev SearchCancelled) {
	q := s.searches[ev.Query]
	if q == nil {
		return
	}
	q.done = true
	s.abandonAttempts(q)
	s.discardAccepted(q)
	s.leave(q)
}

// leave takes a finished search out of the state. Requests in flight that look
// stuck are cancelled; the others may finish, as evidence about their targets.
func (s *State) leave(q *search) {
	delete(s.searches, q.id)
	q.service.inFlight--
	slowest, known := q.service.replies.Quantile(s.now, lateQuantile)
	for _, a := range q.outstanding {
		a.search = nil
		if known && s.now.Sub(a.started) > stuckFactor*slowest {
			s.emit(CancelAttempt{Attempt: a.id})
		}
	}
	q.outstanding = nil
	q.service.admission.Completed(s.now, len(q.service.waiting))
}

func (s *State) discardAccepted(q *search) {
	for _, part := range q.accepted {
		s.emit(DiscardReply{Attempt: part.Attempt})
	}
}
