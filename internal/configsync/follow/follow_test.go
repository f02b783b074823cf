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

// fake is a control process or an entry node that can be asked.
type fake struct {
	version uint64
	// quorum tells that a quorum stands behind a control process; without one
	// its quorum age grows from cutAt.
	quorum bool
	cutAt  time.Time
	silent bool
	// late is added to each reply.
	late time.Duration
	// ready is for an entry node.
	ready bool
	asked int
}

// world runs one reducer against fakes in virtual time.
type world struct {
	t        *testing.T
	now      time.Time
	state    *State
	fakes    map[string]*fake
	peers    []api.EntryMember
	pending  []timed
	versions []uint64
	notes    []NoteKind
	wholes   int
	tickets  int
}

type timed struct {
	at    time.Time
	event func(at time.Time) Event
}

func newWorld(t *testing.T, fakes map[string]*fake) *world {
	w := &world{t: t, now: time.Unix(1_000_000, 0), fakes: fakes}
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
		w.peers = append(w.peers, api.EntryMember{ID: id, Address: id, DataCentre: dc, State: "alive"})
	}
	w.state = New(cfg, w.now)
	return w
}

// run advances in ticks of 100 ms; answers come in between.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step(Tick{At: w.now, Peers: w.peers})
		next := w.now.Add(100 * time.Millisecond)
		for {
			i := slices.IndexFunc(w.pending, func(e timed) bool { return e.at.Before(next) })
			if i < 0 {
				break
			}
			e := w.pending[i]
			w.pending = slices.Delete(w.pending, i, i+1)
			w.step(e.event(e.at))
		}
		w.now = next
	}
}

func (w *world) step(event Event) {
	for _, effect := range slices.Clone(w.state.Step(event)) {
		switch e := effect.(type) {
		case AskControl:
			w.askControl(event.time(), e)
		case AskPeer:
			w.askPeer(event.time(), e)
		case Applied:
			w.versions = append(w.versions, e.Configuration.Version)
		case Note:
			w.notes = append(w.notes, e.Kind)
		}
	}
}

func (w *world) answerAt(at time.Time, event func(at time.Time) Event) {
	w.pending = append(w.pending, timed{at: at, event: event})
}

func (w *world) askControl(at time.Time, e AskControl) {
	f := w.fakes[e.Address]
	f.asked++
	took := f.late + time.Millisecond
	if f.version <= e.Since {
		took += e.Wait
	}
	if f.silent || took > e.Timeout {
		w.answerAt(at.Add(e.Timeout), func(at time.Time) Event {
			return ControlAnswered{At: at, Token: e.Token, Failed: true}
		})
		return
	}
	w.answerAt(at.Add(took), func(at time.Time) Event {
		reply := controlrpc.FetchReply{Applied: f.version, Delta: w.delta(e.Since, f.version)}
		if !f.quorum {
			reply.QuorumAgeMS = -1
			if !f.cutAt.IsZero() {
				reply.QuorumAgeMS = at.Sub(f.cutAt).Milliseconds()
			}
		}
		if e.Confirmed && !f.quorum {
			reply = controlrpc.FetchReply{Result: controlrpc.Result{Code: controlrpc.CodeNoQuorum}, QuorumAgeMS: -1}
		}
		return ControlAnswered{At: at, Token: e.Token, Reply: reply}
	})
}

func (w *world) askPeer(at time.Time, e AskPeer) {
	f := w.fakes[e.Address]
	f.asked++
	failed := f.silent
	if failed {
		at = at.Add(e.Timeout)
	}
	w.answerAt(at.Add(time.Millisecond), func(at time.Time) Event {
		return PeerAnswered{At: at, Token: e.Token, Failed: failed, Reply: PeerReply{
			Ready:   f.ready,
			Version: f.version,
			Delta:   w.delta(e.Since, f.version),
			AgeMS:   -1,
		}}
	})
}

// delta brings since forward: by tickets when fewer than 100 are missing.
func (w *world) delta(since, to uint64) api.ConfigDelta {
	d := api.ConfigDelta{From: since, To: max(since, to)}
	switch {
	case since >= to:
	case to-since < 100:
		d.Tickets = ticketsBetween(since, to)
		w.tickets += len(d.Tickets)
	default:
		whole := clusterconfig.Empty()
		whole.Version = to
		d.Whole = &whole
		w.wholes++
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

// init fixes rapid's seed, which a flag on the command line can still change.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func threeControls(version uint64) map[string]*fake {
	return map[string]*fake{
		"control-oeste":   {version: version, quorum: true},
		"control-serra":   {version: version, quorum: true},
		"control-litoral": {version: version, quorum: true},
	}
}

// fault: control VM alone for long x restart
// fault: cut of one data centre x restart
func TestReadyAfterRestart(t *testing.T) {
	type setup map[string]*fake
	tests := []struct {
		name    string
		fakes   setup
		ready   bool
		version uint64
		note    NoteKind
	}{
		{"a quorum confirms", threeControls(7), true, 7, NoteReady},
		{"the near control is alone and behind", setup{
			"control-oeste":   {version: 3},
			"control-serra":   {version: 7, quorum: true},
			"control-litoral": {version: 7, quorum: true},
		}, true, 7, NoteReady},
		{"only a far control is left with a quorum", setup{
			"control-oeste":   {silent: true},
			"control-serra":   {silent: true},
			"control-litoral": {version: 7, quorum: true},
		}, true, 7, NoteReady},
		{"cut off, a peer served a higher version than the near control holds", setup{
			"control-oeste":   {version: 5},
			"control-serra":   {silent: true},
			"control-litoral": {silent: true},
			"entry-2":         {version: 6, ready: true},
			"entry-3":         {version: 4, ready: true},
		}, true, 6, NoteReadyUnconfirmed},
		{"cut off, the near control is ahead", setup{
			"control-oeste":   {version: 9},
			"control-serra":   {silent: true},
			"control-litoral": {silent: true},
			"entry-2":         {version: 6, ready: true},
		}, true, 9, NoteReadyUnconfirmed},
		{"cut off, only a peer answers", setup{
			"control-oeste":   {silent: true},
			"control-serra":   {silent: true},
			"control-litoral": {silent: true},
			"entry-2":         {version: 6, ready: true},
		}, true, 6, NoteReadyUnconfirmed},
		{"only nodes that aren't ready themselves", setup{
			"control-oeste":   {silent: true},
			"control-serra":   {silent: true},
			"control-litoral": {silent: true},
			"entry-2":         {},
		}, false, 0, 0},
		{"nobody answers", setup{
			"control-oeste":   {silent: true},
			"control-serra":   {silent: true},
			"control-litoral": {silent: true},
			"entry-2":         {silent: true, ready: true},
		}, false, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, tt.fakes)
			for range 200 {
				w.run(100 * time.Millisecond)
				if w.state.Ready() {
					break
				}
			}
			assert.Equal(t, w.state.Ready(), tt.ready)
			assert.Equal(t, w.state.Version(), tt.version)
			if tt.ready {
				assert.Assert(t, slices.Contains(w.notes, tt.note))
				assert.Equal(t, w.state.Age(w.now) >= 0, tt.note == NoteReady)
			}
		})
	}
}

// TestWaitsForEveryAnswerOfItsDataCentre is the case in which the fastest
// answers are the oldest: ready must wait for the slow peer.
//
// fault: delayed and reordered replies x restart
func TestWaitsForEveryAnswerOfItsDataCentre(t *testing.T) {
	w := newWorld(t, map[string]*fake{
		"control-oeste":   {version: 5, late: 900 * time.Millisecond},
		"control-serra":   {silent: true},
		"control-litoral": {silent: true},
		"entry-2":         {version: 4, ready: true},
	})
	for range 200 {
		if w.state.Ready() {
			break
		}
		w.run(100 * time.Millisecond)
	}
	assert.Assert(t, w.state.Ready())
	assert.Equal(t, w.state.Version(), uint64(5))
}

// TestRestartAfterHundredsOfChanges catches up by one snapshot and the tail.
//
// fault: restart after hundreds of changes x restart
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	w := newWorld(t, threeControls(840))
	w.run(time.Second)
	assert.Assert(t, w.state.Ready())
	assert.DeepEqual(t, w.versions, []uint64{840})
	assert.Equal(t, w.wholes, 1)
	for _, f := range w.fakes {
		f.version = 843
	}
	w.run(10 * time.Second)
	assert.DeepEqual(t, w.versions, []uint64{840, 843})
	assert.Equal(t, w.wholes, 1)
	assert.Equal(t, w.tickets, 3)

	reply := w.state.Serve(841, w.now)
	assert.Equal(t, len(reply.Delta.Tickets), 2, "a peer a little behind gets the tail")
	reply = w.state.Serve(12, w.now)
	assert.Equal(t, reply.Delta.Whole.Version, uint64(843), "a peer far behind gets the whole")
	reply = w.state.Serve(900, w.now)
	assert.Equal(t, reply.Delta.To, uint64(900))
	assert.Assert(t, reply.Delta.Whole == nil)
}

// fault: control VM alone for long x ticket
// fault: silent connection x ticket
func TestLeavesABadControl(t *testing.T) {
	tests := []struct {
		name  string
		spoil func(w *world, f *fake)
	}{
		{"isolated", func(w *world, f *fake) { f.quorum, f.cutAt = false, w.now }},
		{"silent", func(_ *world, f *fake) { f.silent = true }},
		{"slow", func(_ *world, f *fake) { f.late = 800 * time.Millisecond }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, threeControls(7))
			w.run(10 * time.Second)
			near := w.fakes["control-oeste"]
			assert.Equal(t, w.state.following.ID, "control-oeste")
			tt.spoil(w, near)
			w.run(15 * time.Second)
			assert.Assert(t, w.state.following.ID != "control-oeste")
			for id, f := range w.fakes {
				if id != "control-oeste" {
					f.version = 8
				}
			}
			// A fake doesn't end a poll that it holds: allow for one.
			w.run(4 * time.Second)
			assert.Equal(t, w.state.Version(), uint64(8))

			before := near.asked
			w.run(10 * time.Minute)
			assert.Assert(t, near.asked-before < 30, "asked the bad control %d times in 10 min", near.asked-before)
			assert.Assert(t, w.state.Age(w.now) < 10*time.Second)

			*near = fake{version: 8, quorum: true}
			w.run(2 * time.Minute)
			assert.Equal(t, w.state.following.ID, "control-oeste", "the near control is followed again")
		})
	}
}

// TestCutOffDataCentreSettles lets a node learn a version from its peer only.
//
// fault: cut of one data centre x ticket
func TestCutOffDataCentreSettles(t *testing.T) {
	fakes := threeControls(7)
	fakes["entry-2"] = &fake{version: 7, ready: true}
	w := newWorld(t, fakes)
	w.run(5 * time.Second)
	for id, f := range fakes {
		f.silent = id != "entry-2"
	}
	fakes["entry-2"].version = 9
	w.run(10 * time.Second)
	assert.Equal(t, w.state.Version(), uint64(9))
	assert.Assert(t, w.state.Ready(), "a node that served goes on serving")
	w.run(time.Minute)
	assert.Assert(t, w.state.Age(w.now) > 30*time.Second)
	assert.Assert(t, slices.Contains(w.notes, NoteUnconfirmed))
	for id, f := range fakes {
		if id != "entry-2" {
			*f = fake{version: 12, quorum: true}
		}
	}
	w.run(90 * time.Second)
	assert.Equal(t, w.state.Version(), uint64(12))
	assert.Assert(t, slices.Contains(w.notes, NoteConfirmed))
}

// A control process that answers every poll at once must not be polled
// without a pause.
func TestPollsPause(t *testing.T) {
	w := newWorld(t, threeControls(7))
	w.state.timing.Wait = 0
	w.run(10 * time.Second)
	assert.Assert(t, w.fakes["control-oeste"].asked <= 60, "polled %d times in 10 s", w.fakes["control-oeste"].asked)
}

// TestNeverReverts feeds answers in random orders, late and repeated.
//
// fault: delayed and reordered replies x ticket
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t, threeControls(rapid.Uint64Range(0, 5).Draw(rt, "first")))
		var last uint64
		for range 40 {
			f := w.fakes[rapid.SampledFrom([]string{"control-oeste", "control-serra", "control-litoral"}).Draw(rt, "control")]
			f.version = rapid.Uint64Range(0, 300).Draw(rt, "version")
			f.quorum = rapid.Bool().Draw(rt, "quorum")
			f.late = time.Duration(rapid.IntRange(0, 3000).Draw(rt, "late")) * time.Millisecond
			f.silent = rapid.Bool().Draw(rt, "silent")
			w.run(time.Duration(rapid.IntRange(1, 30).Draw(rt, "ticks")) * 100 * time.Millisecond)
			if w.state.Version() < last {
				rt.Fatalf("version fell from %d to %d", last, w.state.Version())
			}
			last = w.state.Version()
		}
		for i := 1; i < len(w.versions); i++ {
			if w.versions[i] <= w.versions[i-1] {
				rt.Fatalf("applied versions %v", w.versions)
			}
		}
	})
}
