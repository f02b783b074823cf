package entry

import (
	"fmt"
	"net/http"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/gather"
)

const (
	// cancelFactor times the service's slowReplyQuantile is the age above which
	// a request that no search waits for is cancelled. Younger ones are left to
	// finish, because cancelling a request closes its connection.
	cancelFactor = 2
	// slowReplyQuantile is the quantile of the reply times that counts as a
	// slow but normal reply.
	slowReplyQuantile = 0.99
	// lowCoverageRetry is the minimum Retry-After after insufficient coverage.
	lowCoverageRetry = 250 * time.Millisecond
)

// markMissing marks a group as missing. It ends the search if no group is
// undecided or the least coverage can't be reached any more.
func (s *State) markMissing(q *search, g int, reason api.MissingReason) {
	state := &q.groups[g]
	if state.phase == groupAnswered || state.phase == groupMissing {
		return
	}
	state.phase = groupMissing
	state.reason = reason
	q.undecided--
	q.missing += len(q.placement.Groups[g].Shards)
	if q.undecided == 0 || q.belowLeastCoverage() {
		s.finishEarly(q, reason)
	}
}

// belowLeastCoverage reports whether too many shards are missing for an answer.
func (q *search) belowLeastCoverage() bool {
	covered := q.placement.Shards - q.missing
	return float64(covered) < q.service.config.LeastCoverage*float64(q.placement.Shards)
}

// finishEarly ends a search with the replies received so far. Groups that are
// still undecided are missing for the given reason.
func (s *State) finishEarly(q *search, reason api.MissingReason) {
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
	if q.belowLeastCoverage() {
		s.refuse(q.id, s.lowCoverageProblem(q, &coverage))
		s.discardReplies(q)
	} else {
		s.answerSearch(q, coverage)
	}
	s.removeSearch(q)
}

func (s *State) answerSearch(q *search, coverage api.Coverage) {
	s.counters.Answered++
	var warnings []string
	if !coverage.Whole() {
		s.counters.Partial++
		warnings = append(warnings, fmt.Sprintf("%d of %d shards are missing", len(coverage.Missing), coverage.Shards))
	}
	q.service.searchTimes.Record(s.now, s.now.Sub(q.started))
	s.emit(AnswerSearch{
		Query:         q.id,
		Service:       q.service.config.Name,
		Snapshot:      q.placement.Snapshot,
		NewestVersion: max(q.service.currentIndex().Newest, q.placement.Snapshot.Version),
		ConfigVersion: s.config.Version,
		Coverage:      coverage,
		Accepted:      q.accepted,
		Warnings:      warnings,
	})
}

// lowCoverageProblem returns the problem for an admitted search that ends below
// the least coverage.
func (s *State) lowCoverageProblem(q *search, coverage *api.Coverage) *api.Problem {
	if s.noReplicaTried(q) {
		return s.overloadedProblem(q.service, q.seed, "no target had room before the deadline")
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
	return problem.RetryAfter(addJitter(lowCoverageRetry, q.seed))
}

// searchRan returns whether a target has run a request of the search.
func (s *State) searchRan(q *search) api.Ran {
	switch {
	case len(q.accepted) > 0:
		return api.RanYes
	case s.noReplicaTried(q):
		return api.RanNo
	default:
		return api.RanUnknown
	}
}

// noReplicaTried reports whether the set of tried replicas is empty for each
// group. Restarts, backoffs and resends clear these sets.
func (s *State) noReplicaTried(q *search) bool {
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

// handleSearchCancelled ends a search whose caller has disconnected.
func (s *State) handleSearchCancelled(ev SearchCancelled) {
	if p := s.passed[ev.Query]; p != nil {
		delete(s.passed, p.query)
		s.emit(CancelPassOn{Query: p.query})
		return
	}
	q := s.searches[ev.Query]
	if q == nil {
		return
	}
	q.done = true
	s.cancelAttempts(q)
	s.discardReplies(q)
	s.removeSearch(q)
}

// removeSearch removes a finished search from the state. Requests in flight
// that are much slower than usual are cancelled; the others may finish and
// provide latency samples of their targets.
func (s *State) removeSearch(q *search) {
	delete(s.searches, q.id)
	q.service.inFlight--
	slow, known := q.service.replyTimes.Quantile(s.now, slowReplyQuantile)
	for _, a := range q.outstanding {
		a.search = nil
		if known && s.now.Sub(a.started) > cancelFactor*slow {
			s.emit(CancelAttempt{Attempt: a.id})
		}
	}
	q.outstanding = nil
	q.service.admission.RecordCompletion(s.now, len(q.service.waiting))
}

func (s *State) discardReplies(q *search) {
	for _, reply := range q.accepted {
		s.emit(DiscardReply{Attempt: reply.Attempt})
	}
}
