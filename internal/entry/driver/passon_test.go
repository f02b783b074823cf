package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wigeonbay/internal/api"
	"wigeonbay/internal/freeport"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/wire"
)

// startNodes starts nodes that know each other, with files of cuts, and returns both.
func startNodes(t *testing.T, count int) ([]*Node, []string) {
	var nodes []*Node
	var cutFiles []string
	var seeds []settings.Peer
	for i := range count {
		address, err := freeport.Address()
		assert.NilError(t, err)
		config := settings.DefaultEntry()
		config.Node = settings.Node{ID: fmt.Sprint("e", i), DataCentre: "oeste"}
		config.Listen = settings.EntryListen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: address}
		config.Limits.DrainTime = time.Millisecond
		config.Peers = seeds
		config.Testing.CutFile = filepath.Join(t.TempDir(), "cuts")
		seeds = append(seeds, settings.Peer{ID: config.Node.ID, Address: address, DataCentre: "oeste"})
		n, err := New(config, zap.NewNop())
		assert.NilError(t, err)
		assert.NilError(t, n.Start(t.Context()))
		t.Cleanup(func() { assert.NilError(t, n.Stop(context.Background())) })
		n.InstallConfig(api.Configuration{Version: 1, Services: map[string]api.Service{
			"lots": {Name: "lots", Prefer: api.PreferCoverage, LeastCoverage: 1, DeadlineMS: 2000},
		}})
		nodes, cutFiles = append(nodes, n), append(cutFiles, config.Testing.CutFile)
	}
	return nodes, cutFiles
}

// announceShards announces targets to a node, each with a shard of its own, and waits until
// all nodes know them.
func announceShards(t *testing.T, nodes []*Node, targets []*fakeTarget) {
	t.Helper()
	for i, f := range targets {
		a := api.Announcement{
			Target: api.TargetID(fmt.Sprint("t", i)), Incarnation: 1, Sequence: 1, Service: "lots", DataCentre: "oeste",
			Address: f.server.Listener.Addr().String(), State: api.TargetReady, Slots: 8, Connections: 30, LeaseMS: 60_000,
			Holdings: []api.Holding{{Snapshot: api.Snapshot{Layout: 1, Version: 1}, LayoutShards: len(targets), Shards: []api.ShardID{api.ShardID(i)}, Warm: true}},
		}
		body, err := json.Marshal(a)
		assert.NilError(t, err)
		res, err := http.Post("http://"+nodes[0].CallersAddress()+"/v1/targets/announce", "application/json", bytes.NewReader(body))
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, n := range nodes {
			n.mu.Lock()
			known := len(n.state.Targets())
			n.mu.Unlock()
			if known < len(targets) || len(n.peers.members()) < len(nodes) {
				return poll.Continue("%d targets known", known)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// fault: cut-from-targets x search
func TestSearchesAtANodeCutOffFromAllTargetsAreAnswered(t *testing.T) {
	const (
		// contactTime is how long after the start of the cut searches may fail.
		contactTime = 2 * time.Second
		searches    = 50
	)
	for _, cut := range []wire.Cut{wire.CutSilent, wire.CutRefuse} {
		t.Run(string(cut), func(t *testing.T) {
			t.Parallel()
			nodes, cutFiles := startNodes(t, 2)
			var targets []*fakeTarget
			var lines strings.Builder
			for range 3 {
				f := newFakeTarget(t)
				targets = append(targets, f)
				fmt.Fprintf(&lines, "%s %s\n", f.server.Listener.Addr(), cut)
			}
			announceShards(t, nodes, targets)
			search := func(query string) (int, string) {
				status, body, _ := post(t, nodes[0], "/v1/services/lots/search", `{"query":"`+query+`"}`, map[string]string{api.HeaderRequestID: "id-" + query})
				return status, string(body)
			}
			status, body := search("before")
			assert.Equal(t, status, http.StatusOK, body)
			assert.NilError(t, os.WriteFile(cutFiles[0], []byte(lines.String()), 0o600))
			var pending sync.WaitGroup
			for range contactTime / (50 * time.Millisecond) {
				pending.Go(func() { search("meanwhile") })
				time.Sleep(50 * time.Millisecond)
			}
			var answered atomic.Int64
			for i := range searches {
				pending.Go(func() {
					query := fmt.Sprint("query-", i)
					status, body := search(query)
					var a api.SearchAnswer
					if status == http.StatusOK && json.Unmarshal([]byte(body), &a) == nil &&
						len(a.Hits) == len(targets) && a.Hits[0].ID == query && a.RequestID == "id-"+query {
						answered.Add(1)
					}
				})
				time.Sleep(20 * time.Millisecond)
			}
			pending.Wait()
			assert.Equal(t, answered.Load(), int64(searches))
			assert.NilError(t, os.Remove(cutFiles[0]))
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				before := nodes[0].Counters().PassedOn
				if status, body := search("after"); status != http.StatusOK || nodes[0].Counters().PassedOn > before {
					return poll.Continue("still passed on: %d %s", status, body)
				}
				return poll.Success()
			}, poll.WithTimeout(5*time.Second))
		})
	}
}
