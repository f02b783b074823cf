package searcher

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/catalogue"

	"gotest.tools/v3/assert"
)

var snapshotOne = api.Snapshot{Layout: 1, Version: 1}

func testConfig(t *testing.T) Config {
	t.Helper()
	cat, err := catalogue.NewSized(catalogue.Lots, 200)
	assert.NilError(t, err)
	return Config{
		Name: "a", Service: "lots", DataCentre: "oeste", Listen: "127.0.0.1:0",
		Catalogue: cat, Slots: 1, Queue: 1, Connections: 4,
		ServiceTime: 10 * time.Millisecond, Lease: time.Second,
		Holdings: []api.Holding{{Snapshot: snapshotOne, LayoutShards: 4, Shards: []api.ShardID{0, 1, 2, 3}, Warm: true}},
	}
}

// newReadySearcher returns a searcher in the ready state, without a listener.
// Tests call its handler directly.
func newReadySearcher(t *testing.T, cfg Config) *Searcher {
	t.Helper()
	s, err := New(cfg)
	assert.NilError(t, err)
	s.markStarted("127.0.0.1:1", time.Now())
	return s
}

func post(s *Searcher, path, deadlineMS string, body any) *httptest.ResponseRecorder {
	return postContext(context.Background(), s, path, deadlineMS, body)
}

func postContext(ctx context.Context, s *Searcher, path, deadlineMS string, body any) *httptest.ResponseRecorder {
	text, _ := json.Marshal(body)
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(text))
	if deadlineMS != "" {
		r.Header.Set(api.HeaderDeadline, deadlineMS)
	}
	w := httptest.NewRecorder()
	s.server.Handler.ServeHTTP(w, r)
	return w
}

func searchRequest(shards ...api.ShardID) api.ShardRequest {
	return api.ShardRequest{RequestID: "r1", Attempt: 7, Snapshot: snapshotOne, Shards: shards, Query: "imbuia"}
}

func decodeError(t *testing.T, w *httptest.ResponseRecorder) api.TargetError {
	t.Helper()
	var e api.TargetError
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &e))
	return e
}

func TestSearchReplyEchoesRequestAndCoversItsShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newReadySearcher(t, testConfig(t))
		w := post(s, "/v1/search", "", searchRequest(1, 3))
		assert.Equal(t, w.Code, http.StatusOK)
		var reply api.ShardReply
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &reply))
		assert.Equal(t, reply.RequestID, "r1")
		assert.Equal(t, reply.Attempt, uint64(7))
		assert.Equal(t, reply.Snapshot, snapshotOne)
		want := len(s.cfg.Catalogue.Search(4, 1, 1, "imbuia")) + len(s.cfg.Catalogue.Search(4, 1, 3, "imbuia"))
		assert.Equal(t, sumTotals(reply.Totals), want)
		assert.Equal(t, w.Header().Get(api.HeaderTargetState), string(api.TargetReady))
	})
}

func TestRefusals(t *testing.T) {
	other := searchRequest(0)
	other.Snapshot.Version = 9
	tests := []struct {
		name     string
		prepare  func(*Searcher)
		deadline string
		request  any
		status   int
		code     api.TargetErrorCode
	}{
		{"snapshot not held", nil, "", other, http.StatusConflict, api.TargetNoSnapshot},
		{"shed", func(s *Searcher) { s.SetShedding(true) }, "", searchRequest(0), http.StatusServiceUnavailable, api.TargetShed},
		{"deadline shorter than the median service time", nil, "3", searchRequest(0), http.StatusGatewayTimeout, api.TargetDeadline},
		{"draining", func(s *Searcher) { _ = s.Drain(context.Background()) }, "", searchRequest(0), http.StatusServiceUnavailable, api.TargetDrain},
		{"not started", func(s *Searcher) { s.state = api.TargetStarting }, "", searchRequest(0), http.StatusServiceUnavailable, api.TargetNotStarted},
		{"invalid body", nil, "", "text", http.StatusBadRequest, api.TargetBadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newReadySearcher(t, testConfig(t))
				if test.prepare != nil {
					test.prepare(s)
				}
				w := post(s, "/v1/search", test.deadline, test.request)
				assert.Equal(t, w.Code, test.status)
				assert.Equal(t, decodeError(t, w).Code, test.code)
				assert.Assert(t, decodeError(t, w).NotRun)
				assert.Equal(t, s.Stats().Ran, int64(0))
			})
		})
	}
}

func TestCancelledSearchFreesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newReadySearcher(t, testConfig(t))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan *httptest.ResponseRecorder, 1)
		go func() { done <- postContext(ctx, s, "/v1/search", "", searchRequest(0)) }()
		synctest.Wait()
		running, _ := s.slots.load()
		assert.Equal(t, running, 1)
		cancel()
		assert.Assert(t, !decodeError(t, <-done).NotRun)
		running, _ = s.slots.load()
		assert.Equal(t, running, 0)
		assert.Equal(t, s.Stats().Cancelled, int64(1))
	})
}

func TestRequestIsShedWhenQueueIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newReadySearcher(t, testConfig(t))
		codes := make(chan int, 3)
		for range 3 {
			go func() { codes <- post(s, "/v1/search", "", searchRequest(0)).Code }()
			synctest.Wait()
		}
		assert.Equal(t, <-codes, http.StatusServiceUnavailable)
		assert.Equal(t, <-codes, http.StatusOK)
		assert.Equal(t, <-codes, http.StatusOK)
	})
}

func TestDrainWaitsForRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newReadySearcher(t, testConfig(t))
		code := make(chan int, 1)
		go func() { code <- post(s, "/v1/search", "", searchRequest(0)).Code }()
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- s.Drain(t.Context()) }()
		synctest.Wait()
		assert.Equal(t, len(drained), 0)
		assert.Equal(t, post(s, "/v1/search", "", searchRequest(0)).Code, http.StatusServiceUnavailable)
		assert.Equal(t, <-code, http.StatusOK)
		assert.NilError(t, <-drained)
		time.Sleep(drainGrace + time.Millisecond)
		post(s, "/v1/search", "", searchRequest(0))
		assert.Equal(t, s.Stats().DuringDrain, int64(2))
		assert.Equal(t, s.Stats().LongAfterDrain, int64(1))
	})
}

func TestSubmitCountsRunsPerKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newReadySearcher(t, testConfig(t))
		submit := api.TargetSubmit{Key: "1-a", Request: api.SubmitRequest{Kind: "certificate", Subject: "flitch-00001"}}
		post(s, "/v1/submit", "", submit)
		post(s, "/v1/submit", "", submit)
		assert.DeepEqual(t, s.Runs(), map[string]int{"1-a": 2})
		w := post(s, "/v1/submit", "", api.TargetSubmit{})
		assert.Equal(t, w.Code, http.StatusBadRequest)
	})
}

func TestSubmitCompletesAfterCallerCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newReadySearcher(t, testConfig(t))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan int, 1)
		go func() { done <- postContext(ctx, s, "/v1/submit", "", api.TargetSubmit{Key: "1-a"}).Code }()
		synctest.Wait()
		cancel()
		assert.Equal(t, <-done, http.StatusOK)
		assert.DeepEqual(t, s.Runs(), map[string]int{"1-a": 1})
	})
}

func TestServiceTimes(t *testing.T) {
	started := time.Unix(1000, 0)
	tests := []struct {
		name       string
		age        time.Duration
		warm       bool
		straggle   float64
		wantFactor float64
	}{
		{"warm", time.Minute, true, 1, 1},
		{"beginning of the cold start", 0, true, 1, maxColdFactor},
		{"middle of the cold start", 5 * time.Second, true, 1, (maxColdFactor + 1) / 2},
		{"cold snapshot", time.Minute, false, 1, maxColdFactor},
		{"straggling", time.Minute, true, 8, 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			times := newServiceTimes(Config{ServiceTime: time.Millisecond, ColdStart: 10 * time.Second})
			times.start(started)
			times.setStraggleFactor(test.straggle)
			got := times.draw(started.Add(test.age), test.warm)
			assert.Equal(t, got, time.Duration(test.wantFactor*float64(time.Millisecond)))
		})
	}
}

func TestLoadReports(t *testing.T) {
	now := time.Unix(1000, 0)
	present := api.LoadReport{InFlight: 2, Queued: 1, Slots: 1}
	tests := []struct {
		mode LoadMode
		want api.LoadReport
	}{
		{LoadTrue, present},
		{LoadIdle, api.LoadReport{Slots: 1}},
		{LoadBusy, api.LoadReport{InFlight: 2, Slots: 1}},
		{LoadStale, api.LoadReport{InFlight: 5, Slots: 1, AgeMS: 3000}},
	}
	for _, test := range tests {
		t.Run(string(test.mode), func(t *testing.T) {
			var p loadReporter
			p.set(test.mode, api.LoadReport{InFlight: 5, Slots: 1}, now)
			assert.Equal(t, p.report(present, now.Add(3*time.Second)), test.want)
		})
	}
}

func TestParseShards(t *testing.T) {
	tests := []struct {
		name, text string
		want       []api.ShardID
		wantErr    string
	}{
		{"range and single shard", "0-2, 5", []api.ShardID{0, 1, 2, 5}, ""},
		{"shard outside the layout", "0-8", nil, "outside"},
		{"reversed range", "3-1", nil, "not a shard"},
		{"not a number", "all", nil, "not a shard"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := ParseShards(test.text, 8)
			if test.wantErr != "" {
				assert.ErrorContains(t, err, test.wantErr)
				return
			}
			assert.NilError(t, err)
			assert.DeepEqual(t, got, test.want)
		})
	}
}

func sumTotals(totals []int) int {
	sum := 0
	for _, n := range totals {
		sum += n
	}
	return sum
}

func TestSearchTimeScalesWithShardCountAndSize(t *testing.T) {
	s := newReadySearcher(t, testConfig(t))
	tests := []struct {
		name         string
		layoutShards int
		shards       []api.ShardID
		want         time.Duration
	}{
		{"one shard", 4, []api.ShardID{0}, 10 * time.Millisecond},
		{"two shards", 4, []api.ShardID{0, 1}, 20 * time.Millisecond},
		{"shard of half the size", 8, []api.ShardID{0}, 5 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			holding := api.Holding{LayoutShards: test.layoutShards, Warm: true}
			assert.Equal(t, s.searchTime(searchRequest(test.shards...), holding), test.want)
		})
	}
}
