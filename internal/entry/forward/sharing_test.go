package forward

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

// newShareSimulation returns a simulation of five shards: those in short have one target each, the
// others five. Route "gather" needs a least coverage of them, route "plain-S" leads to shard S.
func newShareSimulation(t *testing.T, accounts bool, leastCoverage float64, short ...string) *simulation {
	shards := []string{"a", "b", "c", "d", "e"}
	gather := gatherRoute("gather", shards...)
	gather.LeastCoverage, gather.Public, gather.Priority = leastCoverage, true, 1
	routes := []api.Route{gather}
	for _, shard := range shards {
		plain := plainRoute("plain-"+shard, shard, true)
		plain.Public, plain.Priority = true, 2
		routes = append(routes, plain)
	}
	table := newTable(1, routes...)
	if accounts {
		table = withAccounts(table, api.ClientAccount{Name: "one"})
	}
	h := newHarness(t, table)
	for _, shard := range shards {
		h.addTarget(shard+"0", shard, home)
		for i := range 4 {
			if !slices.Contains(short, shard) {
				h.addTarget(fmt.Sprint(shard, i+1), shard, home)
			}
		}
	}
	return newSimulation(h, 20*time.Millisecond)
}

// lasting is how long the load of these tests lasts; targetRate is the number of requests per
// second that one target of theirs answers.
const (
	lasting    = 3 * time.Second
	targetRate = 150
)

// share returns the fraction of a host's requests that were served, and the mean number of parts
// that the answers lack.
func (s *simulation) share(host string) (served, missing float64) {
	asked, ok, lacking := 0, 0, 0
	for request, end := range s.results {
		if s.hosts[request] != host {
			continue
		}
		asked++
		if end.status == http.StatusOK {
			ok++
			lacking += end.missing
		}
	}
	s.t.Logf("%s: %d of %d served, %d parts missing", host, ok, asked, lacking)
	return float64(ok) / float64(max(1, asked)), float64(lacking) / float64(max(1, ok))
}

// TestPlainRequestsAreServedBesideGathersOfTheirShard guards against plain requests that are refused while gathers, which can leave the shard out, take its only target.
//
// fault: overload x forward
func TestPlainRequestsAreServedBesideGathersOfTheirShard(t *testing.T) {
	for _, accounts := range []bool{false, true} {
		t.Run(fmt.Sprint("accounts=", accounts), func(t *testing.T) {
			s := newShareSimulation(t, accounts, 0.8, "a")
			s.scheduleRequests("gather", 2*targetRate, 0, lasting)
			s.scheduleRequests("plain-a", targetRate/20, 0, lasting)
			s.runScheduled()
			plain, _ := s.share("plain-a")
			gathers, missing := s.share("gather")
			assert.Assert(t, gathers >= 0.99)
			assert.Assert(t, plain >= 0.99*gathers)
			assert.Assert(t, missing < 0.6, "the shard answers half of the gathers")
		})
	}
}

// TestGathersKeepPartOfShardBesidePlainRequests guards against gathers that never get a shard whose plain requests could use it up.
//
// fault: overload x forward
func TestGathersKeepPartOfShardBesidePlainRequests(t *testing.T) {
	for _, accounts := range []bool{false, true} {
		t.Run(fmt.Sprint("accounts=", accounts), func(t *testing.T) {
			s := newShareSimulation(t, accounts, 0.8, "a")
			s.scheduleRequests("gather", targetRate, 0, lasting)
			s.scheduleRequests("plain-a", 2*targetRate, 0, lasting)
			s.runScheduled()
			plain, _ := s.share("plain-a")
			gathers, missing := s.share("gather")
			assert.Assert(t, gathers >= 0.99)
			assert.Assert(t, missing <= 0.9, "a tenth of the gathers must have the shard")
			assert.Assert(t, plain >= 0.25)
		})
	}
}

// TestNeededGatherPartsAreServedBesidePlainRequests guards against one kind of request starving where both fail without the shard.
//
// fault: overload x forward
func TestNeededGatherPartsAreServedBesidePlainRequests(t *testing.T) {
	for _, tc := range []struct {
		name     string
		coverage float64
		short    []string
	}{
		{"all parts needed", 1, []string{"a"}},
		{"two shards short, one may be left out", 0.8, []string{"a", "b"}},
	} {
		for _, accounts := range []bool{false, true} {
			t.Run(fmt.Sprint(tc.name, ", accounts=", accounts), func(t *testing.T) {
				s := newShareSimulation(t, accounts, tc.coverage, tc.short...)
				s.scheduleRequests("gather", targetRate, 0, lasting)
				for _, shard := range tc.short {
					s.scheduleRequests("plain-"+shard, targetRate/2, 0, lasting)
				}
				s.runScheduled()
				gathers, _ := s.share("gather")
				for _, shard := range tc.short {
					plain, _ := s.share("plain-" + shard)
					// CONFIG: at least a quarter as often as the others.
					assert.Assert(t, plain >= gathers/4 && gathers >= plain/4, "plain %.2f, gathers %.2f", plain, gathers)
					assert.Assert(t, plain >= 0.25 && gathers >= 0.25, "plain %.2f, gathers %.2f", plain, gathers)
				}
			})
		}
	}
}

// TestArrivalTakesNoRoomFromQueuedRequests guards against new parts that take the room of a target before what waits for it.
//
// fault: overload x forward
func TestArrivalTakesNoRoomFromQueuedRequests(t *testing.T) {
	gather := gatherRoute("gather", "a", "b")
	gather.LeastCoverage = 0.5
	h := newHarness(t, newTable(1, gather, plainRoute("plain", "a", true)))
	h.addTarget("a1", "a", home)
	h.addTarget("b1", "b", home)
	busy := h.arrive("gather")
	for _, send := range h.sends(busy) {
		if send.Target == "a1" { // other nodes keep the target full
			h.arrive("plain")
			delete(h.inFlight, send.Attempt)
			h.apply(AttemptEnded{Attempt: send.Attempt, Outcome: OutcomeSuccess, Status: 200, Load: LoadReport{Known: true, Running: 3, Waiting: 20}})
		}
	}
	plain := h.arrive("plain")
	assert.Equal(t, len(h.sends(plain)), 0, "the target is full")
	h.advance(loadReportLifetime / 5 * 4) // its load is not known to be that high any more
	later := h.arrive("gather")
	assert.Equal(t, len(h.sends(plain)), 1)
	h.onlySend(later)
}

// TestPlainRequestGetsScarceTokensBeforeOptionalParts guards against refusing a plain request at once because parts that gathers can do without wait for a target with a rate limit.
//
// fault: overload x forward
func TestPlainRequestGetsScarceTokensBeforeOptionalParts(t *testing.T) {
	gather := gatherRoute("gather", "a", "b")
	gather.LeastCoverage = 0.5
	h := newHarness(t, newTable(1, gather, plainRoute("plain", "a", true)))
	h.addTarget("a1", "a", home)
	h.addTarget("b1", "b", home)
	first := h.arrive("plain")
	send := h.onlySend(first)
	delete(h.inFlight, send.Attempt)
	h.apply(AttemptEnded{Attempt: send.Attempt, Outcome: OutcomeSuccess, Status: 200, Limit: RateLimit{Known: true, Named: true, PerSecond: 12}})
	for range 12 {
		h.arrive("gather")
	}
	plain := h.arrive("plain")
	for range 30 {
		h.advance(10 * time.Millisecond)
		for id := range h.state.requests {
			h.apply(TimerFired{Request: id})
		}
		for _, s := range h.sends(plain) {
			h.endAttempt(s.Attempt, OutcomeSuccess, 200)
		}
	}
	answered := false
	for _, relay := range find[Relay](h.allEffects) {
		answered = answered || relay.Request == plain
	}
	assert.Assert(t, answered, "%+v", find[Refuse](h.allEffects))
}

// TestSummaryOfRefusedRequestTellsWhatItWaitedFor guards against logs that show neither the wait of a queued request that is refused nor what it waited behind.
func TestSummaryOfRefusedRequestTellsWhatItWaitedFor(t *testing.T) {
	h := newHarness(t, newTable(1, plainRoute("plain", "a", true), gatherRoute("gather", "a")))
	h.addTarget("a1", "a", home)
	for len(h.state.pools["a"].waiting) < 2 {
		h.arrive("gather")
	}
	plain := h.arrive("plain")
	refusals := find[Refuse](h.fireTimer(plain))
	assert.Equal(t, len(refusals), 1)
	summary := refusals[0].Summary
	assert.Equal(t, summary.Queued, summary.Took)
	assert.Equal(t, summary.QueueLength, 2)
	assert.Equal(t, summary.LeavingTargets, 0)
	h.apply(TargetChanged{Announcement: api.Announcement{
		Target: "a1", Service: "a", DataCentre: home, Incarnation: 1, Sequence: 2, Address: "10.0.0.1:1000", State: api.TargetDraining, Slots: 3,
	}})
	summary = find[Refuse](h.apply(RequestArrived{Request: 99, Host: "plain", Path: "/a/x", Deadline: h.now.Add(5 * time.Second)}))[0].Summary
	assert.Equal(t, summary.LeavingTargets, 1)
}
