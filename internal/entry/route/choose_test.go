package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/limit"
)

var (
	now      = time.Unix(1_000_000, 0)
	snapshot = api.Snapshot{Layout: 1, Version: 1}
)

func newTestTarget(name string, shards ...api.ShardID) *Target {
	t := NewTarget(api.Announcement{
		Target: api.TargetID(name), State: api.TargetReady, Slots: 3, Connections: 30,
		Holdings: []api.Holding{{Snapshot: snapshot, LayoutShards: 3, Shards: shards, Warm: true}},
	}, true)
	t.Limit = limit.NewConcurrency(3, 1)
	return t
}

// withReplies records replies at t that each took the given time.
func withReplies(t *Target, took time.Duration, times int) *Target {
	for range times {
		t.RecordSent(1, now, 1)
		t.RecordReply(1, now.Add(took), 1)
	}
	return t
}

func chosenTarget(targets ...*Target) api.TargetID {
	g := &Group{Shards: []api.ShardID{0}, Replicas: targets}
	i := Choose(g, Criteria{Now: now.Add(time.Minute), Snapshot: snapshot, SearchID: 1})
	if i < 0 {
		return ""
	}
	return targets[i].ID()
}

func TestChoose(t *testing.T) {
	const fast, slow = 10 * time.Millisecond, 30 * time.Millisecond
	tests := []struct {
		name    string
		prepare func(a, b *Target)
		want    api.TargetID
	}{
		{"lower latency", func(a, b *Target) { withReplies(a, slow, 9); withReplies(b, fast, 9) }, "b"},
		{"fewer requests in flight", func(a, b *Target) {
			withReplies(a, fast, 9)
			withReplies(b, fast, 9)
			a.RecordSent(5, now.Add(time.Minute), 1)
		}, "b"},
		{"old unanswered request", func(a, b *Target) {
			withReplies(a, fast, 9)
			withReplies(b, slow, 9)
			a.RecordSent(5, now, 1)
		}, "b"},
		{"local preferred to remote", func(a, b *Target) {
			withReplies(a, fast, 9)
			withReplies(b, slow, 9)
			a.Local = false
		}, "b"},
		{"ready preferred to warming", func(a, b *Target) {
			withReplies(a, fast, 9)
			withReplies(b, slow, 9)
			a.Announced.State = api.TargetWarming
		}, "b"},
		{"drained by an operator", func(a, b *Target) { withReplies(b, slow, 9); a.Drained = true }, "b"},
		{"draining", func(a, b *Target) { withReplies(b, slow, 9); a.Announced.State = api.TargetDraining }, "b"},
		{"snapshot lost", func(a, b *Target) { withReplies(b, slow, 9); a.RecordLostSnapshot(snapshot) }, "b"},
		{"at its concurrency limit", func(a, b *Target) {
			withReplies(a, fast, 9)
			withReplies(b, slow, 9)
			for i := range 3 {
				a.RecordSent(uint64(10+i), now.Add(time.Minute), 1)
			}
		}, "b"},
		{"ejected if no other accepts work", func(a, b *Target) { a.ejected = true; b.Drained = true }, "a"},
		{"none if the healthy replica is at its limit", func(a, b *Target) {
			a.ejected = true
			for i := range 3 {
				b.RecordSent(uint64(10+i), now, 1)
			}
		}, ""},
		{"ejected preferred to unreachable", func(a, b *Target) { a.unreachable = true; b.ejected = true }, "b"},
		{"none accepts work", func(a, b *Target) { a.Drained = true; b.Drained = true }, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, b := newTestTarget("a", 0, 1, 2), newTestTarget("b", 0, 1, 2)
			tt.prepare(a, b)
			assert.Equal(t, chosenTarget(a, b), tt.want)
		})
	}
}

func TestLatencyIsMeasuredPerShard(t *testing.T) {
	a := newTestTarget("a", 0)
	a.RecordSent(1, now, 3)
	a.RecordReply(1, now.Add(30*time.Millisecond), 1)
	assert.Equal(t, a.Latency(), 10*time.Millisecond)
}

func TestPlannedRequestsSpreadOverReplicas(t *testing.T) {
	a := withReplies(newTestTarget("a", 0, 1, 2), 10*time.Millisecond, 9)
	b := withReplies(newTestTarget("b", 0, 1, 2), 10*time.Millisecond, 9)
	a.PlanRequest(1, 0, 1)
	assert.Equal(t, chosenTarget(a, b), api.TargetID("b"))
}

func TestEject(t *testing.T) {
	tests := []struct {
		name string
		slow []time.Duration
		want int
	}{
		{"one slow target", []time.Duration{10, 10, 200}, 1},
		{"similar latencies", []time.Duration{10, 12, 14}, 0},
		{"at most a third ejected", []time.Duration{10, 10, 10, 10, 300, 300, 300}, 2},
		{"all below the minimum outlier latency", []time.Duration{0, 0, 1}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var targets []*Target
			for i, ms := range tt.slow {
				targets = append(targets, withReplies(newTestTarget(string(rune('a'+i)), 0), ms*time.Millisecond+100*time.Microsecond, minReplies))
			}
			Eject(targets, now.Add(time.Second))
			assert.Equal(t, countEjected(targets), tt.want)
		})
	}
}

func TestEjectedTargetIsReadmittedAfterSuccessfulTrials(t *testing.T) {
	a := withReplies(newTestTarget("a", 0), 300*time.Millisecond, minReplies)
	peers := []*Target{a, withReplies(newTestTarget("b", 0), 10*time.Millisecond, 9), withReplies(newTestTarget("c", 0), 10*time.Millisecond, 9)}
	assert.Equal(t, len(Eject(peers, now)), 1)
	assert.Equal(t, len(Eject(peers, now)), 0, "an ejected target is not ejected again")
	g := &Group{Replicas: peers}
	c := Criteria{Now: now.Add(trialInterval), Snapshot: snapshot}
	assert.Equal(t, DueTrial(g, c), 0)
	assert.Assert(t, !a.RecordTrialReply(peers, 300*time.Millisecond, 1), "a slow trial")
	for range trialsToReadmit - 1 {
		assert.Assert(t, !a.RecordTrialReply(peers, 10*time.Millisecond, 1))
	}
	assert.Assert(t, a.RecordTrialReply(peers, 10*time.Millisecond, 1))
	assert.Assert(t, !a.Ejected())
}
