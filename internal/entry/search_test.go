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
		{name: "newer version is whole", other: []api.ShardID{0, 1}, want: second},
		{name: "newer version lacks a shard", other: []api.ShardID{0}, want: first},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, api.Service{})
			h.announce("a", api.TargetReady, first)
			h.announceShards("b", api.TargetReady, tt.other, second)
			_, effects := h.search()
			sent := all[SendShards](effects)
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
	h.announce("a", api.TargetReady, first)
	h.announce("b", api.TargetReady, first)
	_, effects := h.search()
	sent := only[SendShards](t, effects)
	effects = h.do(ShardsReplied{Attempt: sent.Attempt, Snapshot: second, Header: ready})
	assert.Equal(t, len(all[AnswerSearch](effects)), 0)
	again := only[SendShards](t, effects)
	assert.Equal(t, again.Snapshot, first)
	got := only[AnswerSearch](t, h.reply(again))
	assert.DeepEqual(t, got.Accepted, []Accepted{{Attempt: again.Attempt, Shards: []api.ShardID{0}}})
}

// fault: delayed and reordered replies x search
func TestHedgedShardCountsOnce(t *testing.T) {
	h := newHarness(t, api.Service{ExtraLoadPercent: 100})
	h.announce("a", api.TargetReady, first)
	h.announce("b", api.TargetReady, first)
	id, effects := h.search()
	late := only[SendShards](t, effects)
	h.pass(300 * time.Millisecond)
	hedge := only[SendShards](t, h.do(TimerFired{Query: id}))
	assert.Assert(t, hedge.Target != late.Target)
	got := only[AnswerSearch](t, h.reply(hedge))
	assert.Equal(t, got.Coverage.Answered, 1)
	assert.Equal(t, len(got.Accepted), 1)
	effects = h.reply(late)
	assert.Equal(t, len(all[AnswerSearch](effects)), 0)
	assert.Equal(t, only[DiscardReply](t, effects).Attempt, late.Attempt)
}

func TestVanishedSnapshotRestartsWhole(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.announceShards("a", api.TargetReady, []api.ShardID{0}, first)
	h.announceShards("b", api.TargetReady, []api.ShardID{1}, first)
	_, effects := h.search()
	sent := all[SendShards](effects)
	assert.Equal(t, len(sent), 2)
	h.reply(sent[0])
	h.announceShards("a", api.TargetReady, []api.ShardID{0}, second)
	h.announceShards("b", api.TargetReady, []api.ShardID{1}, second)
	effects = h.do(AttemptFailed{
		Attempt: sent[1].Attempt, Kind: FailureRefused, Code: api.TargetNoSnapshot, NotRun: true, Header: ready,
	})
	assert.Equal(t, only[DiscardReply](t, effects).Attempt, sent[0].Attempt)
	again := all[SendShards](effects)
	assert.Equal(t, len(again), 2)
	h.reply(again[0])
	got := only[AnswerSearch](t, h.reply(again[1]))
	assert.Equal(t, got.Snapshot, second)
	assert.Assert(t, got.Coverage.Whole())
}

// fault: kill x search
func TestKilledReplicaCostsNoCoverage(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.announce("a", api.TargetReady, first)
	h.announce("b", api.TargetReady, first)
	_, effects := h.search()
	sent := only[SendShards](t, effects)
	effects = h.do(AttemptFailed{Attempt: sent.Attempt, Kind: FailureBroken})
	again := only[SendShards](t, effects)
	assert.Assert(t, again.Target != sent.Target)
	assert.Assert(t, only[AnswerSearch](t, h.reply(again)).Coverage.Whole())
}

func TestTooLittleCoverageIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, api.Service{LeastCoverage: 1})
	h.announceShards("a", api.TargetReady, []api.ShardID{0}, first)
	h.announceShards("b", api.TargetReady, []api.ShardID{1}, first)
	_, effects := h.search()
	sent := all[SendShards](effects)
	effects = h.do(AttemptFailed{Attempt: sent[0].Attempt, Kind: FailureBroken})
	refused := only[Refuse](t, effects).Problem
	assert.Equal(t, refused.Code, api.CodeLowCoverage)
	assert.Equal(t, refused.Ran, api.RanUnknown)
	assert.Assert(t, refused.RetryAfterMS > 0)
}

func TestPartialAnswerNamesMissingShards(t *testing.T) {
	h := newHarness(t, api.Service{LeastCoverage: 0.5})
	h.announceShards("a", api.TargetReady, []api.ShardID{0}, first)
	h.announceShards("b", api.TargetReady, []api.ShardID{1}, first)
	id, effects := h.search()
	sent := all[SendShards](effects)
	h.reply(sent[0])
	h.pass(time.Second)
	got := only[AnswerSearch](t, h.do(TimerFired{Query: id}))
	assert.DeepEqual(t, got.Coverage.Missing, []api.MissingShard{{Shard: 1, Reason: api.MissingDeadline}})
	assert.Equal(t, got.Coverage.Fraction, 0.5)
}

func TestDrainLearnedFromReplyStopsNewWork(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.announce("a", api.TargetReady, first)
	h.announce("b", api.TargetReady, first)
	_, effects := h.search()
	sent := only[SendShards](t, effects)
	effects = h.do(ShardsReplied{
		Attempt: sent.Attempt, Snapshot: first, Header: TargetHeader{State: api.TargetDraining, Incarnation: 1},
	})
	assert.Equal(t, only[ReportTarget](t, effects).Target, sent.Target)
	for range 20 {
		_, effects = h.search()
		next := only[SendShards](t, effects)
		assert.Assert(t, next.Target != sent.Target)
		h.reply(next)
	}
}

func TestOverloadIsRefusedAtOnceWithRetryAfter(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.announce("a", api.TargetReady, first)
	var running []SendShards
	refused := 0
	for i := range 900 {
		h.pass(20 * time.Millisecond)
		_, effects := h.search()
		running = append(running, all[SendShards](effects)...)
		for _, r := range all[Refuse](effects) {
			assert.Equal(t, r.Problem.Code, api.CodeOverloaded)
			assert.Equal(t, r.Problem.Ran, api.RanNo)
			assert.Assert(t, r.Problem.RetryAfterMS > 0)
			refused++
		}
		if i%3 == 2 && len(running) > 0 {
			effects = h.reply(running[0])
			running = append(running[1:], all[SendShards](effects)...)
		}
	}
	assert.Assert(t, refused > 0)
}

// fault: silent connection x search
func TestSilentConnectionIsReplacedWithoutBlame(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.announce("a", api.TargetReady, first)
	h.warmUp()
	id, effects := h.search()
	stuck := only[SendShards](t, effects)
	for range 2 {
		h.pass(time.Millisecond)
		_, effects = h.search()
		h.pass(4 * time.Millisecond)
		h.reply(only[SendShards](t, effects))
	}
	h.pass(4 * time.Millisecond)
	effects = h.do(TimerFired{Query: id})
	assert.Equal(t, only[CancelAttempt](t, effects).Attempt, stuck.Attempt)
	assert.Equal(t, only[CheckConnections](t, effects).Target, stuck.Target)
	assert.Equal(t, only[SendShards](t, effects).Target, stuck.Target)
	assert.Assert(t, h.state.targets["a"].Reachable())
}

func TestConfigurationNeverReverts(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.do(ConfigInstalled{Config: api.Configuration{Version: 9}})
	h.do(ConfigInstalled{Config: api.Configuration{Version: 8}})
	assert.Equal(t, h.state.ConfigVersion(), uint64(9))
}

func TestRulesSendRequestsElsewhere(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.do(ConfigInstalled{Config: api.Configuration{
		Version:  2,
		Services: map[string]api.Service{"lots": {Name: "lots"}, "canary": {Name: "canary"}},
		Rules: map[string]api.Rule{
			"one":  {Name: "one", Service: "old", Caller: "hall", To: "lots", Percent: 100},
			"loop": {Name: "loop", Service: "lots", Caller: "hall", To: "old", Percent: 100},
			"none": {Name: "none", Service: "old", To: "canary", Percent: 0},
		},
	}})
	got, _ := h.state.applyRules("old", "hall", 5)
	assert.Equal(t, got, "old", "rules that form a loop end where they began")
	got, _ = h.state.applyRules("old", "inspector", 5)
	assert.Equal(t, got, "old")
}

// fault: delayed and reordered replies x restart
func TestReplyFromBeforeARestartIsDropped(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.announceShards("a", api.TargetReady, []api.ShardID{0}, first)
	h.announceShards("b", api.TargetReady, []api.ShardID{1}, first)
	_, effects := h.search()
	sent := all[SendShards](effects)
	h.announceShards("a", api.TargetReady, []api.ShardID{0}, second)
	h.announceShards("b", api.TargetReady, []api.ShardID{1}, second)
	effects = h.do(AttemptFailed{
		Attempt: sent[1].Attempt, Kind: FailureRefused, Code: api.TargetNoSnapshot, NotRun: true, Header: ready,
	})
	assert.Equal(t, only[CancelAttempt](t, effects).Attempt, sent[0].Attempt)
	again := all[SendShards](effects)
	effects = h.reply(sent[0])
	assert.Equal(t, only[DiscardReply](t, effects).Attempt, sent[0].Attempt)
	h.reply(again[0])
	got := only[AnswerSearch](t, h.reply(again[1]))
	assert.Equal(t, got.Snapshot, second)
	assert.Equal(t, len(got.Accepted), 2)
}

func TestShardsOfASearchRunAtTheSameTime(t *testing.T) {
	tests := []struct {
		name  string
		slots int
		want  int
	}{
		{"a request for each shard where there is room", 3, 2},
		{"one request for both when there is one slot", 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, api.Service{})
			h.announceShards("a", api.TargetReady, []api.ShardID{0, 1}, first)
			h.do(ConfigInstalled{Config: api.Configuration{
				Version:   2,
				Services:  map[string]api.Service{"lots": {Name: "lots"}},
				Searchers: map[string]api.Searcher{"a": {Name: "a", Slots: tt.slots}},
			}})
			_, effects := h.search()
			assert.Equal(t, len(all[SendShards](effects)), tt.want)
		})
	}
}

// A hedge that the budget does not pay for must leave nothing behind at the
// target that it was planned for.
func TestUnpaidHedgeLeavesNoPlan(t *testing.T) {
	h := newHarness(t, api.Service{})
	for _, name := range []string{"a", "b", "c"} {
		h.announceShards(name, api.TargetReady, []api.ShardID{0, 1}, first)
	}
	for range 2 {
		id, effects := h.search()
		assert.Equal(t, len(all[SendShards](effects)), 2)
		for range 3 {
			h.pass(260 * time.Millisecond)
			h.do(TimerFired{Query: id})
		}
	}
}

func TestRetriesAreExtraRequests(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.announce("a", api.TargetReady, first)
	h.announce("b", api.TargetReady, first)
	_, effects := h.search()
	sent := only[SendShards](t, effects)
	assert.Assert(t, !sent.Extra)
	effects = h.do(AttemptFailed{Attempt: sent.Attempt, Kind: FailureRefused, Code: api.TargetDrain, NotRun: true})
	assert.Assert(t, only[SendShards](t, effects).Extra)
	assert.Equal(t, h.state.Counters().ExtraRequests, uint64(1))
}

// A search with a late request and a silent connection at the same time must
// plan the one after the other: a plan for a hedge is no place for the silent
// connection's shard to join.
//
// fault: two at once x search
func TestSilentConnectionBesideALateRequest(t *testing.T) {
	h := newHarness(t, api.Service{ExtraLoadPercent: 100})
	h.announceShards("a", api.TargetReady, []api.ShardID{0}, first)
	h.announceShards("b", api.TargetReady, []api.ShardID{1}, first)
	h.announceShards("c", api.TargetReady, []api.ShardID{0, 1}, first)
	h.warmUp()
	id, effects := h.search()
	sent := all[SendShards](effects)
	assert.Equal(t, len(sent), 2)
	silent := h.state.targets[sent[1].Target]
	silent.RecordSent(1_000_001, h.now.Add(time.Microsecond), 1)
	silent.RecordSent(1_000_002, h.now.Add(time.Microsecond), 1)
	silent.RecordReply(1_000_001, h.now.Add(time.Millisecond), 1)
	silent.RecordReply(1_000_002, h.now.Add(time.Millisecond), 1)
	silent.RecordSent(1_000_003, h.now.Add(time.Millisecond), 1)
	silent.Limit.Restart()
	h.state.targets["c"].Limit.Restart()
	h.pass(100 * time.Millisecond)
	effects = h.do(TimerFired{Query: id})
	assert.Equal(t, only[CancelAttempt](t, effects).Attempt, sent[1].Attempt)
	assert.Assert(t, len(all[SendShards](effects)) > 0)
}

// fault: two at once x search
func TestFailureDuringABackoffIsTriedAgain(t *testing.T) {
	h := newHarness(t, api.Service{Prefer: api.PreferCoverage})
	h.announceShards("a", api.TargetReady, []api.ShardID{0}, first)
	h.announceShards("b", api.TargetReady, []api.ShardID{1}, first)
	id, effects := h.search()
	sent := all[SendShards](effects)
	shed := AttemptFailed{Kind: FailureRefused, Code: api.TargetShed, NotRun: true}
	for _, e := range sent {
		shed.Attempt = e.Attempt
		effects = h.do(shed)
		assert.Equal(t, len(all[SendShards](effects)), 0, "a pause before the same replica is asked again")
	}
	var again []SendShards
	for range 3 {
		h.pass(50 * time.Millisecond)
		again = append(again, all[SendShards](h.do(TimerFired{Query: id}))...)
	}
	assert.Equal(t, len(again), 2)
}

// All connections to a target are silent, so no later request overtakes the
// stuck one; the idle ones, found silent, are the evidence.
//
// fault: silent connection x search
func TestLateRequestIsReplacedOnceIdleConnectionsAreSilent(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.announce("a", api.TargetReady, first)
	h.warmUp()
	id, effects := h.search()
	stuck := only[SendShards](t, effects)
	h.pass(10 * time.Millisecond)
	effects = h.do(TimerFired{Query: id})
	assert.Equal(t, only[CheckConnections](t, effects).Target, stuck.Target)
	h.pass(10 * time.Millisecond)
	assert.Equal(t, len(all[CheckConnections](h.do(TimerFired{Query: id}))), 0, "once for each request")
	effects = h.do(ConnectionsChecked{Target: stuck.Target, Silent: 2})
	assert.Equal(t, only[CancelAttempt](t, effects).Attempt, stuck.Attempt)
	again := only[SendShards](t, effects)
	assert.Assert(t, only[AnswerSearch](t, h.reply(again)).Coverage.Whole())
	assert.Assert(t, h.state.targets["a"].Reachable())
}
