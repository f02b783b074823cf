package load

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/catalogue"

	"gotest.tools/v3/assert"
)

const testShards = 4

func newLotsCatalogue(t *testing.T) *catalogue.Catalogue {
	t.Helper()
	c, err := catalogue.NewSized(catalogue.Lots, 400)
	assert.NilError(t, err)
	return c
}

// correctAnswer returns the whole, correct answer to a query on version 1.
func correctAnswer(c *catalogue.Catalogue, id, query string) *api.SearchAnswer {
	hits := catalogue.ExpectedHits(c, testShards, 1, query)
	return &api.SearchAnswer{
		RequestID: id, Snapshot: api.Snapshot{Layout: 1, Version: 1}, TotalHits: len(hits), Hits: hits,
		Coverage: api.Coverage{Shards: testShards, Answered: testShards, Fraction: 1},
	}
}

func TestCheckDetectsWrongAnswers(t *testing.T) {
	c := newLotsCatalogue(t)
	missing := []api.MissingShard{{Shard: 2, Reason: api.MissingDeadline}}
	dropShard := func(a *api.SearchAnswer) {
		a.Hits = slices.DeleteFunc(a.Hits, func(h api.Hit) bool { return h.Shard == 2 })
		a.TotalHits = len(a.Hits)
	}
	tests := []struct {
		name   string
		modify func(*api.SearchAnswer)
		want   Verdict
	}{
		{"whole answer", func(*api.SearchAnswer) {}, Whole},
		{"partial answer", func(a *api.SearchAnswer) {
			dropShard(a)
			a.Coverage = api.Coverage{Shards: testShards, Answered: 3, Fraction: 0.75, Missing: missing}
		}, Partial},
		{"id of another request", func(a *api.SearchAnswer) { a.RequestID = "r2" }, Foreign},
		{"hits of another query", func(a *api.SearchAnswer) { a.Hits = catalogue.ExpectedHits(c, testShards, 1, "cedro") }, Foreign},
		{"hit of another version", func(a *api.SearchAnswer) { a.Hits[0] = catalogue.ExpectedHits(c, testShards, 2, "imbuia")[0] }, Mixed},
		{"stated version is another", func(a *api.SearchAnswer) { a.Snapshot.Version = 2 }, Mixed},
		{"hits of another layout", func(a *api.SearchAnswer) { a.Hits = catalogue.ExpectedHits(c, 7, 1, "imbuia") }, Mixed},
		{"shard omitted but not listed as missing", dropShard, WrongCoverage},
		{"hit omitted", func(a *api.SearchAnswer) { a.Hits = a.Hits[1:] }, WrongCoverage},
		{"duplicate hit", func(a *api.SearchAnswer) { a.Hits = append(a.Hits, a.Hits[0]) }, WrongCoverage},
		{"hits of a shard listed as missing", func(a *api.SearchAnswer) {
			a.Coverage = api.Coverage{Shards: testShards, Answered: 3, Fraction: 0.75, Missing: missing}
		}, WrongCoverage},
		{"fraction too high", func(a *api.SearchAnswer) {
			dropShard(a)
			a.Coverage = api.Coverage{Shards: testShards, Answered: 3, Fraction: 1, Missing: missing}
		}, WrongCoverage},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			answer := correctAnswer(c, "r1", "imbuia")
			test.modify(answer)
			got, detail := Check(c, "r1", api.SearchRequest{Query: "imbuia"}, answer)
			assert.Equal(t, got, test.want, detail)
		})
	}
}

func TestCheckComparesLimitedAnswerWithTopHits(t *testing.T) {
	c := newLotsCatalogue(t)
	request := api.SearchRequest{Query: "imbuia", Limit: 3}
	answer := correctAnswer(c, "r1", "imbuia")
	answer.Hits = answer.Hits[:3]
	got, detail := Check(c, "r1", request, answer)
	assert.Equal(t, got, Whole, detail)
	answer.Hits = correctAnswer(c, "r1", "imbuia").Hits[1:4]
	got, _ = Check(c, "r1", request, answer)
	assert.Equal(t, got, WrongCoverage)
}

func TestScheduleIsDeterministicAndSorted(t *testing.T) {
	first := Schedule(100, 10*time.Second, []string{"a", "b"}, 5)
	assert.DeepEqual(t, first, Schedule(100, 10*time.Second, []string{"a", "b"}, 5))
	assert.Assert(t, len(first) > 900 && len(first) < 1100, "%d arrivals", len(first))
	assert.Assert(t, slices.IsSortedFunc(first, func(a, b Arrival) int { return int(a.At - b.At) }))
}

// roundTripperFunc simulates the network and an entry node.
type roundTripperFunc func(*http.Request) (*http.Response, error)

func (f roundTripperFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// TestLatencyIncludesStall guards against coordinated omission. All replies are
// delayed until one second of virtual time has passed; the latency of each search
// must include its whole wait since its scheduled start.
func TestLatencyIncludesStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newLotsCatalogue(t)
		end := time.Now().Add(time.Second)
		client := NewClient([]string{"e1"}, "test")
		client.http = &http.Client{Transport: roundTripperFunc(func(r *http.Request) (*http.Response, error) {
			time.Sleep(time.Until(end))
			w := httptest.NewRecorder()
			answerSearch(c, w, r)
			return w.Result(), nil
		})}
		searches := &SearchRun{Client: client, Service: "lots", Catalogue: c, Deadline: 2 * time.Second, Name: "stall"}
		for i := range 10 {
			searches.Schedule = append(searches.Schedule, Arrival{At: time.Duration(i) * 100 * time.Millisecond, Query: "imbuia"})
		}
		tally := searches.Run(t.Context())
		assert.Equal(t, tally.Whole, 10)
		assert.Assert(t, tally.Latency.Max() >= 999_000)
		assert.Assert(t, tally.Latency.ValueAtQuantile(50) >= 500_000)
	})
}

// answerSearch writes the correct answer to a search.
func answerSearch(c *catalogue.Catalogue, w http.ResponseWriter, r *http.Request) {
	var request api.SearchRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	answer := correctAnswer(c, r.Header.Get(api.HeaderRequestID), request.Query)
	if request.Limit > 0 && len(answer.Hits) > request.Limit {
		answer.Hits = answer.Hits[:request.Limit]
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// fakeNode is an entry node that runs submits itself and drops the reply to the
// first attempt of each key. It runs later attempts only if runsResends is set.
type fakeNode struct {
	c           *catalogue.Catalogue
	mu          sync.Mutex
	runs        map[string]int
	runsResends bool
}

func (f *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/search") {
		answerSearch(f.c, w, r)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path == "/v1/runs" {
		_ = json.NewEncoder(w).Encode(f.runs)
		return
	}
	key := r.Header.Get(api.HeaderIdempotencyKey)
	seen := f.runs[key] > 0
	if !seen || f.runsResends {
		f.runs[key]++
	}
	if !seen {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(api.SubmitAnswer{RequestID: r.Header.Get(api.HeaderRequestID), Key: key, Ran: api.RanYes})
}

func TestSessionResendsSubmitsAfterLostReplies(t *testing.T) {
	tests := []struct {
		name        string
		runsResends bool
		passed      bool
	}{
		{"resends return the recorded outcome", false, true},
		{"resends run again", true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			node := &fakeNode{c: newLotsCatalogue(t), runs: make(map[string]int), runsResends: test.runsResends}
			server := httptest.NewServer(node)
			defer server.Close()
			address := server.Listener.Addr().String()
			session := &Session{
				Entries: []string{"127.0.0.1:1", address}, Targets: []string{address},
				Services: []ServiceLoad{{"lots", node.c}},
				Rate:     200, SubmitRate: 20, Length: 300 * time.Millisecond,
				Deadline: time.Second, ReadyTimeout: 5 * time.Second, Seed: 1,
			}
			report, err := session.Run(t.Context())
			assert.NilError(t, err)
			summary := report.Summary()
			assert.Equal(t, summary.Passed(), test.passed, "%+v", report.Audit)
			assert.Equal(t, summary.Whole, summary.Queries)
			assert.Assert(t, summary.Queries > 0 && report.Audit.Submits > 0)
			assert.NilError(t, report.WriteTable(t.Output()))
		})
	}
}

func TestAuditSubmits(t *testing.T) {
	tests := []struct {
		name           string
		ran            api.Ran
		runs           int
		ranTwice, lost int
	}{
		{"ran once", api.RanYes, 1, 0, 0},
		{"not run", api.RanNo, 0, 0, 0},
		{"unknown, ran", api.RanUnknown, 1, 0, 0},
		{"unknown, not run", api.RanUnknown, 0, 0, 0},
		{"ran twice", api.RanYes, 2, 1, 0},
		{"reported as not run, but ran", api.RanNo, 1, 1, 0},
		{"reported as run, but never ran", api.RanYes, 0, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			audit := AuditSubmits([]SubmitResult{{Key: "k", Ran: test.ran}}, map[string]int{"k": test.runs})
			assert.Equal(t, audit.RanTwice, test.ranTwice)
			assert.Equal(t, audit.Lost, test.lost)
		})
	}
}

func TestIdempotencyKeysAreUnique(t *testing.T) {
	s := &SubmitRun{Schedule: make([]Arrival, 100), Random: rand.New(rand.NewPCG(1, 2))}
	randomParts := s.randomParts()
	slices.Sort(randomParts)
	assert.Equal(t, len(slices.Compact(randomParts)), 100)
	assert.Equal(t, NewKey(time.UnixMilli(1700000000000), 0xab), "1700000000000-00000000000000ab")
}
