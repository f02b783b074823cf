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
	// noQuorumRetry is when to come back while no control quorum answers.
	noQuorumRetry = time.Second
	// claimTimeout is the time after which a claim without a decision has failed
	// for want of a quorum, and not for its caller's short deadline.
	claimTimeout = 500 * time.Millisecond
	// claimWait is how long a claim's decision is waited for: an election takes
	// less, and a caller with a long deadline learns early when to come back.
	claimWait = time.Second
	// maxQuorumAge is the age of the control quorum's last word from which claims
	// can't be decided: polls are held for 3 s, and a control process without a
	// quorum for 3 s counts as isolated.
	maxQuorumAge = 6 * time.Second
	// heldRetry is when to come back for the outcome of a request that another
	// node may be running.
	heldRetry = time.Second
	// recordWait bounds how long an outcome is held back for its record.
	recordWait = 500 * time.Millisecond
	// lateOutcome is how long a target's reply is waited for after the caller
	// was answered, so that a resend finds the outcome.
	lateOutcome = 30 * time.Second
)

// submitPhase is how far a non-idempotent request has come.
type submitPhase uint8

const (
	submitClaiming submitPhase = iota
	submitWaiting
	submitSent
	submitRecording
	submitAnswered
)

// submit is one caller's non-idempotent request in progress.
type submit struct {
	arrived  SubmitArrived
	service  *service
	phase    submitPhase
	tried    map[api.TargetID]bool
	attempt  *attempt
	outcome  controlrpc.Outcome
	since    time.Time
	deadline time.Time
}

// arriveSubmit claims the request's key before anything is sent: a request
// sent without a claim could run a second time through another node.
func (s *State) arriveSubmit(ev SubmitArrived) {
	s.counters.Submits++
	svc, problem := s.routeRequest(ev.Service, ev.Caller, ev.Seed)
	if problem == nil {
		problem = s.admitSubmit(svc, ev)
	}
	if problem == nil && (ev.QuorumAge > maxQuorumAge || !s.claims.Allow()) {
		problem = noQuorum(ev.Seed)
	}
	if problem != nil {
		s.refuse(ev.Query, problem)
		return
	}
	sub := &submit{arrived: ev, service: svc, since: s.now, deadline: ev.Deadline, tried: map[api.TargetID]bool{}}
	s.submits[ev.Query] = sub
	until := earlier(s.now.Add(claimWait), ev.Deadline.Add(-answerMargin))
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
	return s.unavailable("no target of the service accepts work", ev.Seed)
}

// decideClaim goes on with a request after the ledger's decision.
func (s *State) decideClaim(ev ClaimDecided) {
	sub := s.submits[ev.Query]
	if sub == nil || sub.phase != submitClaiming {
		return
	}
	if ev.Result.Code != controlrpc.CodeOK {
		s.claims.Done(s.claimEnd(sub))
		s.claimInDoubt(sub, ev.Result)
		return
	}
	s.claims.Done(limit.CallSucceeded)
	switch ev.Verdict {
	case controlrpc.ClaimGranted:
		sub.phase = submitWaiting
		s.emit(SetTimer{Query: ev.Query, At: sub.deadline.Add(-answerMargin)})
		s.sendSubmit(sub)
	case controlrpc.ClaimRecorded:
		s.emit(AnswerSubmit{Query: ev.Query, Key: sub.arrived.Key, Outcome: ev.Outcome, Replayed: true})
		delete(s.submits, ev.Query)
	default:
		s.endSubmit(sub, verdictProblem(ev.Verdict, sub.arrived.Seed))
	}
}

// claimInDoubt ends a request whose claim was not decided. Nothing was sent and
// nothing will be, so "not run" is proved; the claim is given up in the ledger,
// so that a resend isn't taken for one that may have run.
func (s *State) claimInDoubt(sub *submit, result controlrpc.Result) {
	if !result.NotApplied {
		s.record(sub, controlrpc.ClaimNotRun, controlrpc.Outcome{})
	}
	s.endSubmit(sub, noQuorum(sub.arrived.Seed))
}

func noQuorum(seed uint64) *api.Problem {
	p := api.NewProblem(http.StatusServiceUnavailable, api.CodeNoQuorum, api.RanNo,
		"no quorum of control processes confirms claims")
	return p.RetryAfter(spread(noQuorumRetry, seed))
}

// claimEnd judges a claim that wasn't decided: it says nothing of the quorum if
// its caller's short deadline ended it.
func (s *State) claimEnd(sub *submit) limit.CallEnd {
	expired := !s.now.Before(sub.deadline.Add(-answerMargin))
	if expired && s.now.Sub(sub.since) < claimTimeout {
		return limit.CallGivenUp
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
		return p.RetryAfter(spread(heldRetry, seed))
	default:
		p := api.NewProblem(http.StatusConflict, api.CodeOutcomeUnknown, api.RanUnknown,
			"an earlier request with this key may have run; its outcome is not recorded")
		return p.RetryAfter(spread(heldRetry, seed))
	}
}

// sendSubmit sends the request to the best target that has not refused it.
// With none left it ends as proved not run.
func (s *State) sendSubmit(sub *submit) {
	if !s.now.Before(sub.deadline.Add(-answerMargin)) {
		s.endNotRun(sub, api.CodeDeadlineExceeded, http.StatusGatewayTimeout, "the deadline passed before it was sent")
		return
	}
	t := s.chooseSubmitTarget(sub)
	if t == nil {
		s.endNotRun(sub, api.CodeUnavailable, http.StatusServiceUnavailable, "no target took the request")
		return
	}
	s.lastAttempt++
	a := &attempt{id: s.lastAttempt, target: t, service: sub.service, submit: sub, started: s.now}
	s.attempts[a.id] = a
	sub.attempt = a
	sub.phase = submitSent
	sub.tried[t.ID()] = true
	t.RecordSent(uint64(a.id), s.now, 1)
	s.emit(SendSubmit{
		Attempt:  a.id,
		Query:    sub.arrived.Query,
		Target:   t.ID(),
		Service:  sub.service.config.Name,
		Key:      sub.arrived.Key,
		Claim:    sub.arrived.Claim,
		Deadline: sub.deadline.Add(-answerMargin),
		GiveUp:   sub.deadline.Add(lateOutcome),
	})
}

func (s *State) chooseSubmitTarget(sub *submit) *route.Target {
	choice := route.Criteria{Now: s.now}
	var best *route.Target
	for _, t := range sub.service.targets {
		if !t.Reachable() || sub.tried[t.ID()] {
			continue
		}
		if best == nil || choice.Score(t) < choice.Score(best) {
			best = t
		}
	}
	return best
}

// takeSubmitReply records the outcome before the caller is answered, so that a
// resend through any node finds it.
func (s *State) takeSubmitReply(ev SubmitReplied) {
	a := s.attempts[ev.Attempt]
	if a == nil || a.submit == nil {
		return
	}
	delete(s.attempts, ev.Attempt)
	a.target.RecordReply(uint64(a.id), s.now, ev.Header.InFlight)
	s.heed(a.target, ev.Header)
	s.counters.SubmitsRan++
	sub := a.submit
	sub.attempt = nil
	sub.outcome = controlrpc.Outcome{Status: ev.Status, Result: ev.Result}
	s.record(sub, controlrpc.ClaimRan, sub.outcome)
	if sub.phase == submitAnswered {
		return
	}
	sub.phase = submitRecording
	s.emit(SetTimer{Query: sub.arrived.Query, At: earlier(s.now.Add(recordWait), sub.deadline.Add(-answerMargin))})
	s.pump(a.service)
}

// failSubmit sends the request to another target only on proof that the failed
// one did not run it.
func (s *State) failSubmit(a *attempt, ev AttemptFailed) {
	sub := a.submit
	sub.attempt = nil
	proved := ev.NotRun || ev.Kind == FailureConnect
	if sub.phase == submitAnswered {
		if proved {
			s.record(sub, controlrpc.ClaimNotRun, controlrpc.Outcome{})
		}
		return
	}
	if proved {
		sub.phase = submitWaiting
		s.sendSubmit(sub)
		return
	}
	s.unknownOutcome(sub)
}

// expireSubmit answers a request whose time is up, by what is known of it.
func (s *State) expireSubmit(sub *submit) {
	switch sub.phase {
	case submitClaiming:
		s.claims.Done(s.claimEnd(sub))
		s.claimInDoubt(sub, controlrpc.Result{Code: controlrpc.CodeNoQuorum})
	case submitWaiting:
		s.endNotRun(sub, api.CodeDeadlineExceeded, http.StatusGatewayTimeout, "the deadline passed before it was sent")
	case submitSent:
		s.unknownOutcome(sub)
	case submitRecording:
		s.answerSubmit(sub)
	case submitAnswered:
	}
}

// finishRecord answers the caller once the outcome is recorded.
func (s *State) finishRecord(ev OutcomeRecorded) {
	sub := s.submits[ev.Query]
	if sub != nil && sub.phase == submitRecording {
		s.answerSubmit(sub)
	}
}

func (s *State) answerSubmit(sub *submit) {
	s.emit(AnswerSubmit{Query: sub.arrived.Query, Key: sub.arrived.Key, Outcome: sub.outcome})
	sub.phase = submitAnswered
	delete(s.submits, sub.arrived.Query)
}

// unknownOutcome answers that the request may have run. The claim stays held,
// so that it never runs again; a reply that comes late is still recorded.
func (s *State) unknownOutcome(sub *submit) {
	s.counters.SubmitsUnknown++
	p := api.NewProblem(http.StatusGatewayTimeout, api.CodeOutcomeUnknown, api.RanUnknown,
		"the target did not tell whether it ran the request; resend with the same key for the outcome")
	s.endSubmit(sub, p.RetryAfter(spread(heldRetry, sub.arrived.Seed)))
}

// endNotRun ends a request that is proved not to have run and frees its key
// for a resend.
func (s *State) endNotRun(sub *submit, code api.Code, status int, detail string) {
	s.record(sub, controlrpc.ClaimNotRun, controlrpc.Outcome{})
	p := api.NewProblem(status, code, api.RanNo, detail)
	s.endSubmit(sub, p.RetryAfter(spread(unavailableRetry, sub.arrived.Seed)))
}

func (s *State) endSubmit(sub *submit, p *api.Problem) {
	sub.phase = submitAnswered
	delete(s.submits, sub.arrived.Query)
	s.refuse(sub.arrived.Query, p)
}

func (s *State) record(sub *submit, state controlrpc.ClaimState, outcome controlrpc.Outcome) {
	s.emit(RecordOutcome{
		Query:     sub.arrived.Query,
		Key:       sub.arrived.Key,
		KeyTimeMS: sub.arrived.KeyTimeMS,
		Claim:     sub.arrived.Claim,
		State:     state,
		Outcome:   outcome,
	})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
