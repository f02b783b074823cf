package entry

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
)

// init sets a fixed seed so that runs are reproducible. The flag -rapid.seed
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// simulation feeds random events to a reducer and checks the invariants on the
// effects of each.
type simulation struct {
	t          *rapid.T
	h          *harness
	shards     []SendShards
	submits    []SendSubmit
	claims     []QueryID
	unanswered map[QueryID]bool
	replied    map[AttemptID]api.Snapshot
	mayHaveRun map[QueryID]bool
}

// TestRandomEventOrdersKeepInvariants checks under random orders of replies,
// failures, hedges, announcements and claims that each request gets one answer,
// each answer uses one snapshot and states its coverage correctly, and a submit
// is sent again only if it is proven that it did not run before.
//
// fault: two at once x search
// fault: two at once x submit
func TestRandomEventOrdersKeepInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(t, rt)
		actions := []func(){s.arriveSearch, s.arriveSubmit, s.replyShards, s.failShards, s.fireTimer, s.announce, s.decideClaim, s.endSubmit, s.passTime}
		for range rapid.IntRange(10, 120).Draw(rt, "steps") {
			rapid.SampledFrom(actions).Draw(rt, "action")()
		}
		s.expireAll()
	})
}

func newSimulation(t *testing.T, rt *rapid.T) *simulation {
	h := newHarness(t, api.Service{
		LeastCoverage:    rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(rt, "least"),
		Prefer:           rapid.SampledFrom([]api.Prefer{api.PreferCoverage, api.PreferDeadline}).Draw(rt, "prefer"),
		ExtraLoadPercent: rapid.SampledFrom([]float64{2, 100}).Draw(rt, "extra"),
	})
	s := &simulation{
		t: rt, h: h, unanswered: map[QueryID]bool{}, mayHaveRun: map[QueryID]bool{},
		replied: map[AttemptID]api.Snapshot{},
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		shards := rapid.SampledFrom([][]api.ShardID{{0}, {1}, {0, 1}}).Draw(rt, "holds")
		h.announceShards(name, api.TargetReady, shards, snapshotV1)
	}
	return s
}

func (s *simulation) arriveSearch() {
	s.unanswered[s.h.lastQuery+1] = true
	_, effects := s.h.search()
	s.process(effects)
}

func (s *simulation) arriveSubmit() {
	s.unanswered[s.h.lastQuery+1] = true
	_, effects := s.h.submit()
	s.process(effects)
}

func (s *simulation) replyShards() {
	sent, ok := takeRandom(s, &s.shards)
	if !ok {
		return
	}
	snapshot := sent.Snapshot
	if rapid.IntRange(0, 9).Draw(s.t, "foreign") == 0 {
		snapshot.Version += 7
	}
	s.replied[sent.Attempt] = snapshot
	s.process(s.h.apply(ShardsReplied{Attempt: sent.Attempt, Snapshot: snapshot, Header: readyHeader}))
}

func (s *simulation) failShards() {
	sent, ok := takeRandom(s, &s.shards)
	if !ok {
		return
	}
	s.process(s.h.apply(s.failure(sent.Attempt)))
}

func (s *simulation) failure(id AttemptID) AttemptFailed {
	failures := []AttemptFailed{
		{Kind: FailureConnect, NotRun: true},
		{Kind: FailureBroken},
		{Kind: FailureTimeout, Reused: true},
		{Kind: FailureRefused, Code: api.TargetShed, NotRun: true},
		{Kind: FailureRefused, Code: api.TargetDrain, NotRun: true},
		{Kind: FailureRefused, Code: api.TargetNoSnapshot, NotRun: true},
		{Kind: FailureBadReply},
	}
	ev := rapid.SampledFrom(failures).Draw(s.t, "failure")
	ev.Attempt = id
	return ev
}

func (s *simulation) fireTimer() {
	if s.h.lastQuery == 0 {
		return
	}
	id := QueryID(rapid.Uint64Range(1, uint64(s.h.lastQuery)).Draw(s.t, "timer"))
	s.process(s.h.apply(TimerFired{Query: id}))
}

func (s *simulation) announce() {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(s.t, "target")
	state := rapid.SampledFrom([]api.TargetState{api.TargetReady, api.TargetReady, api.TargetDraining, api.TargetGone}).Draw(s.t, "state")
	shards := rapid.SampledFrom([][]api.ShardID{{0}, {1}, {0, 1}}).Draw(s.t, "shards")
	holds := rapid.SampledFrom([][]api.Snapshot{{snapshotV1}, {snapshotV2}, {snapshotV1, snapshotV2}}).Draw(s.t, "holds")
	s.h.advance(time.Millisecond)
	s.process(s.h.announceShards(name, state, shards, holds...))
	s.process(s.h.apply(Tick{}))
}

func (s *simulation) decideClaim() {
	id, ok := takeRandom(s, &s.claims)
	if !ok {
		return
	}
	decided := rapid.SampledFrom([]ClaimDecided{
		{Verdict: controlrpc.ClaimGranted},
		{Verdict: controlrpc.ClaimGranted},
		{Verdict: controlrpc.ClaimTaken},
		{Result: controlrpc.Result{Code: controlrpc.CodeNoQuorum}},
	}).Draw(s.t, "decided")
	decided.Query = id
	s.process(s.h.apply(decided))
}

func (s *simulation) endSubmit() {
	sent, ok := takeRandom(s, &s.submits)
	if !ok {
		return
	}
	if rapid.Bool().Draw(s.t, "ran") {
		s.mayHaveRun[sent.Query] = true
		s.process(s.h.apply(SubmitReplied{Attempt: sent.Attempt, Status: 200, Header: readyHeader}))
		s.process(s.h.apply(OutcomeRecorded{Query: sent.Query, OK: true}))
		return
	}
	ev := s.failure(sent.Attempt)
	s.mayHaveRun[sent.Query] = s.mayHaveRun[sent.Query] || !ev.NotRun
	s.process(s.h.apply(ev))
}

func (s *simulation) passTime() {
	s.h.advance(time.Duration(rapid.IntRange(1, 400).Draw(s.t, "ms")) * time.Millisecond)
}

// expireAll lets all deadlines pass. Each request must have been answered by
// then.
func (s *simulation) expireAll() {
	s.h.advance(time.Minute)
	for id := QueryID(1); id <= s.h.lastQuery; id++ {
		s.process(s.h.apply(TimerFired{Query: id}))
	}
	if len(s.unanswered) != 0 {
		s.t.Fatalf("requests without an answer: %v", s.unanswered)
	}
	if n := s.h.state.InProgress(); n != 0 {
		s.t.Fatalf("%d requests are still in progress", n)
	}
}

func (s *simulation) process(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case SendShards:
			s.shards = append(s.shards, e)
		case SendSubmit:
			if s.mayHaveRun[e.Query] {
				s.t.Fatalf("submit %d was sent again although it may have run", e.Query)
			}
			s.submits = append(s.submits, e)
		case ClaimKey:
			s.claims = append(s.claims, e.Query)
		case AnswerSearch:
			s.markAnswered(e.Query)
			s.checkAnswer(e)
		case AnswerSubmit:
			s.markAnswered(e.Query)
		case Refuse:
			s.markAnswered(e.Query)
			if e.Problem.Ran == api.RanNo && s.mayHaveRun[e.Query] {
				s.t.Fatalf("request %d was reported as not run although it may have run", e.Query)
			}
		}
	}
}

func (s *simulation) markAnswered(id QueryID) {
	if !s.unanswered[id] {
		s.t.Fatalf("request %d was answered twice", id)
	}
	delete(s.unanswered, id)
}

func (s *simulation) checkAnswer(e AnswerSearch) {
	covered := map[api.ShardID]bool{}
	for _, part := range e.Accepted {
		if s.replied[part.Attempt] != e.Snapshot {
			s.t.Fatalf("answer on snapshot %s merges a reply on snapshot %s", e.Snapshot, s.replied[part.Attempt])
		}
		for _, shard := range part.Shards {
			if covered[shard] {
				s.t.Fatalf("shard %d was accepted twice", shard)
			}
			covered[shard] = true
		}
	}
	if len(covered) != e.Coverage.Answered || len(covered)+len(e.Coverage.Missing) != e.Coverage.Shards {
		s.t.Fatalf("coverage %+v does not match the accepted shards %v", e.Coverage, covered)
	}
	if float64(len(covered)) < s.h.state.services["lots"].config.LeastCoverage*float64(e.Coverage.Shards) {
		s.t.Fatalf("answer is below the service's least coverage")
	}
}

// takeRandom removes a random element from list and returns it.
func takeRandom[E any](s *simulation, list *[]E) (E, bool) {
	var none E
	if len(*list) == 0 {
		return none, false
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(s.t, "pick")
	e := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return e, true
}
