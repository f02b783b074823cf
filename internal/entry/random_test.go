package entry

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
)

// init pins the seed, so that each run gives the same verdict; the flag
// -rapid.seed goes before it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// world drives a reducer with events in random orders and checks the promises
// after each.
type world struct {
	t       *rapid.T
	h       *harness
	shards  []SendShards
	submits []SendSubmit
	claims  []QueryID
	open    map[QueryID]bool
	replied map[AttemptID]api.Snapshot
	mayRun  map[QueryID]bool
}

// TestRandomOrdersKeepPromises checks, under random orders of replies,
// failures, hedges, announcements and claims: one answer a request, one
// snapshot an answer, true coverage, and no second dispatch of a submit without
// proof that the first did not run.
//
// fault: two at once x search
// fault: two at once x submit
func TestRandomOrdersKeepPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t, rt)
		actions := []func(){w.arrive, w.arriveSubmit, w.replyShards, w.failShards, w.fireTimer, w.announce, w.decide, w.endSubmit, w.passTime}
		for range rapid.IntRange(10, 120).Draw(rt, "steps") {
			rapid.SampledFrom(actions).Draw(rt, "action")()
		}
		w.settle()
	})
}

func newWorld(t *testing.T, rt *rapid.T) *world {
	h := newHarness(t, api.Service{
		LeastCoverage:    rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(rt, "least"),
		Prefer:           rapid.SampledFrom([]api.Prefer{api.PreferCoverage, api.PreferDeadline}).Draw(rt, "prefer"),
		ExtraLoadPercent: rapid.SampledFrom([]float64{2, 100}).Draw(rt, "extra"),
	})
	w := &world{
		t: rt, h: h, open: map[QueryID]bool{}, mayRun: map[QueryID]bool{},
		replied: map[AttemptID]api.Snapshot{},
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		shards := rapid.SampledFrom([][]api.ShardID{{0}, {1}, {0, 1}}).Draw(rt, "holds")
		h.announceShards(name, api.TargetReady, shards, first)
	}
	return w
}

func (w *world) arrive() {
	w.open[w.h.last+1] = true
	_, effects := w.h.search()
	w.take(effects)
}

func (w *world) arriveSubmit() {
	w.open[w.h.last+1] = true
	_, effects := w.h.submit()
	w.take(effects)
}

func (w *world) replyShards() {
	sent, ok := pick(w, &w.shards)
	if !ok {
		return
	}
	snapshot := sent.Snapshot
	if rapid.IntRange(0, 9).Draw(w.t, "foreign") == 0 {
		snapshot.Version += 7
	}
	w.replied[sent.Attempt] = snapshot
	w.take(w.h.do(ShardsReplied{Attempt: sent.Attempt, Snapshot: snapshot, Header: ready}))
}

func (w *world) failShards() {
	sent, ok := pick(w, &w.shards)
	if !ok {
		return
	}
	w.take(w.h.do(w.failure(sent.Attempt)))
}

func (w *world) failure(id AttemptID) AttemptFailed {
	failures := []AttemptFailed{
		{Kind: FailureConnect, NotRun: true},
		{Kind: FailureBroken},
		{Kind: FailureTimeout, Reused: true},
		{Kind: FailureRefused, Code: api.TargetShed, NotRun: true},
		{Kind: FailureRefused, Code: api.TargetDrain, NotRun: true},
		{Kind: FailureRefused, Code: api.TargetNoSnapshot, NotRun: true},
		{Kind: FailureBadReply},
	}
	ev := rapid.SampledFrom(failures).Draw(w.t, "failure")
	ev.Attempt = id
	return ev
}

func (w *world) fireTimer() {
	if w.h.last == 0 {
		return
	}
	id := QueryID(rapid.Uint64Range(1, uint64(w.h.last)).Draw(w.t, "timer"))
	w.take(w.h.do(TimerFired{Query: id}))
}

func (w *world) announce() {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(w.t, "target")
	state := rapid.SampledFrom([]api.TargetState{api.TargetReady, api.TargetReady, api.TargetDraining, api.TargetGone}).Draw(w.t, "state")
	shards := rapid.SampledFrom([][]api.ShardID{{0}, {1}, {0, 1}}).Draw(w.t, "shards")
	holds := rapid.SampledFrom([][]api.Snapshot{{first}, {second}, {first, second}}).Draw(w.t, "holds")
	w.h.pass(time.Millisecond)
	w.take(w.h.announceShards(name, state, shards, holds...))
	w.take(w.h.do(Tick{}))
}

func (w *world) decide() {
	id, ok := pick(w, &w.claims)
	if !ok {
		return
	}
	decided := rapid.SampledFrom([]ClaimDecided{
		{Verdict: controlrpc.ClaimGranted},
		{Verdict: controlrpc.ClaimGranted},
		{Verdict: controlrpc.ClaimTaken},
		{Result: controlrpc.Result{Code: controlrpc.CodeNoQuorum}},
	}).Draw(w.t, "decided")
	decided.Query = id
	w.take(w.h.do(decided))
}

func (w *world) endSubmit() {
	sent, ok := pick(w, &w.submits)
	if !ok {
		return
	}
	if rapid.Bool().Draw(w.t, "ran") {
		w.mayRun[sent.Query] = true
		w.take(w.h.do(SubmitReplied{Attempt: sent.Attempt, Status: 200, Header: ready}))
		w.take(w.h.do(OutcomeRecorded{Query: sent.Query, OK: true}))
		return
	}
	ev := w.failure(sent.Attempt)
	w.mayRun[sent.Query] = w.mayRun[sent.Query] || !ev.NotRun
	w.take(w.h.do(ev))
}

func (w *world) passTime() {
	w.h.pass(time.Duration(rapid.IntRange(1, 400).Draw(w.t, "ms")) * time.Millisecond)
}

// settle lets every deadline pass: by then each request must have its answer.
func (w *world) settle() {
	w.h.pass(time.Minute)
	for id := QueryID(1); id <= w.h.last; id++ {
		w.take(w.h.do(TimerFired{Query: id}))
	}
	if len(w.open) != 0 {
		w.t.Fatalf("requests without answer: %v", w.open)
	}
	if n := w.h.state.InProgress(); n != 0 {
		w.t.Fatalf("%d requests are still held", n)
	}
}

func (w *world) take(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case SendShards:
			w.shards = append(w.shards, e)
		case SendSubmit:
			if w.mayRun[e.Query] {
				w.t.Fatalf("submit %d is sent again although it may have run", e.Query)
			}
			w.submits = append(w.submits, e)
		case ClaimKey:
			w.claims = append(w.claims, e.Query)
		case AnswerSearch:
			w.close(e.Query)
			w.checkAnswer(e)
		case AnswerSubmit:
			w.close(e.Query)
		case Refuse:
			w.close(e.Query)
			if e.Problem.Ran == api.RanNo && w.mayRun[e.Query] {
				w.t.Fatalf("request %d is called not run although it may have run", e.Query)
			}
		}
	}
}

func (w *world) close(id QueryID) {
	if !w.open[id] {
		w.t.Fatalf("request %d has two answers", id)
	}
	delete(w.open, id)
}

func (w *world) checkAnswer(e AnswerSearch) {
	covered := map[api.ShardID]bool{}
	for _, part := range e.Accepted {
		if w.replied[part.Attempt] != e.Snapshot {
			w.t.Fatalf("answer on %s merges a reply on %s", e.Snapshot, w.replied[part.Attempt])
		}
		for _, shard := range part.Shards {
			if covered[shard] {
				w.t.Fatalf("shard %d counts twice", shard)
			}
			covered[shard] = true
		}
	}
	if len(covered) != e.Coverage.Answered || len(covered)+len(e.Coverage.Missing) != e.Coverage.Shards {
		w.t.Fatalf("coverage %+v is stated for shards %v", e.Coverage, covered)
	}
	if float64(len(covered)) < w.h.state.services["lots"].config.LeastCoverage*float64(e.Coverage.Shards) {
		w.t.Fatalf("answer is below the least coverage")
	}
}

// pick takes a random element out of list.
func pick[E any](w *world, list *[]E) (E, bool) {
	var none E
	if len(*list) == 0 {
		return none, false
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(w.t, "pick")
	e := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return e, true
}
