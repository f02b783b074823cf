package entry

import (
	"net/http"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/entry/limit"
	"wigeonbay/internal/entry/route"
)

const (
	// noQuorumRetry is the minimum Retry-After while no control quorum answers.
	noQuorumRetry = time.Second
	// quorumFailureTime is the minimum age of a claim, undecided at its caller's
	// deadline, that counts as evidence of a missing quorum. A younger one is
	// attributed to the caller's short deadline.
	quorumFailureTime = 500 * time.Millisecond
	// maxClaimWait bounds the wait for the decision on a claim. An election
	// takes less, and a caller with a long deadline is told early to retry.
	maxClaimWait = time.Second
	// maxQuorumAge is the age of the last confirmation by a control quorum above
	// which claims are refused without being sent: polls are held for 3 s, and a
	// control process counts as isolated after 3 s without a quorum.
	maxQuorumAge = 6 * time.Second
	// unknownOutcomeRetry is the minimum Retry-After for the outcome of a
	// request that may still be running.
	unknownOutcomeRetry = time.Second
	// maxRecordWait bounds how long an answer is delayed until its outcome is
	// recorded.
	maxRecordWait = 500 * time.Millisecond
	// lateReplyWait is the time after the caller's deadline during which a
	// target's reply is still accepted, so that a resend finds the outcome.
	lateReplyWait = 30 * time.Second
)

// submitPhase is the progress of a non-idempotent request.
type submitPhase uint8

const (
	// submitClaiming waits for the ledger's decision on the claim.
	submitClaiming submitPhase = iota
	// submitClaimed holds the claim and has no request at a target.
	submitClaimed
	// submitSent has a request at a target.
	submitSent
	// submitRecording waits for the outcome to be recorded.
	submitRecording
	// submitAnswered has been answered or refused.
	submitAnswered
)

// submit is one caller's non-idempotent request in progress.
type submit struct {
	request   SubmitArrived
	service   *service
	phase     submitPhase
	tried     map[api.TargetID]bool
	attempt   *attempt
	outcome   controlrpc.Outcome
	arrivedAt time.Time
	deadline  time.Time
}

// handleSubmitArrived claims the request's key before the request is sent. A
// request sent without a claim could run a second time through another node.
func (s *State) handleSubmitArrived(ev SubmitArrived) {
	s.counters.Submits++
	if problem := s.rejectPassedOn(ev.PassedOn, ev.Seed); problem != nil {
		s.refuse(ev.Query, problem)
		return
	}
	if ev.PassedOn == nil && s.passOn(&passedOn{query: ev.Query, submit: true, seed: ev.Seed, deadline: ev.Deadline}) {
		return
	}
	svc, problem := s.routeRequest(ev.Service, ev.Caller, ev.Seed)
	if problem == nil {
		problem = s.admitSubmit(svc, ev)
	}
	if problem == nil && (ev.QuorumAge > maxQuorumAge || !s.claimBreaker.Allow()) {
		problem = noQuorumProblem(ev.Seed)
	}
	if problem != nil {
		s.refuse(ev.Query, problem)
		return
	}
	sub := &submit{request: ev, service: svc, arrivedAt: s.now, deadline: ev.Deadline, tried: map[api.TargetID]bool{}}
	s.submits[ev.Query] = sub
	until := earliest(s.now.Add(maxClaimWait), ev.Deadline.Add(-answerMargin))
	s.emit(ClaimKey{
		Query:       ev.Query,
		Key:         ev.Key,
		KeyTimeMS:   ev.KeyTimeMS,
		Claim:       ev.Claim,
		Service:     ev.Service,
		Fingerprint: ev.Fingerprint,
		Deadline:    until,
	})
	s.emit(SetTimer{Query: ev.Query, At: until})
}

func (s *State) admitSubmit(svc *service, ev SubmitArrived) *api.Problem {
	if ev.Deadline.Sub(s.now) <= answerMargin {
		return api.NewProblem(http.StatusRequestTimeout, api.CodeDeadlineExpired, api.RanNo, "the deadline has passed")
	}
	for _, t := range svc.targets {
		if t.AcceptsWork() {
			return nil
		}
	}
	return s.unavailableProblem("no target of the service accepts work", ev.Seed)
}

// handleClaimDecided sends, answers or refuses a request according to the
// ledger's decision.
func (s *State) handleClaimDecided(ev ClaimDecided) {
	sub := s.submits[ev.Query]
	if sub == nil || sub.phase != submitClaiming {
		return
	}
	if ev.Result.Code != controlrpc.CodeOK {
		s.claimBreaker.Done(s.claimCallEnd(sub))
		s.refuseUndecidedClaim(sub, ev.Result)
		return
	}
	s.claimBreaker.Done(limit.CallSucceeded)
	switch ev.Verdict {
	case controlrpc.ClaimGranted:
		sub.phase = submitClaimed
		s.emit(SetTimer{Query: ev.Query, At: sub.deadline.Add(-answerMargin)})
		s.sendSubmit(sub)
	case controlrpc.ClaimRecorded:
		s.emit(AnswerSubmit{Query: ev.Query, Key: sub.request.Key, Outcome: ev.Outcome, Replayed: true})
		delete(s.submits, ev.Query)
	default:
		s.refuseSubmit(sub, verdictProblem(ev.Verdict, sub.request.Seed))
	}
}

// refuseUndecidedClaim refuses a request whose claim was not decided. The
// request was not and will not be sent, so it is proven not to have run. Unless
// the claim is known not to have been applied, it is recorded as not run in the
// ledger; otherwise a resend would be treated as a request that may have run.
func (s *State) refuseUndecidedClaim(sub *submit, result controlrpc.Result) {
	if !result.NotApplied {
		s.recordOutcome(sub, controlrpc.ClaimNotRun, controlrpc.Outcome{})
	}
	s.refuseSubmit(sub, noQuorumProblem(sub.request.Seed))
}

func noQuorumProblem(seed uint64) *api.Problem {
	p := api.NewProblem(http.StatusServiceUnavailable, api.CodeNoQuorum, api.RanNo,
		"no quorum of control processes confirms claims")
	return p.RetryAfter(addJitter(noQuorumRetry, seed))
}

// claimCallEnd classifies an undecided claim for the claim breaker. A claim that
// ended because of its caller's short deadline is no evidence of a missing
// quorum.
func (s *State) claimCallEnd(sub *submit) limit.CallEnd {
	expired := !s.now.Before(sub.deadline.Add(-answerMargin))
	if expired && s.now.Sub(sub.arrivedAt) < quorumFailureTime {
		return limit.CallCancelled
	}
	return limit.CallFailed
}

func verdictProblem(v controlrpc.ClaimVerdict, seed uint64) *api.Problem {
	switch v {
	case controlrpc.ClaimMismatch:
		return api.NewProblem(http.StatusUnprocessableEntity, api.CodeKeyReused, api.RanNo,
			"the key was used for another request")
	case controlrpc.ClaimExpired:
		return api.NewProblem(http.StatusGone, api.CodeKeyExpired, api.RanUnknown,
			"the key is outside the time for which outcomes are kept")
	case controlrpc.ClaimAbandoned:
		p := api.NewProblem(http.StatusServiceUnavailable, api.CodeUnavailable, api.RanNo, "the claim was given up")
		return p.RetryAfter(addJitter(unknownOutcomeRetry, seed))
	default:
		p := api.NewProblem(http.StatusConflict, api.CodeOutcomeUnknown, api.RanUnknown,
			"an earlier request with this key may have run; its outcome is not recorded")
		return p.RetryAfter(addJitter(unknownOutcomeRetry, seed))
	}
}

// sendSubmit sends the request to the best target that has not been tried. If
// there is none, the request is refused as not run.
func (s *State) sendSubmit(sub *submit) {
	if !s.now.Before(sub.deadline.Add(-answerMargin)) {
		s.refuseNotRun(sub, api.CodeDeadlineExceeded, http.StatusGatewayTimeout, "the deadline passed before it was sent")
		return
	}
	t := s.chooseSubmitTarget(sub)
	if t == nil {
		s.refuseNotRun(sub, api.CodeUnavailable, http.StatusServiceUnavailable, "no target took the request")
		return
	}
	s.lastAttempt++
	a := &attempt{id: s.lastAttempt, target: t, service: sub.service, submit: sub, started: s.now}
	s.attempts[a.id] = a
	sub.attempt = a
	sub.phase = submitSent
	sub.tried[t.ID()] = true
	t.RecordSent(uint64(a.id), s.now, 1)
	s.recordSent(t.ID(), s.expectedExecution(sub.service))
	s.emit(SendSubmit{
		Attempt:           a.id,
		Query:             sub.request.Query,
		Target:            t.ID(),
		Service:           sub.service.config.Name,
		Key:               sub.request.Key,
		Claim:             sub.request.Claim,
		Deadline:          sub.deadline.Add(-answerMargin),
		LateReplyDeadline: sub.deadline.Add(lateReplyWait),
	})
}

func (s *State) chooseSubmitTarget(sub *submit) *route.Target {
	criteria := route.Criteria{Now: s.now}
	var best *route.Target
	for _, t := range sub.service.targets {
		if !t.Reachable() || sub.tried[t.ID()] {
			continue
		}
		if best == nil || criteria.Score(t) < criteria.Score(best) {
			best = t
		}
	}
	return best
}

// handleSubmitReplied records the outcome before the caller is answered, so
// that a resend through any node finds it.
func (s *State) handleSubmitReplied(ev SubmitReplied) {
	a := s.attempts[ev.Attempt]
	if a == nil || a.submit == nil {
		return
	}
	delete(s.attempts, ev.Attempt)
	s.recordAnswer()
	a.target.RecordReply(uint64(a.id), s.now, ev.Header.InFlight)
	s.applyHeader(a.target, ev.Header)
	s.counters.SubmitsRan++
	sub := a.submit
	sub.attempt = nil
	sub.outcome = controlrpc.Outcome{Status: ev.Status, Result: ev.Result}
	s.recordOutcome(sub, controlrpc.ClaimRan, sub.outcome)
	if sub.phase == submitAnswered {
		return
	}
	sub.phase = submitRecording
	s.emit(SetTimer{Query: sub.request.Query, At: earliest(s.now.Add(maxRecordWait), sub.deadline.Add(-answerMargin))})
	s.dispatchWaiting(a.service)
}

// handleSubmitFailure sends the request to another target only if it is proven
// that the failed target did not run it.
func (s *State) handleSubmitFailure(a *attempt, ev AttemptFailed) {
	sub := a.submit
	sub.attempt = nil
	provenNotRun := ev.NotRun || ev.Kind == FailureConnect
	if sub.phase == submitAnswered {
		if provenNotRun {
			s.recordOutcome(sub, controlrpc.ClaimNotRun, controlrpc.Outcome{})
		}
		return
	}
	if provenNotRun {
		sub.phase = submitClaimed
		s.sendSubmit(sub)
		return
	}
	s.refuseUnknownOutcome(sub)
}

// handleSubmitTimeout answers a request whose timer has expired according to
// its phase.
func (s *State) handleSubmitTimeout(sub *submit) {
	switch sub.phase {
	case submitClaiming:
		s.claimBreaker.Done(s.claimCallEnd(sub))
		s.refuseUndecidedClaim(sub, controlrpc.Result{Code: controlrpc.CodeNoQuorum})
	case submitClaimed:
		s.refuseNotRun(sub, api.CodeDeadlineExceeded, http.StatusGatewayTimeout, "the deadline passed before it was sent")
	case submitSent:
		s.refuseUnknownOutcome(sub)
	case submitRecording:
		s.answerSubmit(sub)
	case submitAnswered:
	}
}

// handleOutcomeRecorded answers the caller once recording the outcome has ended.
func (s *State) handleOutcomeRecorded(ev OutcomeRecorded) {
	sub := s.submits[ev.Query]
	if sub != nil && sub.phase == submitRecording {
		s.answerSubmit(sub)
	}
}

func (s *State) answerSubmit(sub *submit) {
	s.emit(AnswerSubmit{Query: sub.request.Query, Key: sub.request.Key, Outcome: sub.outcome})
	sub.phase = submitAnswered
	delete(s.submits, sub.request.Query)
}

// refuseUnknownOutcome answers that the request may have run. The claim stays
// held, so that the request never runs again; a late reply is still recorded.
func (s *State) refuseUnknownOutcome(sub *submit) {
	s.counters.SubmitsUnknown++
	p := api.NewProblem(http.StatusGatewayTimeout, api.CodeOutcomeUnknown, api.RanUnknown,
		"the target did not tell whether it ran the request; resend with the same key for the outcome")
	s.refuseSubmit(sub, p.RetryAfter(addJitter(unknownOutcomeRetry, sub.request.Seed)))
}

// refuseNotRun refuses a request that is proven not to have run, and records
// that in the ledger so that a resend can claim the key.
func (s *State) refuseNotRun(sub *submit, code api.Code, status int, detail string) {
	s.recordOutcome(sub, controlrpc.ClaimNotRun, controlrpc.Outcome{})
	p := api.NewProblem(status, code, api.RanNo, detail)
	s.refuseSubmit(sub, p.RetryAfter(addJitter(unavailableRetry, sub.request.Seed)))
}

func (s *State) refuseSubmit(sub *submit, p *api.Problem) {
	sub.phase = submitAnswered
	delete(s.submits, sub.request.Query)
	s.refuse(sub.request.Query, p)
}

func (s *State) recordOutcome(sub *submit, state controlrpc.ClaimState, outcome controlrpc.Outcome) {
	s.emit(RecordOutcome{
		Query:     sub.request.Query,
		Key:       sub.request.Key,
		KeyTimeMS: sub.request.KeyTimeMS,
		Claim:     sub.request.Claim,
		State:     state,
		Outcome:   outcome,
	})
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
