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
	entries        = 2
	submitDeadline = 2 * time.Second
	submitTries    = 4
	printService   = "print"
)

// system is a control group with two entry nodes and one searcher process.
type system struct {
	*group
	entries   []*process
	cutFiles  []string
	operators []string       // addresses of the entry nodes
	callers   []*load.Client // one for each entry node
	target    string
}

func startSystem(t *testing.T) *system {
	t.Helper()
	s := &system{group: startGroup(t)}
	reply := controlrpc.ApplyReply{}
	ticket := api.Ticket{Number: 1, Operator: "ana", Services: []api.Service{{Name: printService, Prefer: api.PreferDeadline, DeadlineMS: 1000}}}
	assert.NilError(t, s.call(0, controlrpc.MethodApply, &controlrpc.ApplyArgs{Ticket: ticket}, &reply))
	assert.Equal(t, reply.Reply.Outcome, api.TicketAccepted)
	addresses := freeAddresses(t, 3*entries+1)
	for i := range entries {
		s.cutFiles = append(s.cutFiles, filepath.Join(t.TempDir(), "cuts"))
		s.entries = append(s.entries, launch(t, "wigeon-entry", fmt.Sprintf("entry-%d", i), s.entrySettings(i, addresses)))
		caller := load.NewClient(addresses[3*i:3*i+1], "faults")
		t.Cleanup(caller.Close)
		s.callers = append(s.callers, caller)
		s.operators = append(s.operators, addresses[3*i+1])
	}
	s.target = addresses[3*entries]
	launch(t, "wigeon-searcher", "searcher", s.searcherSettings(addresses))
	t.Cleanup(func() {
		if t.Failed() {
			for _, p := range s.entries {
				t.Logf("%s:\n%s", p.config, p.tail())
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
	fmt.Fprintf(&ini, "[testing]\ncut_file = %s\n", s.cutFiles[i])
	for j := range replicas {
		fmt.Fprintf(&ini, "\n[control %s]\naddress = %s\ndata_centre = %s\n", s.name(j), s.addresses[j], dataCentres[j])
	}
	other := 1 - i
	fmt.Fprintf(&ini, "\n[peer entry-%d]\naddress = %s\ndata_centre = oeste\n", other, addresses[3*other+2])
	return ini.String()
}

func (s *system) searcherSettings(addresses []string) string {
	return fmt.Sprintf(`announce = %s, %s

[node]
id = searchers
data_centre = oeste

[target print-1]
service = %s
listen = %s
catalogue = lots
layout_shards = 2
shards = 0-1
version = 1
slots = 6
connections = 100
service_time = 5ms
lease = 3s
`, addresses[0], addresses[3], printService, s.target)
}

// awaitEntries waits until each entry node runs submits.
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

// runs returns how often the target has run each key.
func (s *system) runs() map[string]int {
	s.t.Helper()
	response, err := http.Get("http://" + s.target + "/v1/runs")
	assert.NilError(s.t, err)
	defer response.Body.Close()
	counts := map[string]int{}
	assert.NilError(s.t, json.NewDecoder(response.Body).Decode(&counts))
	return counts
}

// told is what a caller was told about a key, over all its sends.
type told struct {
	key string
	yes bool
	// unknown is set by a send without a certain answer.
	unknown bool
}

// callerWork submits keys until ctx ends. What got no certain "yes" is sent
// again, at times through both entry nodes at once.
func (s *system) callerWork(ctx context.Context, client int) []told {
	random := rand.New(rand.NewPCG(5, uint64(client)))
	var all []told
	for ctx.Err() == nil {
		result := told{key: load.NewKey(time.Now(), random.Uint64())}
		for try := 0; try < submitTries && !result.yes; try++ {
			s.send(&result, random.IntN(entries), random.IntN(4) == 0)
		}
		all = append(all, result)
		time.Sleep(pace)
	}
	return all
}

func (s *system) send(result *told, entry int, both bool) {
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
			result.yes = true
		case reply.Err != nil || reply.Problem.Ran != api.RanNo:
			result.unknown = true
		}
	}
}

// checkSubmits runs callers under faults and compares what they were told with
// what the target ran.
func checkSubmits(t *testing.T, nemesis func(s *system, random *rand.Rand)) {
	t.Helper()
	s := startSystem(t)
	var mu sync.Mutex
	var all []told
	work := func(ctx context.Context) {
		var wait sync.WaitGroup
		for client := range operators {
			wait.Go(func() {
				done := s.callerWork(ctx, client)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, done...)
			})
		}
		wait.Wait()
	}
	underFaults(s.group, work, func(random *rand.Rand) { nemesis(s, random) })
	s.awaitEntries()
	runs := s.runs()
	yes, no, unknown := 0, 0, 0
	for key, n := range runs {
		assert.Check(t, n == 1, "key %s ran %d times", key, n)
	}
	for _, result := range all {
		switch {
		case result.yes:
			yes++
			assert.Check(t, runs[result.key] == 1, "key %s: told that it ran, it ran %d times", result.key, runs[result.key])
		case !result.unknown:
			no++
			assert.Check(t, runs[result.key] == 0, "key %s: told that it did not run, it ran %d times", result.key, runs[result.key])
		default:
			unknown++
		}
	}
	t.Logf("%d keys: %d ran, %d did not run, %d unknown", len(all), yes, no, unknown)
	assert.Check(t, yes > 0)
}

// TestSubmitsUnderEntryKills kills entry nodes with submits in flight, which
// callers send again through the other one.
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

// TestSubmitsUnderFreezes freezes an entry node and a control process, at times
// together, and lets them go on with what they held.
//
// fault: stop-continue x submit
// fault: two-at-once x submit
func TestSubmitsUnderFreezes(t *testing.T) {
	checkSubmits(t, func(s *system, random *rand.Rand) {
		entry := s.entries[random.IntN(entries)]
		control := s.processes[random.IntN(replicas)]
		entry.freeze()
		pause(300 * time.Millisecond)
		control.freeze()
		pause(900 * time.Millisecond)
		entry.thaw()
		pause(600 * time.Millisecond)
		control.thaw()
		pause(300 * time.Millisecond)
	})
}

// TestSubmitsUnderCuts cuts an entry node off from the control group, in turn
// silently, by refusals and by connections that go silent for good.
//
// fault: cut-one-way x submit
// fault: cut-data-centre x submit
// fault: silent-connection x submit
func TestSubmitsUnderCuts(t *testing.T) {
	kinds := []wire.Cut{wire.CutSilent, wire.CutRefuse, wire.CutSilentOld}
	step := 0
	checkSubmits(t, func(s *system, random *rand.Rand) {
		pause(400 * time.Millisecond)
		file := s.cutFiles[random.IntN(entries)]
		writeCuts(t, file, kinds[step%len(kinds)], s.addresses...)
		step++
		pause(1200 * time.Millisecond)
		writeCuts(t, file, wire.CutNone)
	})
}
