package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
)

func grantedClaim(id QueryID) ClaimDecided {
	return ClaimDecided{Query: id, Verdict: controlrpc.ClaimGranted}
}

func newSubmitHarness(t *testing.T) (*harness, QueryID) {
	h := newHarness(t, api.Service{})
	h.announce("a", api.TargetReady, snapshotV1)
	h.announce("b", api.TargetReady, snapshotV1)
	id, effects := h.submit()
	assert.Equal(t, len(effectsOf[SendSubmit](effects)), 0, "nothing is sent before the claim is granted")
	assert.Equal(t, singleEffect[ClaimKey](t, effects).Claim, uint64(42))
	return h, id
}

func TestLedgerVerdicts(t *testing.T) {
	tests := []struct {
		name    string
		decided ClaimDecided
		code    api.Code
		ran     api.Ran
		retry   bool
	}{
		{"no quorum, not applied", ClaimDecided{Result: controlrpc.Result{Code: controlrpc.CodeNoQuorum, NotApplied: true}}, api.CodeNoQuorum, api.RanNo, true},
		{"no quorum, possibly applied", ClaimDecided{Result: controlrpc.Result{Code: controlrpc.CodeNoQuorum}}, api.CodeNoQuorum, api.RanNo, true},
		{"claimed by another request", ClaimDecided{Verdict: controlrpc.ClaimTaken}, api.CodeOutcomeUnknown, api.RanUnknown, true},
		{"key used for a different body", ClaimDecided{Verdict: controlrpc.ClaimMismatch}, api.CodeKeyReused, api.RanNo, false},
		{"key expired", ClaimDecided{Verdict: controlrpc.ClaimExpired}, api.CodeKeyExpired, api.RanUnknown, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, id := newSubmitHarness(t)
			tt.decided.Query = id
			effects := h.apply(tt.decided)
			p := singleEffect[Refuse](t, effects).Problem
			assert.Equal(t, p.Code, tt.code)
			assert.Equal(t, p.Ran, tt.ran)
			assert.Equal(t, p.RetryAfterMS > 0, tt.retry)
			assert.Equal(t, len(effectsOf[SendSubmit](h.apply(grantedClaim(id)))), 0, "nothing is sent after the answer")
		})
	}
}

// fault: cut both ways x submit
func TestUndecidedClaimIsReleasedInLedger(t *testing.T) {
	h, id := newSubmitHarness(t)
	h.advance(time.Second)
	effects := h.apply(TimerFired{Query: id})
	assert.Equal(t, singleEffect[Refuse](t, effects).Problem.Ran, api.RanNo)
	assert.Equal(t, singleEffect[RecordOutcome](t, effects).State, controlrpc.ClaimNotRun)
	assert.Equal(t, len(h.apply(grantedClaim(id))), 0, "a late grant sends nothing")
}

// fault: kill x submit
func TestSubmitIsResentOnlyIfProvenNotRun(t *testing.T) {
	tests := []struct {
		name   string
		failed AttemptFailed
		again  bool
	}{
		{"nothing sent", AttemptFailed{Kind: FailureConnect, NotRun: true}, true},
		{"target reports not run", AttemptFailed{Kind: FailureRefused, Code: api.TargetShed, NotRun: true}, true},
		{"connection broke", AttemptFailed{Kind: FailureBroken}, false},
		{"no reply", AttemptFailed{Kind: FailureTimeout}, false},
		{"refused without proof", AttemptFailed{Kind: FailureRefused, Code: api.TargetDeadline}, false},
		{"unusable reply", AttemptFailed{Kind: FailureBadReply}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, id := newSubmitHarness(t)
			sent := singleEffect[SendSubmit](t, h.apply(grantedClaim(id)))
			tt.failed.Attempt = sent.Attempt
			effects := h.apply(tt.failed)
			if tt.again {
				assert.Assert(t, singleEffect[SendSubmit](t, effects).Target != sent.Target)
				return
			}
			assert.Equal(t, len(effectsOf[SendSubmit](effects)), 0)
			assert.Equal(t, len(effectsOf[RecordOutcome](effects)), 0, "the claim stays held")
			assert.Equal(t, singleEffect[Refuse](t, effects).Problem.Ran, api.RanUnknown)
		})
	}
}

func TestSubmitRefusedByAllTargetsIsNotRun(t *testing.T) {
	h, id := newSubmitHarness(t)
	effects := h.apply(grantedClaim(id))
	for range 2 {
		sent := singleEffect[SendSubmit](t, effects)
		effects = h.apply(AttemptFailed{Attempt: sent.Attempt, Kind: FailureRefused, Code: api.TargetShed, NotRun: true})
	}
	assert.Equal(t, singleEffect[Refuse](t, effects).Problem.Ran, api.RanNo)
	assert.Equal(t, singleEffect[RecordOutcome](t, effects).State, controlrpc.ClaimNotRun)
}

// fault: delayed and reordered replies x submit
func TestLateReplyIsRecorded(t *testing.T) {
	h, id := newSubmitHarness(t)
	sent := singleEffect[SendSubmit](t, h.apply(grantedClaim(id)))
	h.advance(time.Second)
	assert.Equal(t, singleEffect[Refuse](t, h.apply(TimerFired{Query: id})).Problem.Ran, api.RanUnknown)
	effects := h.apply(SubmitReplied{Attempt: sent.Attempt, Status: 200, Result: "printed", Header: readyHeader})
	assert.Equal(t, singleEffect[RecordOutcome](t, effects).Outcome.Result, "printed")
	assert.Equal(t, len(effectsOf[AnswerSubmit](effects)), 0)
}

func TestOutcomeIsRecordedBeforeTheAnswer(t *testing.T) {
	h, id := newSubmitHarness(t)
	sent := singleEffect[SendSubmit](t, h.apply(grantedClaim(id)))
	effects := h.apply(SubmitReplied{Attempt: sent.Attempt, Status: 200, Result: "printed", Header: readyHeader})
	assert.Equal(t, len(effectsOf[AnswerSubmit](effects)), 0)
	assert.Equal(t, singleEffect[RecordOutcome](t, effects).State, controlrpc.ClaimRan)
	got := singleEffect[AnswerSubmit](t, h.apply(OutcomeRecorded{Query: id, OK: true}))
	assert.Equal(t, got.Outcome.Result, "printed")
	assert.Equal(t, h.state.InProgress(), 0)
}

func TestUnrecordedOutcomeIsStillAnswered(t *testing.T) {
	h, id := newSubmitHarness(t)
	sent := singleEffect[SendSubmit](t, h.apply(grantedClaim(id)))
	h.apply(SubmitReplied{Attempt: sent.Attempt, Status: 200, Result: "printed", Header: readyHeader})
	h.advance(maxRecordWait)
	assert.Equal(t, singleEffect[AnswerSubmit](t, h.apply(TimerFired{Query: id})).Outcome.Result, "printed")
}

func TestRecordedOutcomeIsReplayed(t *testing.T) {
	h, id := newSubmitHarness(t)
	outcome := controlrpc.Outcome{Status: 200, Result: "printed"}
	effects := h.apply(ClaimDecided{Query: id, Verdict: controlrpc.ClaimRecorded, Outcome: outcome})
	got := singleEffect[AnswerSubmit](t, effects)
	assert.Assert(t, got.Replayed)
	assert.Equal(t, got.Outcome, outcome)
}

// Without a quorum only one submit at a time may claim, as a trial. Others must
// be refused at once instead of waiting for their deadline, until a trial
// succeeds.
//
// fault: cut of one data centre x submit
func TestSubmitsAreRefusedAtOnceWithoutAQuorum(t *testing.T) {
	h, id := newSubmitHarness(t)
	h.advance(time.Second)
	assert.Equal(t, singleEffect[Refuse](t, h.apply(TimerFired{Query: id})).Problem.Code, api.CodeNoQuorum)
	trial, effects := h.submit()
	singleEffect[ClaimKey](t, effects)
	for range 5 {
		_, effects = h.submit()
		assert.Equal(t, len(effectsOf[ClaimKey](effects)), 0)
		p := singleEffect[Refuse](t, effects).Problem
		assert.Equal(t, p.Code, api.CodeNoQuorum)
		assert.Equal(t, p.Ran, api.RanNo)
		assert.Assert(t, p.RetryAfterMS > 0)
	}
	singleEffect[SendSubmit](t, h.apply(grantedClaim(trial)))
	_, effects = h.submit()
	singleEffect[ClaimKey](t, effects)
}

// A node whose last confirmation by a quorum is too old refuses even the first
// submit.
//
// fault: cut of one data centre x submit
func TestFirstSubmitIsRefusedAtOnceWithoutAQuorum(t *testing.T) {
	h, id := newSubmitHarness(t)
	singleEffect[SendSubmit](t, h.apply(grantedClaim(id)))
	for _, c := range []struct {
		age     time.Duration
		refused bool
	}{
		{-1, false}, {0, false}, {maxQuorumAge, false}, {maxQuorumAge + time.Millisecond, true},
	} {
		h.lastQuery++
		effects := h.apply(SubmitArrived{Query: h.lastQuery, Service: "lots", Key: "1-c", Deadline: h.now.Add(time.Minute), QuorumAge: c.age})
		if !c.refused {
			singleEffect[ClaimKey](t, effects)
			h.apply(grantedClaim(h.lastQuery))
			continue
		}
		assert.Equal(t, len(effectsOf[ClaimKey](effects)), 0)
		p := singleEffect[Refuse](t, effects).Problem
		assert.Equal(t, p.Code, api.CodeNoQuorum)
		assert.Equal(t, p.Ran, api.RanNo)
		assert.Assert(t, p.RetryAfterMS > 0)
	}
}

// A caller with a long deadline must be refused after maxClaimWait if no quorum
// decides its claim. A caller whose claim is decided keeps its own deadline.
//
// fault: cut of one data centre x submit
func TestClaimWaitIsBounded(t *testing.T) {
	h, _ := newSubmitHarness(t)
	arrive := func() (QueryID, []Effect) {
		h.lastQuery++
		return h.lastQuery, h.apply(SubmitArrived{Query: h.lastQuery, Service: "lots", Key: "1-d", Deadline: h.now.Add(time.Minute), QuorumAge: -1})
	}
	decided, _ := arrive()
	assert.Equal(t, singleEffect[SetTimer](t, h.apply(grantedClaim(decided))).At, h.now.Add(time.Minute-answerMargin))

	id, effects := arrive()
	assert.Equal(t, singleEffect[ClaimKey](t, effects).Deadline, h.now.Add(maxClaimWait))
	assert.Equal(t, singleEffect[SetTimer](t, effects).At, h.now.Add(maxClaimWait))
	h.advance(maxClaimWait)
	effects = h.apply(TimerFired{Query: id})
	p := singleEffect[Refuse](t, effects).Problem
	assert.Equal(t, p.Code, api.CodeNoQuorum)
	assert.Equal(t, p.Ran, api.RanNo)
	assert.Equal(t, singleEffect[RecordOutcome](t, effects).State, controlrpc.ClaimNotRun, "a late decision must not hold the key")
	assert.Equal(t, len(effectsOf[SendSubmit](h.apply(grantedClaim(id)))), 0)
}

func TestShortDeadlineDoesNotOpenClaimBreaker(t *testing.T) {
	h, _ := newSubmitHarness(t)
	h.lastQuery++
	h.apply(SubmitArrived{Query: h.lastQuery, Service: "lots", Key: "1-b", Deadline: h.now.Add(20 * time.Millisecond)})
	h.advance(20 * time.Millisecond)
	singleEffect[Refuse](t, h.apply(TimerFired{Query: h.lastQuery}))
	for range 2 {
		_, effects := h.submit()
		singleEffect[ClaimKey](t, effects)
	}
}
