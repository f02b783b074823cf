package searcher

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"wigeonbay/internal/api"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// fakeEntry is an entry node that only accepts announcements.
type fakeEntry struct {
	*httptest.Server
	mu            sync.Mutex
	announcements []api.Announcement
}

func newFakeEntry(t *testing.T) *fakeEntry {
	f := &fakeEntry{}
	f.Server = httptest.NewServer(http.HandlerFunc(f.handleAnnounce))
	t.Cleanup(f.Close)
	return f
}

func (f *fakeEntry) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	var a api.Announcement
	if json.NewDecoder(r.Body).Decode(&a) != nil || a.Validate() != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announcements = append(f.announcements, a)
	_ = json.NewEncoder(w).Encode(api.AnnounceReply{Sequence: a.Sequence, RenewMS: 10})
}

// waitFor waits until an announcement for which ok returns true has arrived.
func (f *fakeEntry) waitFor(t *testing.T, description string, ok func(api.Announcement) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, a := range f.announcements {
			if ok(a) {
				return poll.Success()
			}
		}
		return poll.Continue("no announcement of %s yet", description)
	}, poll.WithDelay(time.Millisecond))
}

// startSearcher starts a searcher that is killed at the end of the test.
func startSearcher(t *testing.T, cfg Config) *Searcher {
	t.Helper()
	s, err := New(cfg)
	assert.NilError(t, err)
	assert.NilError(t, s.Start(t.Context()))
	t.Cleanup(s.Kill)
	return s
}

func TestAnnouncesStartRenewalChangeDrainAndStop(t *testing.T) {
	entry := newFakeEntry(t)
	cfg := testConfig(t)
	cfg.Lease = time.Minute
	// Nothing listens on the first address, so the announcement goes to the second.
	cfg.Entries = []string{"127.0.0.1:1", entry.Listener.Addr().String()}
	s, err := New(cfg)
	assert.NilError(t, err)
	assert.NilError(t, s.Start(t.Context()))
	entry.waitFor(t, "the start", func(a api.Announcement) bool { return a.State == api.TargetReady && a.Sequence == 1 })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		entry.mu.Lock()
		defer entry.mu.Unlock()
		if len(entry.announcements) >= 3 && entry.announcements[2].Sequence == 1 {
			return poll.Success()
		}
		return poll.Continue("no renewals yet")
	}, poll.WithDelay(time.Millisecond))
	s.AddHolding(api.Holding{Snapshot: api.Snapshot{Layout: 1, Version: 2}, LayoutShards: 4, Shards: []api.ShardID{0}})
	entry.waitFor(t, "the new holding", func(a api.Announcement) bool { return len(a.Holdings) == 2 && a.Sequence == 2 })
	assert.NilError(t, s.Drain(t.Context()))
	entry.waitFor(t, "the drain", func(a api.Announcement) bool { return a.State == api.TargetDraining && a.Sequence == 3 })
	assert.NilError(t, s.Stop(t.Context()))
	entry.waitFor(t, "the stop", func(a api.Announcement) bool { return a.State == api.TargetGone && a.Sequence == 4 })
}

func TestRestartIncreasesIncarnation(t *testing.T) {
	cfg := testConfig(t)
	first := startSearcher(t, cfg).announcement()
	second := startSearcher(t, cfg).announcement()
	assert.Assert(t, second.Supersedes(first))
}

// get sends a GET request for /health on the connection and reads the response.
func get(t *testing.T, c net.Conn) (*http.Response, error) {
	t.Helper()
	_, err := io.WriteString(c, "GET /health HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	return readResponse(c)
}

func TestConnectionsAboveLimitAreClosed(t *testing.T) {
	cfg := testConfig(t)
	cfg.Connections = 1
	s := startSearcher(t, cfg)
	first, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	_, err = get(t, first)
	assert.NilError(t, err)
	second, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	defer second.Close()
	_, err = io.ReadAll(second)
	assert.NilError(t, err)
	assert.Equal(t, s.Stats().RefusedConnections, 1)
	assert.NilError(t, first.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.Stats().Connections == 0 {
			return poll.Success()
		}
		return poll.Continue("the closed connection still counts")
	}, poll.WithDelay(time.Millisecond))
	assert.Equal(t, s.Stats().PeakConnections, 1)
}

func TestSilentConnectionTimesOutWhileNewConnectionsWork(t *testing.T) {
	s := startSearcher(t, testConfig(t))
	silenced, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	defer silenced.Close()
	_, err = get(t, silenced)
	assert.NilError(t, err)
	assert.Equal(t, s.SilenceConnections(), 1)
	fresh, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	defer fresh.Close()
	_, err = get(t, fresh)
	assert.NilError(t, err)
	assert.NilError(t, silenced.SetReadDeadline(time.Now().Add(30*time.Millisecond)))
	_, err = get(t, silenced)
	var timeout net.Error
	assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
}

func TestAdminEndpoints(t *testing.T) {
	s := newReadySearcher(t, testConfig(t))
	versionTwo := api.Holding{Snapshot: api.Snapshot{Layout: 1, Version: 2}, LayoutShards: 4, Shards: []api.ShardID{0}}
	eightShards := api.Holding{Snapshot: api.Snapshot{Layout: 2, Version: 2}, LayoutShards: 8, Shards: []api.ShardID{0}, Warm: true}
	tests := []struct {
		path string
		body any
		ok   func() bool
	}{
		{"/admin/versions/add", versionTwo, func() bool { return len(s.Holdings()) == 2 }},
		{"/admin/versions/warm", versionTwo.Snapshot, func() bool { h, _ := findHolding(s.Holdings(), versionTwo.Snapshot); return h.Warm }},
		{"/admin/versions/remove", snapshotOne, func() bool { _, ok := findHolding(s.Holdings(), snapshotOne); return !ok }},
		{"/admin/repartition", RepartitionRequest{eightShards}, func() bool { return s.Holdings()[0].LayoutShards == 8 }},
		{"/admin/straggle", StraggleRequest{3}, func() bool { return s.times.straggleFactor == 3 }},
		{"/admin/shed", ShedRequest{true}, s.shedding.Load},
		{"/admin/load", LoadRequest{LoadIdle}, func() bool { return s.loadReporter.mode == LoadIdle }},
	}
	for _, test := range tests {
		t.Run(test.path, func(t *testing.T) {
			assert.Equal(t, post(s, test.path, "", test.body).Code, http.StatusOK)
			assert.Assert(t, test.ok())
		})
	}
}

func readResponse(c net.Conn) (*http.Response, error) {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}
