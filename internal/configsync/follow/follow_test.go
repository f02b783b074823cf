package follow

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wigeonbay/internal/api"
	"wigeonbay/internal/clusterconfig"
	"wigeonbay/internal/controlrpc"
)

// fakeNode simulates a control process or an entry node.
type fakeNode struct {
	version uint64
	// hasQuorum reports whether a control process is confirmed by a quorum.
	// Without one, its quorum age grows from quorumLostAt, or is -1 if that is
	// zero.
	hasQuorum    bool
	quorumLostAt time.Time
	silent       bool
	// replyDelay delays each reply of a control process.
	replyDelay time.Duration
	// ready is used for entry nodes only.
	ready   bool
	fetches int
}

// simulation runs one reducer against fake nodes in virtual time.
type simulation struct {
	t           *testing.T
	now         time.Time
	state       *State
	fakes       map[string]*fakeNode
	peers       []api.EntryMember
	pending     []scheduledEvent
	versions    []uint64
	logKinds    []LogEventKind
	wholeDeltas int
	tickets     int
}

type scheduledEvent struct {
	at    time.Time
	event func(at time.Time) Event
}

func newSimulation(t *testing.T, fakes map[string]*fakeNode) *simulation {
	sim := &simulation{t: t, now: time.Unix(1_000_000, 0), fakes: fakes}
	cfg := Config{ID: "entry-1", DataCentre: "oeste", Timing: DefaultTiming(), RandomSeed: 3}
	for _, dc := range []string{"oeste", "serra", "litoral"} {
		cfg.Controls = append(cfg.Controls, Control{ID: "control-" + dc, Address: "control-" + dc, DataCentre: dc})
	}
	for _, id := range []string{"entry-2", "entry-3", "entry-far"} {
		if fakes[id] == nil {
			continue
		}
		dc := "oeste"
		if id == "entry-far" {
			dc = "serra"
		}
		sim.peers = append(sim.peers, api.EntryMember{ID: id, Address: id, DataCentre: dc, State: "alive"})
	}
	sim.state = New(cfg, sim.now)
	return sim
}

// run advances the time in ticks of 100 ms and delivers the replies that are due
// between them.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.step(Tick{At: sim.now, Peers: sim.peers})
		next := sim.now.Add(100 * time.Millisecond)
		for {
			i := slices.IndexFunc(sim.pending, func(e scheduledEvent) bool { return e.at.Before(next) })
			if i < 0 {
				break
			}
			e := sim.pending[i]
			sim.pending = slices.Delete(sim.pending, i, i+1)
			sim.step(e.event(e.at))
		}
		sim.now = next
	}
}

func (sim *simulation) step(event Event) {
	for _, effect := range slices.Clone(sim.state.Step(event)) {
		switch e := effect.(type) {
		case FetchFromControl:
			sim.replyFromControl(event.time(), e)
		case FetchFromPeer:
			sim.replyFromPeer(event.time(), e)
		case Applied:
			sim.versions = append(sim.versions, e.Configuration.Version)
		case LogEvent:
			sim.logKinds = append(sim.logKinds, e.Kind)
		}
	}
}

func (sim *simulation) scheduleReply(at time.Time, event func(at time.Time) Event) {
	sim.pending = append(sim.pending, scheduledEvent{at: at, event: event})
}

func (sim *simulation) replyFromControl(at time.Time, e FetchFromControl) {
	f := sim.fakes[e.Address]
	f.fetches++
	delay := f.replyDelay + time.Millisecond
	if f.version <= e.Since {
		delay += e.Wait
	}
	if f.silent || delay > e.Timeout {
		sim.scheduleReply(at.Add(e.Timeout), func(at time.Time) Event {
			return ControlFetchDone{At: at, Token: e.Token, Failed: true}
		})
		return
	}
	sim.scheduleReply(at.Add(delay), func(at time.Time) Event {
		reply := controlrpc.FetchReply{Applied: f.version, Delta: sim.delta(e.Since, f.version)}
		if !f.hasQuorum {
			reply.QuorumAgeMS = -1
			if !f.quorumLostAt.IsZero() {
				reply.QuorumAgeMS = at.Sub(f.quorumLostAt).Milliseconds()
			}
		}
		if e.Confirmed && !f.hasQuorum {
			reply = controlrpc.FetchReply{Result: controlrpc.Result{Code: controlrpc.CodeNoQuorum}, QuorumAgeMS: -1}
		}
		return ControlFetchDone{At: at, Token: e.Token, Reply: reply}
	})
}

func (sim *simulation) replyFromPeer(at time.Time, e FetchFromPeer) {
	f := sim.fakes[e.Address]
	f.fetches++
	failed := f.silent
	if failed {
		at = at.Add(e.Timeout)
	}
	sim.scheduleReply(at.Add(time.Millisecond), func(at time.Time) Event {
		return PeerFetchDone{At: at, Token: e.Token, Failed: failed, Reply: PeerReply{
			Ready:   f.ready,
			Version: f.version,
			Delta:   sim.delta(e.Since, f.version),
			AgeMS:   -1,
		}}
	})
}

// delta returns the changes from version since to version to: as tickets if
// there are fewer than 100, else as a whole configuration.
func (sim *simulation) delta(since, to uint64) api.ConfigDelta {
	d := api.ConfigDelta{From: since, To: max(since, to)}
	switch {
	case since >= to:
	case to-since < 100:
		d.Tickets = ticketsBetween(since, to)
		sim.tickets += len(d.Tickets)
	default:
		whole := clusterconfig.Empty()
		whole.Version = to
		d.Whole = &whole
		sim.wholeDeltas++
	}
	return d
}

func ticketsBetween(since, to uint64) []api.Ticket {
	var tickets []api.Ticket
	for v := since + 1; v <= to; v++ {
		tickets = append(tickets, api.Ticket{Number: v, Services: []api.Service{{Name: fmt.Sprint("service-", v%7)}}})
	}
	return tickets
}

// init sets a fixed seed for rapid. A command-line flag overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func threeControls(version uint64) map[string]*fakeNode {
	return map[string]*fakeNode{
		"control-oeste":   {version: version, hasQuorum: true},
		"control-serra":   {version: version, hasQuorum: true},
		"control-litoral": {version: version, hasQuorum: true},
	}
}

// fault: control VM alone for long x restart
// fault: cut of one data centre x restart
func TestReadyAfterRestart(t *testing.T) {
	type setup map[string]*fakeNode
	tests := []struct {
		name    string
		fakes   setup
		ready   bool
		version uint64
		logKind LogEventKind
	}{
		{"quorum confirms", threeControls(7), true, 7, LogReady},
		{"local control process is isolated and behind", setup{
			"control-oeste":   {version: 3},
			"control-serra":   {version: 7, hasQuorum: true},
			"control-litoral": {version: 7, hasQuorum: true},
		}, true, 7, LogReady},
		{"only a remote control process replies, with a quorum", setup{
			"control-oeste":   {silent: true},
			"control-serra":   {silent: true},
			"control-litoral": {version: 7, hasQuorum: true},
		}, true, 7, LogReady},
		{"no quorum, a peer has a higher version than the local control process", setup{
			"control-oeste":   {version: 5},
			"control-serra":   {silent: true},
			"control-litoral": {silent: true},
			"entry-2":         {version: 6, ready: true},
			"entry-3":         {version: 4, ready: true},
		}, true, 6, LogReadyUnconfirmed},
		{"no quorum, the local control process is ahead", setup{
			"control-oeste":   {version: 9},
			"control-serra":   {silent: true},
			"control-litoral": {silent: true},
			"entry-2":         {version: 6, ready: true},
		}, true, 9, LogReadyUnconfirmed},
		{"no quorum, only a peer replies", setup{
			"control-oeste":   {silent: true},
			"control-serra":   {silent: true},
			"control-litoral": {silent: true},
			"entry-2":         {version: 6, ready: true},
		}, true, 6, LogReadyUnconfirmed},
		{"only a node that is not ready replies", setup{
			"control-oeste":   {silent: true},
			"control-serra":   {silent: true},
			"control-litoral": {silent: true},
			"entry-2":         {},
		}, false, 0, 0},
		{"no replies", setup{
			"control-oeste":   {silent: true},
			"control-serra":   {silent: true},
			"control-litoral": {silent: true},
			"entry-2":         {silent: true, ready: true},
		}, false, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(t, tt.fakes)
			for range 200 {
				sim.run(100 * time.Millisecond)
				if sim.state.Ready() {
					break
				}
			}
			assert.Equal(t, sim.state.Ready(), tt.ready)
			assert.Equal(t, sim.state.Version(), tt.version)
			if tt.ready {
				assert.Assert(t, slices.Contains(sim.logKinds, tt.logKind))
				assert.Equal(t, sim.state.Age(sim.now) >= 0, tt.logKind == LogReady)
			}
		})
	}
}

// TestReadyWaitsForSlowestReply checks that a node without a quorum becomes
// ready only after the slowest reply, which has the highest version here.
//
// fault: delayed and reordered replies x restart
func TestReadyWaitsForSlowestReply(t *testing.T) {
	sim := newSimulation(t, map[string]*fakeNode{
		"control-oeste":   {version: 5, replyDelay: 900 * time.Millisecond},
		"control-serra":   {silent: true},
		"control-litoral": {silent: true},
		"entry-2":         {version: 4, ready: true},
	})
	for range 200 {
		if sim.state.Ready() {
			break
		}
		sim.run(100 * time.Millisecond)
	}
	assert.Assert(t, sim.state.Ready())
	assert.Equal(t, sim.state.Version(), uint64(5))
}

// TestRestartAfterHundredsOfChanges checks that a restarted node catches up by
// one whole configuration and then by tickets.
//
// fault: restart after hundreds of changes x restart
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	sim := newSimulation(t, threeControls(840))
	sim.run(time.Second)
	assert.Assert(t, sim.state.Ready())
	assert.DeepEqual(t, sim.versions, []uint64{840})
	assert.Equal(t, sim.wholeDeltas, 1)
	for _, f := range sim.fakes {
		f.version = 843
	}
	sim.run(10 * time.Second)
	assert.DeepEqual(t, sim.versions, []uint64{840, 843})
	assert.Equal(t, sim.wholeDeltas, 1)
	assert.Equal(t, sim.tickets, 3)

	reply := sim.state.Serve(841, sim.now)
	assert.Equal(t, len(reply.Delta.Tickets), 2, "a peer slightly behind must get the recent tickets")
	reply = sim.state.Serve(12, sim.now)
	assert.Equal(t, reply.Delta.Whole.Version, uint64(843), "a peer far behind must get the whole configuration")
	reply = sim.state.Serve(900, sim.now)
	assert.Equal(t, reply.Delta.To, uint64(900))
	assert.Assert(t, reply.Delta.Whole == nil)
}

// fault: control VM alone for long x ticket
// fault: silent connection x ticket
func TestSwitchesFromFailingControl(t *testing.T) {
	tests := []struct {
		name    string
		degrade func(sim *simulation, f *fakeNode)
	}{
		{"isolated", func(sim *simulation, f *fakeNode) { f.hasQuorum, f.quorumLostAt = false, sim.now }},
		{"silent", func(_ *simulation, f *fakeNode) { f.silent = true }},
		{"slow", func(_ *simulation, f *fakeNode) { f.replyDelay = 800 * time.Millisecond }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(t, threeControls(7))
			sim.run(10 * time.Second)
			local := sim.fakes["control-oeste"]
			assert.Equal(t, sim.state.following.ID, "control-oeste")
			tt.degrade(sim, local)
			sim.run(15 * time.Second)
			assert.Assert(t, sim.state.following.ID != "control-oeste")
			for id, f := range sim.fakes {
				if id != "control-oeste" {
					f.version = 8
				}
			}
			// A fake node does not end a poll in flight when its version changes, so
			// allow the time of one full poll.
			sim.run(4 * time.Second)
			assert.Equal(t, sim.state.Version(), uint64(8))

			before := local.fetches
			sim.run(10 * time.Minute)
			assert.Assert(t, local.fetches-before < 30, "polled the failing control process %d times in 10 min", local.fetches-before)
			assert.Assert(t, sim.state.Age(sim.now) < 10*time.Second)

			*local = fakeNode{version: 8, hasQuorum: true}
			sim.run(2 * time.Minute)
			assert.Equal(t, sim.state.following.ID, "control-oeste", "the local control process must be followed again")
		})
	}
}

// TestIsolatedDataCentreFollowsPeers checks that a node whose control processes
// do not reply gets versions from its peer, and logs when the confirmation by a
// quorum is lost and when it returns.
//
// fault: cut of one data centre x ticket
func TestIsolatedDataCentreFollowsPeers(t *testing.T) {
	fakes := threeControls(7)
	fakes["entry-2"] = &fakeNode{version: 7, ready: true}
	sim := newSimulation(t, fakes)
	sim.run(5 * time.Second)
	for id, f := range fakes {
		f.silent = id != "entry-2"
	}
	fakes["entry-2"].version = 9
	sim.run(10 * time.Second)
	assert.Equal(t, sim.state.Version(), uint64(9))
	assert.Assert(t, sim.state.Ready(), "a ready node must stay ready")
	sim.run(time.Minute)
	assert.Assert(t, sim.state.Age(sim.now) > 30*time.Second)
	assert.Assert(t, slices.Contains(sim.logKinds, LogUnconfirmed))
	for id, f := range fakes {
		if id != "entry-2" {
			*f = fakeNode{version: 12, hasQuorum: true}
		}
	}
	sim.run(90 * time.Second)
	assert.Equal(t, sim.state.Version(), uint64(12))
	assert.Assert(t, slices.Contains(sim.logKinds, LogConfirmed))
}

// TestPollInterval checks that a control process that replies to every poll at
// once is not polled in a tight loop.
func TestPollInterval(t *testing.T) {
	sim := newSimulation(t, threeControls(7))
	sim.state.timing.Wait = 0
	sim.run(10 * time.Second)
	assert.Assert(t, sim.fakes["control-oeste"].fetches <= 60, "polled %d times in 10 s", sim.fakes["control-oeste"].fetches)
}

// TestVersionNeverDecreases delivers replies with random versions and delays, or
// none at all.
//
// fault: delayed and reordered replies x ticket
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(t, threeControls(rapid.Uint64Range(0, 5).Draw(rt, "first")))
		var last uint64
		for range 40 {
			f := sim.fakes[rapid.SampledFrom([]string{"control-oeste", "control-serra", "control-litoral"}).Draw(rt, "control")]
			f.version = rapid.Uint64Range(0, 300).Draw(rt, "version")
			f.hasQuorum = rapid.Bool().Draw(rt, "quorum")
			f.replyDelay = time.Duration(rapid.IntRange(0, 3000).Draw(rt, "reply delay")) * time.Millisecond
			f.silent = rapid.Bool().Draw(rt, "silent")
			sim.run(time.Duration(rapid.IntRange(1, 30).Draw(rt, "ticks")) * 100 * time.Millisecond)
			if sim.state.Version() < last {
				rt.Fatalf("version decreased from %d to %d", last, sim.state.Version())
			}
			last = sim.state.Version()
		}
		for i := 1; i < len(sim.versions); i++ {
			if sim.versions[i] <= sim.versions[i-1] {
				rt.Fatalf("applied versions %v", sim.versions)
			}
		}
	})
}
