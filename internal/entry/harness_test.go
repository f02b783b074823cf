package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/route"
)

var (
	startTime  = time.Unix(1_000_000, 0)
	snapshotV1 = api.Snapshot{Layout: 1, Version: 1}
	snapshotV2 = api.Snapshot{Layout: 1, Version: 2}
)

// harness feeds events to a reducer and returns its effects.
type harness struct {
	t         *testing.T
	state     *State
	now       time.Time
	lastQuery QueryID
}

func newHarness(t *testing.T, service api.Service) *harness {
	h := &harness{t: t, now: startTime, state: New(Options{DataCentre: "oeste", Policy: route.PolicyShipped})}
	service.Name = "lots"
	if service.Prefer == "" {
		service.Prefer = api.PreferDeadline
	}
	h.apply(ConfigInstalled{Config: api.Configuration{
		Version:  1,
		Services: map[string]api.Service{"lots": service},
	}})
	return h
}

func (h *harness) apply(ev Event) []Effect {
	return append([]Effect(nil), h.state.Reduce(h.now, ev)...)
}

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
}

// announce announces a target that holds the given snapshots of one shard each.
func (h *harness) announce(name string, state api.TargetState, snapshots ...api.Snapshot) {
	h.announceLayout(name, state, 1, []api.ShardID{0}, snapshots...)
}

// announceShards announces a target that holds the given shards of snapshots
// with two shards each.
func (h *harness) announceShards(name string, state api.TargetState, shards []api.ShardID, snapshots ...api.Snapshot) []Effect {
	return h.announceLayout(name, state, 2, shards, snapshots...)
}

func (h *harness) announceLayout(name string, state api.TargetState, layout int, shards []api.ShardID, snapshots ...api.Snapshot) []Effect {
	a := api.Announcement{
		Target: api.TargetID(name), Incarnation: 1, Sequence: uint64(h.now.UnixNano()),
		Service: "lots", DataCentre: "oeste", Address: "127.0.0.1:1", State: state,
		Slots: 3, Connections: 30, LeaseMS: 1000,
	}
	for _, s := range snapshots {
		a.Holdings = append(a.Holdings, api.Holding{Snapshot: s, LayoutShards: layout, Shards: shards, Warm: true})
	}
	return h.apply(TargetChanged{Announcement: a})
}

func (h *harness) search() (QueryID, []Effect) {
	h.lastQuery++
	return h.lastQuery, h.apply(SearchArrived{Query: h.lastQuery, Service: "lots", Deadline: h.now.Add(time.Second), Seed: 7})
}

// warmUp answers enough searches, after 2 ms each, for the quantiles of the
// reply times to be known.
func (h *harness) warmUp() {
	for range 40 {
		_, effects := h.search()
		h.advance(2 * time.Millisecond)
		for _, e := range effectsOf[SendShards](effects) {
			h.reply(e)
		}
	}
}

func (h *harness) submit() (QueryID, []Effect) {
	h.lastQuery++
	return h.lastQuery, h.apply(SubmitArrived{
		Query: h.lastQuery, Service: "lots", Key: "1-a", KeyTimeMS: 1, Claim: 42, Deadline: h.now.Add(time.Second),
	})
}

func (h *harness) reply(e SendShards) []Effect {
	return h.apply(ShardsReplied{Attempt: e.Attempt, Snapshot: e.Snapshot, Header: readyHeader})
}

var readyHeader = TargetHeader{State: api.TargetReady, Incarnation: 1}

// singleEffect returns the only effect of type E and fails the test if there is
// not exactly one.
func singleEffect[E Effect](t *testing.T, effects []Effect) E {
	t.Helper()
	found := effectsOf[E](effects)
	assert.Equal(t, len(found), 1, "effects: %+v", effects)
	return found[0]
}

func effectsOf[E Effect](effects []Effect) []E {
	var found []E
	for _, e := range effects {
		if e, ok := e.(E); ok {
			found = append(found, e)
		}
	}
	return found
}
