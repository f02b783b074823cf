//go:build faults

package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wigeonbay/internal/api"
	"wigeonbay/internal/wire"
)

// entryStatus asks an entry node for its own view.
func (s *system) entryStatus(i int) (api.EntryStatus, error) {
	var status api.EntryStatus
	client := http.Client{Timeout: callTimeout}
	response, err := client.Get("http://" + s.operators[i] + "/v1/status")
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// inForce waits until an entry node is ready with at least a version, and
// returns what it held when it first said that it is ready.
func (s *system) inForce(i int, version uint64) (first uint64) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		status, err := s.entryStatus(i)
		if err != nil || !status.Ready {
			return poll.Continue("entry-%d: %v, ready %v", i, err, status.Ready)
		}
		if first == 0 {
			first = status.ConfigVersion
		}
		if status.ConfigVersion < version {
			return poll.Continue("entry-%d holds version %d, not %d", i, status.ConfigVersion, version)
		}
		return poll.Success()
	}, poll.WithTimeout(settleTimeout), poll.WithDelay(20*time.Millisecond))
	return first
}

// TestEntryNodeRestartsAfterHundredsOfChanges restarts an entry node that
// missed hundreds of changes: once ready it holds what its data centre serves.
// It does so again while it is cut off from every control process.
//
// fault: restart-after-changes x restart
// fault: cut-data-centre x restart
// fault: control-alone x restart
func TestEntryNodeRestartsAfterHundredsOfChanges(t *testing.T) {
	s := startSystem(t)
	h := newHistory()
	next := uint64(2)
	s.change(h, 0, &next, 100)
	s.entries[0].kill()
	s.change(h, 0, &next, 400)
	version := next - 1
	s.inForce(1, version)
	s.restartReady(0, version)

	s.change(h, 0, &next, 10)
	version = next - 1
	s.inForce(1, version)
	s.entries[0].kill()
	writeCuts(t, s.cutFiles[0], wire.CutSilent, s.addresses...)
	s.restartReady(0, version)
}

// restartReady starts an entry node, which must hold at least a version when it
// first says that it is ready.
func (s *system) restartReady(i int, version uint64) {
	s.t.Helper()
	began := time.Now()
	s.entries[i].start()
	first := s.inForce(i, version)
	assert.Assert(s.t, first >= version, "entry-%d was ready with version %d, not %d", i, first, version)
	s.t.Logf("entry-%d was ready with version %d after %v", i, first, time.Since(began))
}

// TestDataCentreCutOff cuts both entry nodes off from the control group. They
// go on serving searches, refuse submits as not run, and take the newest
// configuration once the cut ends.
//
// fault: cut-data-centre x search
// fault: control-alone x search
// fault: cut-data-centre x submit
func TestDataCentreCutOff(t *testing.T) {
	s := startSystem(t)
	h := newHistory()
	next := uint64(2)
	for i := range entries {
		writeCuts(t, s.cutFiles[i], wire.CutSilent, s.addresses...)
	}
	s.change(h, 0, &next, 20)
	refused := 0
	for i := range 4 {
		for entry := range entries {
			s.search(entry)
		}
		key := fmt.Sprintf("%d-cut-%d", time.Now().UnixMilli(), i)
		began := time.Now()
		reply := s.submit(i%entries, key)
		t.Logf("submit %d was answered after %v: %v %v", i, time.Since(began), reply.Problem, reply.Err)
		assert.Assert(t, reply.Problem != nil || reply.Err != nil, "key %s ran without a ledger", key)
		if reply.Problem != nil && reply.Problem.Ran == api.RanNo {
			refused++
			assert.Check(t, reply.Problem.RetryAfterMS > 0, "refused without a time to come back")
			assert.Check(t, s.runs()[key] == 0, "key %s ran", key)
		}
	}
	assert.Check(t, refused > 0, "no submit was refused as not run")
	for i := range entries {
		writeCuts(t, s.cutFiles[i], wire.CutNone)
	}
	began := time.Now()
	for i := range entries {
		s.inForce(i, next-1)
	}
	t.Logf("in force on both entry nodes %v after the cut ended", time.Since(began))
	s.awaitEntries()
}

// search sends one search, which must be answered whole.
func (s *system) search(entry int) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*submitDeadline)
	defer cancel()
	var answer api.SearchAnswer
	reply := s.callers[entry].Search(ctx, printService, "search", api.SearchRequest{Query: "imbuia", Limit: 1}, submitDeadline, &answer)
	if reply.Problem != nil || reply.Err != nil {
		s.t.Errorf("search through entry-%d: %v %v", entry, reply.Problem, reply.Err)
		return
	}
	if !answer.Coverage.Whole() {
		s.t.Errorf("search through entry-%d covers %+v", entry, answer.Coverage)
	}
}

// TestSearchesWhileControlFreezes stops and continues control processes, two at
// a time, under searches: none may fail for that.
//
// fault: stop-continue x search
func TestSearchesWhileControlFreezes(t *testing.T) {
	s := startSystem(t)
	search := func(ctx context.Context) {
		var wait sync.WaitGroup
		for entry := range entries {
			wait.Go(func() {
				for ctx.Err() == nil {
					s.search(entry)
					time.Sleep(pace)
				}
			})
		}
		wait.Wait()
	}
	underFaults(s.group, search, func(random *rand.Rand) {
		a := random.IntN(replicas)
		b := (a + 1) % replicas
		s.processes[a].freeze()
		s.processes[b].freeze()
		pause(time.Second)
		s.processes[a].thaw()
		s.processes[b].thaw()
		pause(300 * time.Millisecond)
	})
}
