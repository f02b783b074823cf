package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

func TestSearchPinsNewestWholeSnapshot(t *testing.T) {
	tests := []struct {
		name  string
		other []api.ShardID
		want  api.Snapshot
	}{
		{name: "newer version is whole", other: []api.ShardID{0, 1}, want: snapshotV2},
		{name: "newer version lacks a shard", other: []api.ShardID{0}, want: snapshotV1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, api.Service{})
			h.announce("a", api.TargetReady, snapshotV1)
			h.announceShards("b", api.TargetReady, tt.other, snapshotV2)
			_, effects := h.search()
			sent := effectsOf[SendShards](effects)
			assert.Assert(t, len(sent) > 0)
			for _, e := range sent {
				assert.Equal(t, e.Snapshot, tt.want)
			}
		})
	}
}

// fault: delayed and reordered replies x search
func TestReplyOnAnotherSnapshotIsNeverMerged(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.announce("a", api.TargetReady, snapshotV1)
	h.announce("b", api.TargetReady, snapshotV1)
	_, effects := h.search()
	sent := singleEffect[SendShards](t, effects)
	effects = h.apply(ShardsReplied{Attempt: sent.Attempt, Snapshot: snapshotV2, Header: readyHeader})
	assert.Equal(t, len(effectsOf[AnswerSearch](effects)), 0)
	again := singleEffect[SendShards](t, effects)
	assert.Equal(t, again.Snapshot, snapshotV1)
	got := singleEffect[AnswerSearch](t, h.reply(again))
	assert.DeepEqual(t, got.Accepted, []Accepted{{Attempt: again.Attempt, Shards: []api.ShardID{0}}})
}

// fault: delayed and reordered replies x search
func TestHedgedShardCountsOnce(t *testing.T) {
	h := newHarness(t, api.Service{ExtraLoadPercent: 100})
	h.announce("a", api.TargetReady, snapshotV1)
	h.announce("b", api.TargetReady, snapshotV1)
	id, effects := h.search()
	late := singleEffect[SendShards](t, effects)
	h.advance(300 * time.Millisecond)
	hedge := singleEffect[SendShards](t, h.apply(TimerFired{Query: id}))
	assert.Assert(t, hedge.Target != late.Target)
	got := singleEffect[AnswerSearch](t, h.reply(hedge))
	assert.Equal(t, got.Coverage.Answered, 1)
	assert.Equal(t, len(got.Accepted), 1)
	effects = h.reply(late)
	assert.Equal(t, len(effectsOf[AnswerSearch](effects)), 0)
	assert.Equal(t, singleEffect[DiscardReply](t, effects).Attempt, late.Attempt)
}

func TestLostSnapshotRestartsSearch(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.announceShards("a", api.TargetReady, []api.ShardID{0}, snapshotV1)
	h.announceShards("b", api.TargetReady, []api.ShardID{1}, snapshotV1)
	_, effects := h.search()
	sent := effectsOf[SendShards](effects)
	assert.Equal(t, len(sent), 2)
	h.reply(sent[0])
	h.announceShards("a", api.TargetReady, []api.ShardID{0}, snapshotV2)
	h.announceShards("b", api.TargetReady, []api.ShardID{1}, snapshotV2)
	effects = h.apply(AttemptFailed{
		Attempt: sent[1].Attempt, Kind: FailureRefused, Code: api.TargetNoSnapshot, NotRun: true, Header: readyHeader,
	})
	assert.Equal(t, singleEffect[DiscardReply](t, effects).Attempt, sent[0].Attempt)
	again := effectsOf[SendShards](effects)
	assert.Equal(t, len(again), 2)
	h.reply(again[0])
	got := singleEffect[AnswerSearch](t, h.reply(again[1]))
	assert.Equal(t, got.Snapshot, snapshotV2)
	assert.Assert(t, got.Coverage.Whole())
}

// fault: kill x search
func TestFailedReplicaDoesNotReduceCoverage(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.announce("a", api.TargetReady, snapshotV1)
	h.announce("b", api.TargetReady, snapshotV1)
	_, effects := h.search()
	sent := singleEffect[SendShards](t, effects)
	effects = h.apply(AttemptFailed{Attempt: sent.Attempt, Kind: FailureBroken})
	again := singleEffect[SendShards](t, effects)
	assert.Assert(t, again.Target != sent.Target)
	assert.Assert(t, singleEffect[AnswerSearch](t, h.reply(again)).Coverage.Whole())
}

func TestInsufficientCoverageIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, api.Service{LeastCoverage: 1})
	h.announceShards("a", api.TargetReady, []api.ShardID{0}, snapshotV1)
	h.announceShards("b", api.TargetReady, []api.ShardID{1}, snapshotV1)
	_, effects := h.search()
	sent := effectsOf[SendShards](effects)
	effects = h.apply(AttemptFailed{Attempt: sent[0].Attempt, Kind: FailureBroken})
	refused := singleEffect[Refuse](t, effects).Problem
	assert.Equal(t, refused.Code, api.CodeLowCoverage)
	assert.Equal(t, refused.Ran, api.RanUnknown)
	assert.Assert(t, refused.RetryAfterMS > 0)
}

func TestPartialAnswerNamesMissingShards(t *testing.T) {
	h := newHarness(t, api.Service{LeastCoverage: 0.5})
	h.announceShards("a", api.TargetReady, []api.ShardID{0}, snapshotV1)
	h.announceShards("b", api.TargetReady, []api.ShardID{1}, snapshotV1)
	id, effects := h.search()
	sent := effectsOf[SendShards](effects)
	h.reply(sent[0])
	h.advance(time.Second)
	got := singleEffect[AnswerSearch](t, h.apply(TimerFired{Query: id}))
	assert.DeepEqual(t, got.Coverage.Missing, []api.MissingShard{{Shard: 1, Reason: api.MissingDeadline}})
	assert.Equal(t, got.Coverage.Fraction, 0.5)
}

func TestDrainLearnedFromReplyStopsNewWork(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.announce("a", api.TargetReady, snapshotV1)
	h.announce("b", api.TargetReady, snapshotV1)
	_, effects := h.search()
	sent := singleEffect[SendShards](t, effects)
	effects = h.apply(ShardsReplied{
		Attempt: sent.Attempt, Snapshot: snapshotV1, Header: TargetHeader{State: api.TargetDraining, Incarnation: 1},
	})
	assert.Equal(t, singleEffect[ReportTarget](t, effects).Target, sent.Target)
	for range 20 {
		_, effects = h.search()
		next := singleEffect[SendShards](t, effects)
		assert.Assert(t, next.Target != sent.Target)
		h.reply(next)
	}
}

func TestOverloadIsRefusedAtOnceWithRetryAfter(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.announce("a", api.TargetReady, snapshotV1)
	var running []SendShards
	refused := 0
	for i := range 900 {
		h.advance(20 * time.Millisecond)
		_, effects := h.search()
		running = append(running, effectsOf[SendShards](effects)...)
		for _, r := range effectsOf[Refuse](effects) {
			assert.Equal(t, r.Problem.Code, api.CodeOverloaded)
			assert.Equal(t, r.Problem.Ran, api.RanNo)
			assert.Assert(t, r.Problem.RetryAfterMS > 0)
			refused++
		}
		if i%3 == 2 && len(running) > 0 {
			effects = h.reply(running[0])
			running = append(running[1:], effectsOf[SendShards](effects)...)
		}
	}
	assert.Assert(t, refused > 0)
}

// fault: silent connection x search
func TestSilentConnectionIsNotAttributedToTarget(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.announce("a", api.TargetReady, snapshotV1)
	h.warmUp()
	id, effects := h.search()
	stuck := singleEffect[SendShards](t, effects)
	for range 2 {
		h.advance(time.Millisecond)
		_, effects = h.search()
		h.advance(4 * time.Millisecond)
		h.reply(singleEffect[SendShards](t, effects))
	}
	h.advance(4 * time.Millisecond)
	effects = h.apply(TimerFired{Query: id})
	assert.Equal(t, singleEffect[CancelAttempt](t, effects).Attempt, stuck.Attempt)
	assert.Equal(t, singleEffect[CheckConnections](t, effects).Target, stuck.Target)
	assert.Equal(t, singleEffect[SendShards](t, effects).Target, stuck.Target)
	assert.Assert(t, h.state.targets["a"].Reachable())
}

func TestConfigurationNeverReverts(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.apply(ConfigInstalled{Config: api.Configuration{Version: 9}})
	h.apply(ConfigInstalled{Config: api.Configuration{Version: 8}})
	assert.Equal(t, h.state.ConfigVersion(), uint64(9))
}

func TestRoutingRuleLoopsTerminate(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.apply(ConfigInstalled{Config: api.Configuration{
		Version:  2,
		Services: map[string]api.Service{"lots": {Name: "lots"}, "canary": {Name: "canary"}},
		Rules: map[string]api.Rule{
			"one":  {Name: "one", Service: "old", Caller: "hall", To: "lots", Percent: 100},
			"loop": {Name: "loop", Service: "lots", Caller: "hall", To: "old", Percent: 100},
			"none": {Name: "none", Service: "old", To: "canary", Percent: 0},
		},
	}})
	got, _ := h.state.applyRules("old", "hall", 5)
	assert.Equal(t, got, "old", "a loop of rules ends at the service where it began")
	got, _ = h.state.applyRules("old", "inspector", 5)
	assert.Equal(t, got, "old")
}

// fault: delayed and reordered replies x restart
func TestReplyFromBeforeARestartIsDropped(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.announceShards("a", api.TargetReady, []api.ShardID{0}, snapshotV1)
	h.announceShards("b", api.TargetReady, []api.ShardID{1}, snapshotV1)
	_, effects := h.search()
	sent := effectsOf[SendShards](effects)
	h.announceShards("a", api.TargetReady, []api.ShardID{0}, snapshotV2)
	h.announceShards("b", api.TargetReady, []api.ShardID{1}, snapshotV2)
	effects = h.apply(AttemptFailed{
		Attempt: sent[1].Attempt, Kind: FailureRefused, Code: api.TargetNoSnapshot, NotRun: true, Header: readyHeader,
	})
	assert.Equal(t, singleEffect[CancelAttempt](t, effects).Attempt, sent[0].Attempt)
	again := effectsOf[SendShards](effects)
	effects = h.reply(sent[0])
	assert.Equal(t, singleEffect[DiscardReply](t, effects).Attempt, sent[0].Attempt)
	h.reply(again[0])
	got := singleEffect[AnswerSearch](t, h.reply(again[1]))
	assert.Equal(t, got.Snapshot, snapshotV2)
	assert.Equal(t, len(got.Accepted), 2)
}

func TestShardsOfASearchRunConcurrently(t *testing.T) {
	tests := []struct {
		name  string
		slots int
		want  int
	}{
		{"one request per shard if there are enough slots", 3, 2},
		{"one request for both shards if there is one slot", 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, api.Service{})
			h.announceShards("a", api.TargetReady, []api.ShardID{0, 1}, snapshotV1)
			h.apply(ConfigInstalled{Config: api.Configuration{
				Version:   2,
				Services:  map[string]api.Service{"lots": {Name: "lots"}},
				Searchers: map[string]api.Searcher{"a": {Name: "a", Slots: tt.slots}},
			}})
			_, effects := h.search()
			assert.Equal(t, len(effectsOf[SendShards](effects)), tt.want)
		})
	}
}

// A hedge that exceeds the extra-load budget must not leave a planned request
// at the target that was chosen for it. Otherwise a later hedge of the same
// search would be added to a request that does not exist.
func TestHedgeOverBudgetLeavesNoPlannedRequest(t *testing.T) {
	h := newHarness(t, api.Service{})
	for _, name := range []string{"a", "b", "c"} {
		h.announceShards(name, api.TargetReady, []api.ShardID{0, 1}, snapshotV1)
	}
	for range 2 {
		id, effects := h.search()
		assert.Equal(t, len(effectsOf[SendShards](effects)), 2)
		for range 3 {
			h.advance(260 * time.Millisecond)
			h.apply(TimerFired{Query: id})
		}
	}
}

func TestRetriesCountAsExtraRequests(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.announce("a", api.TargetReady, snapshotV1)
	h.announce("b", api.TargetReady, snapshotV1)
	_, effects := h.search()
	sent := singleEffect[SendShards](t, effects)
	assert.Assert(t, !sent.Extra)
	effects = h.apply(AttemptFailed{Attempt: sent.Attempt, Kind: FailureRefused, Code: api.TargetDrain, NotRun: true})
	assert.Assert(t, singleEffect[SendShards](t, effects).Extra)
	assert.Equal(t, h.state.Counters().ExtraRequests, uint64(1))
}

// A search with a late request and a silent connection at the same time must
// plan the hedge after the resend. Otherwise the shard of the silent connection
// could be added to the request planned for the hedge.
//
// fault: two at once x search
func TestSilentConnectionWithConcurrentLateRequest(t *testing.T) {
	h := newHarness(t, api.Service{ExtraLoadPercent: 100})
	h.announceShards("a", api.TargetReady, []api.ShardID{0}, snapshotV1)
	h.announceShards("b", api.TargetReady, []api.ShardID{1}, snapshotV1)
	h.announceShards("c", api.TargetReady, []api.ShardID{0, 1}, snapshotV1)
	h.warmUp()
	id, effects := h.search()
	sent := effectsOf[SendShards](effects)
	assert.Equal(t, len(sent), 2)
	silent := h.state.targets[sent[1].Target]
	silent.RecordSent(1_000_001, h.now.Add(time.Microsecond), 1)
	silent.RecordSent(1_000_002, h.now.Add(time.Microsecond), 1)
	silent.RecordReply(1_000_001, h.now.Add(time.Millisecond), 1)
	silent.RecordReply(1_000_002, h.now.Add(time.Millisecond), 1)
	silent.RecordSent(1_000_003, h.now.Add(time.Millisecond), 1)
	silent.Limit.Reset()
	h.state.targets["c"].Limit.Reset()
	h.advance(100 * time.Millisecond)
	effects = h.apply(TimerFired{Query: id})
	assert.Equal(t, singleEffect[CancelAttempt](t, effects).Attempt, sent[1].Attempt)
	assert.Assert(t, len(effectsOf[SendShards](effects)) > 0)
}

// fault: two at once x search
func TestFailureDuringBackoffIsRetried(t *testing.T) {
	h := newHarness(t, api.Service{Prefer: api.PreferCoverage})
	h.announceShards("a", api.TargetReady, []api.ShardID{0}, snapshotV1)
	h.announceShards("b", api.TargetReady, []api.ShardID{1}, snapshotV1)
	id, effects := h.search()
	sent := effectsOf[SendShards](effects)
	shed := AttemptFailed{Kind: FailureRefused, Code: api.TargetShed, NotRun: true}
	for _, e := range sent {
		shed.Attempt = e.Attempt
		effects = h.apply(shed)
		assert.Equal(t, len(effectsOf[SendShards](effects)), 0, "a backoff precedes the next request to the same replica")
	}
	var again []SendShards
	for range 3 {
		h.advance(50 * time.Millisecond)
		again = append(again, effectsOf[SendShards](h.apply(TimerFired{Query: id}))...)
	}
	assert.Equal(t, len(again), 2)
}

// If all connections to a target are silent, no later request overtakes the
// late one. The request must then be resent once the idle connections are found
// silent.
//
// fault: silent connection x search
func TestLateRequestIsResentAfterIdleConnectionsAreFoundSilent(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.announce("a", api.TargetReady, snapshotV1)
	h.warmUp()
	id, effects := h.search()
	stuck := singleEffect[SendShards](t, effects)
	h.advance(10 * time.Millisecond)
	effects = h.apply(TimerFired{Query: id})
	assert.Equal(t, singleEffect[CheckConnections](t, effects).Target, stuck.Target)
	h.advance(10 * time.Millisecond)
	assert.Equal(t, len(effectsOf[CheckConnections](h.apply(TimerFired{Query: id}))), 0, "connections are checked once per request")
	effects = h.apply(ConnectionsChecked{Target: stuck.Target, Silent: 2})
	assert.Equal(t, singleEffect[CancelAttempt](t, effects).Attempt, stuck.Attempt)
	again := singleEffect[SendShards](t, effects)
	assert.Assert(t, singleEffect[AnswerSearch](t, h.reply(again)).Coverage.Whole())
	assert.Assert(t, h.state.targets["a"].Reachable())
}
