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

// entryStatus fetches the status of an entry node.
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

// awaitVersion waits until an entry node is ready with at least the given
// configuration version. It returns the version in the first status that reported
// the node as ready.
func (s *system) awaitVersion(i int, version uint64) (first uint64) {
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
			return poll.Continue("entry-%d has version %d, not %d", i, status.ConfigVersion, version)
		}
		return poll.Success()
	}, poll.WithTimeout(settleTimeout), poll.WithDelay(20*time.Millisecond))
	return first
}

// TestEntryNodeRestartsAfterHundredsOfChanges restarts an entry node that missed
// hundreds of changes. When it reports that it is ready, it must already have the
// version that the other entry node of its data centre serves. A second restart,
// after ten changes, takes place while the node can't reach any control process.
//
// fault: restart-after-changes x restart
// fault: cut-data-centre x restart
// fault: control-alone x restart
func TestEntryNodeRestartsAfterHundredsOfChanges(t *testing.T) {
	s := startSystem(t)
	h := newHistory()
	next := uint64(2)
	s.applyTickets(h, 0, &next, 100)
	s.entries[0].kill()
	s.applyTickets(h, 0, &next, 400)
	version := next - 1
	s.awaitVersion(1, version)
	s.startAndCheckVersion(0, version)

	s.applyTickets(h, 0, &next, 10)
	version = next - 1
	s.awaitVersion(1, version)
	s.entries[0].kill()
	writeCuts(t, s.entryCutFiles[0], wire.CutSilent, s.addresses...)
	s.startAndCheckVersion(0, version)
}

// startAndCheckVersion starts an entry node and checks that it has at least the
// given version when it first reports that it is ready.
func (s *system) startAndCheckVersion(i int, version uint64) {
	s.t.Helper()
	startTime := time.Now()
	s.entries[i].start()
	first := s.awaitVersion(i, version)
	assert.Assert(s.t, first >= version, "entry-%d became ready with version %d, before %d", i, first, version)
	s.t.Logf("entry-%d became ready with version %d after %v", i, first, time.Since(startTime))
}

// TestDataCentreCutOff cuts both entry nodes off from the control group. They must
// go on serving searches, let no submit succeed, refuse at least one as not run,
// and apply the newest configuration once the cut ends.
//
// fault: cut-data-centre x search
// fault: control-alone x search
// fault: cut-data-centre x submit
func TestDataCentreCutOff(t *testing.T) {
	s := startSystem(t)
	h := newHistory()
	next := uint64(2)
	for i := range entries {
		writeCuts(t, s.entryCutFiles[i], wire.CutSilent, s.addresses...)
	}
	s.applyTickets(h, 0, &next, 20)
	refused := 0
	for i := range 4 {
		for entry := range entries {
			s.search(entry)
		}
		key := fmt.Sprintf("%d-cut-%d", time.Now().UnixMilli(), i)
		startTime := time.Now()
		reply := s.submit(i%entries, key)
		t.Logf("submit %d was answered after %v: %v %v", i, time.Since(startTime), reply.Problem, reply.Err)
		assert.Assert(t, reply.Problem != nil || reply.Err != nil, "key %s ran without a reachable ledger", key)
		if reply.Problem != nil && reply.Problem.Ran == api.RanNo {
			refused++
			assert.Check(t, reply.Problem.RetryAfterMS > 0, "refused without a time to retry after")
			assert.Check(t, s.runs()[key] == 0, "key %s ran", key)
		}
	}
	assert.Check(t, refused > 0, "no submit was refused as not run")
	for i := range entries {
		writeCuts(t, s.entryCutFiles[i], wire.CutNone)
	}
	startTime := time.Now()
	for i := range entries {
		s.awaitVersion(i, next-1)
	}
	t.Logf("newest version in force on both entry nodes %v after the cut ended", time.Since(startTime))
	s.awaitEntries()
}

// search sends one search and checks that it succeeds with full coverage.
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

// TestSearchesWhileControlProcessesAreSuspended suspends and resumes two control
// processes at a time while entry nodes serve searches. No search may fail or lose
// coverage.
//
// fault: stop-continue x search
func TestSearchesWhileControlProcessesAreSuspended(t *testing.T) {
	s := startSystem(t)
	search := func(ctx context.Context) {
		var wait sync.WaitGroup
		for entry := range entries {
			wait.Go(func() {
				for ctx.Err() == nil {
					s.search(entry)
					time.Sleep(operationInterval)
				}
			})
		}
		wait.Wait()
	}
	runUnderFaults(s.group, search, func(random *rand.Rand) {
		a := random.IntN(replicas)
		b := (a + 1) % replicas
		s.processes[a].suspend()
		s.processes[b].suspend()
		pause(time.Second)
		s.processes[a].resume()
		s.processes[b].resume()
		pause(300 * time.Millisecond)
	})
}
