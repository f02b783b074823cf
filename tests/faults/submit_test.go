//go:build faults

package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/load"
	"wigeonbay/internal/wire"
)

const (
	entries           = 2
	targets           = 2
	submitDeadline    = 2 * time.Second
	maxSubmitAttempts = 4
	printService      = "print"
)

// system is a control group with two entry nodes and one searcher process that
// serves two targets.
type system struct {
	*group
	entries       []*process
	entryCutFiles []string
	operators     []string       // addresses for operators, one for each entry node
	callers       []*load.Client // one for each entry node
	targets       []string
	lastKey       atomic.Uint64
}

func startSystem(t *testing.T) *system {
	t.Helper()
	s := &system{group: startGroup(t)}
	reply := controlrpc.ApplyReply{}
	ticket := api.Ticket{Number: 1, Operator: "ana", Services: []api.Service{{Name: printService, Prefer: api.PreferDeadline, DeadlineMS: 1000}}}
	assert.NilError(t, s.call(0, controlrpc.MethodApply, &controlrpc.ApplyArgs{Ticket: ticket}, &reply))
	assert.Equal(t, reply.Reply.Outcome, api.TicketAccepted)
	addresses := freeAddresses(t, 3*entries+targets)
	for i := range entries {
		s.entryCutFiles = append(s.entryCutFiles, filepath.Join(t.TempDir(), "cuts"))
		s.entries = append(s.entries, launch(t, "wigeon-entry", fmt.Sprintf("entry-%d", i), s.entrySettings(i, addresses)))
		caller := load.NewClient(addresses[3*i:3*i+1], "faults")
		t.Cleanup(caller.Close)
		s.callers = append(s.callers, caller)
		s.operators = append(s.operators, addresses[3*i+1])
	}
	s.targets = addresses[3*entries:]
	launch(t, "wigeon-searcher", "searcher", s.searcherSettings(addresses))
	t.Cleanup(func() {
		if t.Failed() {
			for _, p := range s.entries {
				t.Logf("%s:\n%s", p.config, p.logTail())
			}
		}
	})
	s.awaitEntries()
	return s
}

func (s *system) entrySettings(i int, addresses []string) string {
	var ini strings.Builder
	fmt.Fprintf(&ini, "[node]\nid = entry-%d\ndata_centre = oeste\n\n", i)
	fmt.Fprintf(&ini, "[listen]\ncallers = %s\noperators = %s\npeers = %s\n\n", addresses[3*i], addresses[3*i+1], addresses[3*i+2])
	fmt.Fprintf(&ini, "[testing]\ncut_file = %s\n", s.entryCutFiles[i])
	for j := range replicas {
		fmt.Fprintf(&ini, "\n[control %s]\naddress = %s\ndata_centre = %s\n", s.name(j), s.addresses[j], dataCentres[j])
	}
	other := 1 - i
	fmt.Fprintf(&ini, "\n[peer entry-%d]\naddress = %s\ndata_centre = oeste\n", other, addresses[3*other+2])
	return ini.String()
}

func (s *system) searcherSettings(addresses []string) string {
	var ini strings.Builder
	fmt.Fprintf(&ini, "announce = %s, %s\n\n[node]\nid = searchers\ndata_centre = oeste\n", addresses[0], addresses[3])
	for i, address := range s.targets {
		fmt.Fprintf(&ini, "\n[target %s]\nservice = %s\nlisten = %s\n", targetName(i), printService, address)
		ini.WriteString("catalogue = lots\nlayout_shards = 2\nshards = 0-1\nversion = 1\n")
		ini.WriteString("slots = 6\nconnections = 100\nservice_time = 5ms\nlease = 3s\n")
	}
	return ini.String()
}

func targetName(i int) string { return fmt.Sprintf("print-%d", i) }

// awaitEntries waits until a submit through each entry node has succeeded.
func (s *system) awaitEntries() {
	s.t.Helper()
	for i := range entries {
		poll.WaitOn(s.t, func(poll.LogT) poll.Result {
			key := load.NewKey(time.Now(), uint64(i))
			reply := s.submit(i, key)
			if reply.Problem != nil || reply.Err != nil {
				return poll.Continue("entry-%d: %v %v", i, reply.Problem, reply.Err)
			}
			return poll.Success()
		}, poll.WithTimeout(settleTimeout), poll.WithDelay(100*time.Millisecond))
	}
}

func (s *system) submit(entry int, key string) load.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 2*submitDeadline)
	defer cancel()
	var answer api.SubmitAnswer
	return s.callers[entry].Submit(ctx, printService, "id-"+key, key, api.SubmitRequest{Kind: "certificate", Subject: key}, submitDeadline, &answer)
}

// runs returns how many times the targets have run each key.
func (s *system) runs() map[string]int {
	s.t.Helper()
	counts := map[string]int{}
	for i := range targets {
		for key, n := range s.runsOf(i) {
			counts[key] += n
		}
	}
	return counts
}

func (s *system) runsOf(target int) map[string]int {
	s.t.Helper()
	response, err := http.Get("http://" + s.targets[target] + "/v1/runs")
	assert.NilError(s.t, err)
	defer response.Body.Close()
	counts := map[string]int{}
	assert.NilError(s.t, json.NewDecoder(response.Body).Decode(&counts))
	return counts
}

// keyOutcome is what the replies to all submits of a key told the caller.
type keyOutcome struct {
	key string
	ran bool
	// unknown is set if a reply left open whether the key ran.
	unknown bool
}

// submitKeys submits new keys until ctx ends. It sends each key until a reply
// confirms that it ran, at most maxSubmitAttempts times. A quarter of the attempts,
// chosen at random, go through both entry nodes at once.
func (s *system) submitKeys(ctx context.Context, client int) []keyOutcome {
	random := rand.New(rand.NewPCG(5, uint64(client)))
	var outcomes []keyOutcome
	for ctx.Err() == nil {
		result := keyOutcome{key: load.NewKey(time.Now(), random.Uint64())}
		for attempt := 0; attempt < maxSubmitAttempts && !result.ran; attempt++ {
			s.send(&result, random.IntN(entries), random.IntN(4) == 0)
		}
		outcomes = append(outcomes, result)
		time.Sleep(operationInterval)
	}
	return outcomes
}

func (s *system) send(result *keyOutcome, entry int, both bool) {
	replies := make([]load.Reply, 1, entries)
	var wait sync.WaitGroup
	wait.Go(func() { replies[0] = s.submit(entry, result.key) })
	if both {
		replies = append(replies, load.Reply{})
		wait.Go(func() { replies[1] = s.submit(1-entry, result.key) })
	}
	wait.Wait()
	for _, reply := range replies {
		switch {
		case reply.Err == nil && reply.Problem == nil:
			result.ran = true
		case reply.Err != nil || reply.Problem.Ran != api.RanNo:
			result.unknown = true
		}
	}
}

// checkSubmits runs callers under faults and compares the outcomes that they were
// told with the runs that the targets counted.
func checkSubmits(t *testing.T, nemesis func(s *system, random *rand.Rand)) {
	t.Helper()
	s := startSystem(t)
	var mu sync.Mutex
	var outcomes []keyOutcome
	work := func(ctx context.Context) {
		var wait sync.WaitGroup
		for client := range clients {
			wait.Go(func() {
				done := s.submitKeys(ctx, client)
				mu.Lock()
				defer mu.Unlock()
				outcomes = append(outcomes, done...)
			})
		}
		wait.Wait()
	}
	runUnderFaults(s.group, work, func(random *rand.Rand) { nemesis(s, random) })
	s.awaitEntries()
	runs := s.runs()
	ran, notRun, unknown := 0, 0, 0
	for key, n := range runs {
		assert.Check(t, n == 1, "key %s ran %d times", key, n)
	}
	for _, result := range outcomes {
		switch {
		case result.ran:
			ran++
			assert.Check(t, runs[result.key] == 1, "key %s was reported as run, but ran %d times", result.key, runs[result.key])
		case !result.unknown:
			notRun++
			assert.Check(t, runs[result.key] == 0, "key %s was reported as not run, but ran %d times", result.key, runs[result.key])
		default:
			unknown++
		}
	}
	t.Logf("%d keys: %d ran, %d did not run, %d unknown", len(outcomes), ran, notRun, unknown)
	assert.Check(t, ran > 0)
}

// TestSubmitsUnderEntryKills kills and restarts entry nodes with submits in
// progress, which callers send again.
//
// fault: kill x submit
func TestSubmitsUnderEntryKills(t *testing.T) {
	checkSubmits(t, func(s *system, random *rand.Rand) {
		victim := s.entries[random.IntN(entries)]
		pause(700 * time.Millisecond)
		victim.kill()
		pause(400 * time.Millisecond)
		victim.start()
	})
}

// TestSubmitsWhileProcessesAreSuspended suspends an entry node and then a control
// process for overlapping times. Each resumes with the requests that it had in
// progress.
//
// fault: stop-continue x submit
// fault: two-at-once x submit
func TestSubmitsWhileProcessesAreSuspended(t *testing.T) {
	checkSubmits(t, func(s *system, random *rand.Rand) {
		entry := s.entries[random.IntN(entries)]
		control := s.processes[random.IntN(replicas)]
		entry.suspend()
		pause(300 * time.Millisecond)
		control.suspend()
		pause(900 * time.Millisecond)
		entry.resume()
		pause(600 * time.Millisecond)
		control.resume()
		pause(300 * time.Millisecond)
	})
}

// TestSubmitsUnderCuts cuts an entry node off from the control group in three ways
// in turn: all connections go silent, connections are refused, or only existing
// connections go silent.
//
// fault: cut-one-way x submit
// fault: cut-data-centre x submit
// fault: silent-connection x submit
func TestSubmitsUnderCuts(t *testing.T) {
	kinds := []wire.Cut{wire.CutSilent, wire.CutRefuse, wire.CutSilentOld}
	step := 0
	checkSubmits(t, func(s *system, random *rand.Rand) {
		pause(300 * time.Millisecond)
		file := s.entryCutFiles[random.IntN(entries)]
		writeCuts(t, file, kinds[step%len(kinds)], s.addresses...)
		step++
		pause(time.Second)
		writeCuts(t, file, wire.CutNone)
	})
	assert.Check(t, step >= len(kinds), "not every kind of cut was made")
}
