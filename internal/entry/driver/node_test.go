package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/peercall"
	"wigeonbay/internal/entryrpc"
	"wigeonbay/internal/freeport"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/wire"
)

// fakeTarget is a searcher with one shard. Tests replace search to control its
// reply.
type fakeTarget struct {
	server *httptest.Server
	search func(w http.ResponseWriter, request api.ShardRequest)
}

func newFakeTarget(t *testing.T) *fakeTarget {
	f := &fakeTarget{search: func(w http.ResponseWriter, request api.ShardRequest) {
		reply := api.ShardReply{
			RequestID: request.RequestID, Attempt: request.Attempt, Snapshot: request.Snapshot,
			Shards: request.Shards, Totals: []int{1},
			Hits: []api.Hit{{Shard: 0, ID: request.Query}},
		}
		_ = json.NewEncoder(w).Encode(reply)
	}}
	mux := http.NewServeMux()
	mux.HandleFunc("/health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/v1/search", func(w http.ResponseWriter, r *http.Request) {
		var request api.ShardRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		f.search(w, request)
	})
	f.server = httptest.NewServer(mux)
	t.Cleanup(f.server.Close)
	return f
}

// startBareNode starts a node without a configuration.
func startBareNode(t *testing.T) *Node {
	config := settings.DefaultEntry()
	config.Node = settings.Node{ID: "e1", DataCentre: "oeste"}
	peers, err := freeport.Address()
	assert.NilError(t, err)
	config.Listen = settings.EntryListen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: peers}
	config.Limits.DrainTime = time.Millisecond
	config.Limits.BodyBytes = 1000
	n, err := New(config, zap.NewNop())
	assert.NilError(t, err)
	assert.NilError(t, n.Start(t.Context()))
	return n
}

func startNode(t *testing.T) *Node {
	n := startBareNode(t)
	n.InstallConfig(api.Configuration{Version: 1, Services: map[string]api.Service{
		"lots": {Name: "lots", Prefer: api.PreferDeadline, DeadlineMS: 5000},
	}})
	return n
}

func announce(t *testing.T, n *Node, f *fakeTarget) {
	t.Helper()
	a := api.Announcement{
		Target: "a", Incarnation: 1, Sequence: 1, Service: "lots", DataCentre: "oeste",
		Address: f.server.Listener.Addr().String(), State: api.TargetReady, Slots: 8, Connections: 30,
		LeaseMS:  60_000,
		Holdings: []api.Holding{{Snapshot: api.Snapshot{Layout: 1, Version: 1}, LayoutShards: 1, Shards: []api.ShardID{0}, Warm: true}},
	}
	body, err := json.Marshal(a)
	assert.NilError(t, err)
	res, err := http.Post("http://"+n.CallersAddress()+"/v1/targets/announce", "application/json", bytes.NewReader(body))
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, res.StatusCode, http.StatusOK)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		n.mu.Lock()
		defer n.mu.Unlock()
		if len(n.state.Targets()) == 1 {
			return poll.Success()
		}
		return poll.Continue("the target isn't known yet")
	})
}

func post(t *testing.T, n *Node, path, body string, header map[string]string) (int, []byte, http.Header) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+n.CallersAddress()+path, strings.NewReader(body))
	assert.NilError(t, err)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res.StatusCode, answer, res.Header
}

func TestInvalidRequestsGetProblemDetails(t *testing.T) {
	n := startNode(t)
	defer func() { assert.NilError(t, n.Stop(context.Background())) }()
	key := map[string]string{api.HeaderIdempotencyKey: "1-a"}
	tests := []struct {
		name   string
		path   string
		body   string
		header map[string]string
		status int
		code   api.Code
	}{
		{"bad JSON", "/v1/services/lots/search", `{"query":`, nil, 400, api.CodeBadRequest},
		{"unknown field", "/v1/services/lots/search", `{"quary":"x"}`, nil, 400, api.CodeBadRequest},
		{"two JSON values", "/v1/services/lots/search", `{"query":"x"}{}`, nil, 400, api.CodeBadRequest},
		{"no query", "/v1/services/lots/search", `{}`, nil, 400, api.CodeBadRequest},
		{"negative limit", "/v1/services/lots/search", `{"query":"x","limit":-1}`, nil, 400, api.CodeBadRequest},
		{"unknown service", "/v1/services/none/search", `{"query":"x"}`, nil, 404, api.CodeUnknownService},
		{"oversized body", "/v1/services/lots/search", `{"query":"` + strings.Repeat("x", 2000) + `"}`, nil, 413, api.CodeTooLarge},
		{"expired deadline", "/v1/services/lots/search", `{"query":"x"}`, map[string]string{api.HeaderDeadline: "0"}, 408, api.CodeDeadlineExpired},
		{"bad deadline", "/v1/services/lots/search", `{"query":"x"}`, map[string]string{api.HeaderDeadline: "soon"}, 400, api.CodeBadRequest},
		{"no key", "/v1/services/lots/submit", `{"kind":"c","subject":"s"}`, nil, 400, api.CodeBadKey},
		{"bad key", "/v1/services/lots/submit", `{"kind":"c","subject":"s"}`, map[string]string{api.HeaderIdempotencyKey: "abc"}, 400, api.CodeBadKey},
		{"no subject", "/v1/services/lots/submit", `{"kind":"c"}`, key, 400, api.CodeBadRequest},
		{"no control process", "/v1/services/lots/submit", `{"kind":"c","subject":"s"}`, key, 503, api.CodeNoQuorum},
		{"no target", "/v1/services/lots/search", `{"query":"x"}`, nil, 503, api.CodeUnavailable},
		{"bad announcement", "/v1/targets/announce", `{"target":"a"}`, nil, 400, api.CodeBadRequest},
		{"no such path", "/v1/nothing", `{}`, nil, 404, api.CodeBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, body, header := post(t, n, tt.path, tt.body, tt.header)
			var p api.Problem
			assert.NilError(t, json.Unmarshal(body, &p), "%s", body)
			assert.Equal(t, status, tt.status, "%s", body)
			assert.Equal(t, p.Code, tt.code)
			assert.Equal(t, p.Ran, api.RanNo)
			assert.Equal(t, header.Get("Content-Type"), "application/problem+json")
			assert.Equal(t, header.Get("Retry-After") != "", status == http.StatusServiceUnavailable)
			assert.Equal(t, header.Get(api.HeaderRequestID), p.RequestID)
		})
	}
}

// fault: delayed and reordered replies x search
func TestReorderedRepliesReachTheirCallers(t *testing.T) {
	n := startNode(t)
	defer func() { assert.NilError(t, n.Stop(context.Background())) }()
	f := newFakeTarget(t)
	reply := f.search
	var mu sync.Mutex
	var pending []func()
	f.search = func(w http.ResponseWriter, request api.ShardRequest) {
		done := make(chan struct{})
		mu.Lock()
		pending = append(pending, func() { reply(w, request); close(done) })
		if len(pending) == 4 {
			for i := len(pending) - 1; i >= 0; i-- {
				pending[i]()
			}
			pending = nil
		}
		mu.Unlock()
		<-done
	}
	announce(t, n, f)
	var wait sync.WaitGroup
	for i := range 8 {
		wait.Go(func() {
			query := fmt.Sprintf("query-%d", i)
			status, body, header := post(t, n, "/v1/services/lots/search", `{"query":"`+query+`"}`,
				map[string]string{api.HeaderRequestID: "id-" + query})
			assert.Check(t, status == http.StatusOK, "%s", body)
			var a api.SearchAnswer
			assert.Check(t, json.Unmarshal(body, &a))
			assert.Check(t, a.Hits[0].ID == query)
			assert.Check(t, a.RequestID == "id-"+query)
			assert.Check(t, header.Get("Content-Length") == fmt.Sprint(len(body)))
		})
	}
	wait.Wait()
}

func TestReplyWithWrongRequestIDIsNotMerged(t *testing.T) {
	n := startNode(t)
	defer func() { assert.NilError(t, n.Stop(context.Background())) }()
	f := newFakeTarget(t)
	reply := f.search
	f.search = func(w http.ResponseWriter, request api.ShardRequest) {
		request.RequestID = "another-request"
		reply(w, request)
	}
	announce(t, n, f)
	status, body, _ := post(t, n, "/v1/services/lots/search", `{"query":"x"}`, nil)
	var a api.SearchAnswer
	assert.NilError(t, json.Unmarshal(body, &a))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, len(a.Hits), 0)
	assert.DeepEqual(t, a.Coverage.Missing, []api.MissingShard{{Shard: 0, Reason: api.MissingFailed}})
}

func TestGracefulShutdownCompletesRequestInProgress(t *testing.T) {
	const (
		path  = "/v1/services/lots/search"
		query = `{"query":"x"}`
		// serviceTime is longer than a shutdown without requests takes.
		serviceTime = 500 * time.Millisecond
	)
	for _, tc := range []struct {
		name   string
		search func(t *testing.T, n *Node) (status int, body string)
	}{
		{"of a caller", func(t *testing.T, n *Node) (int, string) {
			status, body, _ := post(t, n, path, query, nil)
			return status, string(body)
		}},
		{"passed on by another entry node", func(t *testing.T, n *Node) (int, string) {
			client := peercall.NewClient("e2", wire.NewClient(nil), zap.NewNop())
			defer client.Close()
			reply, err := client.Forward(t.Context(), n.settings.Listen.Peers, &entryrpc.ForwardArgs{
				Method: http.MethodPost, URI: path, Body: []byte(query), TableVersion: 1, TimeLeftUS: (5 * time.Second).Microseconds(),
			})
			if err != nil || reply.Response == nil {
				return 0, fmt.Sprint(err)
			}
			return reply.Response.Status, string(reply.Response.Body)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := startNode(t)
			f := newFakeTarget(t)
			reply := f.search
			arrived := make(chan struct{})
			f.search = func(w http.ResponseWriter, request api.ShardRequest) {
				close(arrived)
				time.Sleep(serviceTime)
				reply(w, request)
			}
			announce(t, n, f)
			var wait sync.WaitGroup
			wait.Go(func() {
				status, body := tc.search(t, n)
				assert.Check(t, status == http.StatusOK, "%s", body)
			})
			<-arrived
			assert.NilError(t, n.Stop(context.Background()))
			wait.Wait()
		})
	}
}
