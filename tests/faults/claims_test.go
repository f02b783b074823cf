//go:build faults

package faults

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/wire"
)

// notApplied reports whether a call is known to have had no effect and to have
// none later.
func notApplied(err error, result controlrpc.Result) bool {
	if err != nil {
		return errors.Is(err, wire.ErrNotSent)
	}
	return result.NotApplied
}

// claimInput is a claim on a key, or, if state is set, a record of its outcome.
type claimInput struct {
	key   string
	claim uint64
	state controlrpc.ClaimState
}

// keyState models the claims on one key, independently of the ledger under test.
type keyState struct {
	state controlrpc.ClaimState
	claim uint64
	// abandoned lists the claims recorded as not run, each as " number ".
	abandoned string
}

func (s keyState) step(in claimInput) (keyState, controlrpc.ClaimVerdict) {
	token := fmt.Sprintf(" %d ", in.claim)
	holds := s.state == controlrpc.ClaimHeld && s.claim == in.claim
	switch {
	case in.state == controlrpc.ClaimRan:
		if holds {
			s.state = controlrpc.ClaimRan
		}
		return s, ""
	case in.state == controlrpc.ClaimNotRun:
		if holds {
			s.state = controlrpc.ClaimNotRun
		}
		if s.state != controlrpc.ClaimRan && !strings.Contains(s.abandoned, token) {
			s.abandoned += token
		}
		return s, ""
	case strings.Contains(s.abandoned, token):
		return s, controlrpc.ClaimAbandoned
	case s.state == controlrpc.ClaimRan:
		return s, controlrpc.ClaimRecorded
	case holds:
		return s, controlrpc.ClaimGranted
	case s.state == controlrpc.ClaimHeld:
		return s, controlrpc.ClaimTaken
	}
	s.state = controlrpc.ClaimHeld
	s.claim = in.claim
	return s, controlrpc.ClaimGranted
}

func claimModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
			byKey := map[string][]porcupine.Operation{}
			var keys []string
			for _, op := range all {
				key := op.Input.(claimInput).key
				if byKey[key] == nil {
					keys = append(keys, key)
				}
				byKey[key] = append(byKey[key], op)
			}
			var parts [][]porcupine.Operation
			for _, key := range keys {
				parts = append(parts, byKey[key])
			}
			return parts
		},
		Init: func() any { return keyState{} },
		Step: func(state, input, output any) (bool, any) {
			next, want := state.(keyState).step(input.(claimInput))
			return output == nil || output.(controlrpc.ClaimVerdict) == want, next
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %v", input, output) },
	}
}

// claimer is a client that competes with others for the same keys.
type claimer struct {
	g       *group
	h       *history
	client  int
	random  *rand.Rand
	keyTime int64
}

func (c *claimer) claim(in claimInput) (controlrpc.ClaimVerdict, bool) {
	args := &controlrpc.ClaimArgs{Key: in.key, KeyTimeUnixMS: c.keyTime, Claim: in.claim, Claimant: fmt.Sprint(c.client), Service: "print", Fingerprint: 1}
	called := c.h.now()
	var reply controlrpc.ClaimReply
	err := c.g.call(c.random.IntN(replicas), controlrpc.MethodClaim, args, &reply)
	if err != nil || reply.Result.Code != controlrpc.CodeOK {
		if !notApplied(err, reply.Result) {
			c.h.add(c.client, in, called, nil)
		}
		return "", false
	}
	c.h.add(c.client, in, called, reply.Verdict)
	return reply.Verdict, true
}

func (c *claimer) record(in claimInput) {
	args := &controlrpc.RecordArgs{Key: in.key, KeyTimeUnixMS: c.keyTime, Claim: in.claim, State: in.state, Outcome: controlrpc.Outcome{Status: 200}}
	called := c.h.now()
	var reply controlrpc.RecordReply
	err := c.g.call(c.random.IntN(replicas), controlrpc.MethodRecord, args, &reply)
	switch {
	case err == nil && reply.Result.Code == controlrpc.CodeOK:
		c.h.add(c.client, in, called, controlrpc.ClaimVerdict(""))
	case !notApplied(err, reply.Result):
		c.h.add(c.client, in, called, nil)
	}
}

// claimKeys claims one key after the other until ctx ends. It records a claim
// without a verdict as not run, and a granted one as run or as not run.
func (c *claimer) claimKeys(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		in := claimInput{key: fmt.Sprintf("key-%d", n), claim: uint64(n*clients+c.client) + 1}
		verdict, answered := c.claim(in)
		switch {
		case !answered:
			in.state = controlrpc.ClaimNotRun
		case verdict == controlrpc.ClaimGranted && c.random.IntN(3) > 0:
			in.state = controlrpc.ClaimRan
		case verdict == controlrpc.ClaimGranted:
			in.state = controlrpc.ClaimNotRun
		}
		if in.state != "" {
			c.record(in)
		}
		time.Sleep(operationInterval)
	}
}

func checkClaims(t *testing.T, nemesis func(g *group, random *rand.Rand)) {
	t.Helper()
	g := startGroup(t)
	h := newHistory()
	keyTime := time.Now().UnixMilli()
	claim := func(ctx context.Context) {
		var wait sync.WaitGroup
		for client := range clients {
			c := &claimer{g: g, h: h, client: client, random: rand.New(rand.NewPCG(3, uint64(client))), keyTime: keyTime}
			wait.Go(func() { c.claimKeys(ctx) })
		}
		wait.Wait()
	}
	runUnderFaults(g, claim, func(random *rand.Rand) { nemesis(g, random) })
	h.check(t, claimModel())
}

// TestClaimsUnderKills kills and restarts control processes while clients claim
// the same keys.
//
// fault: kill x submit
func TestClaimsUnderKills(t *testing.T) {
	checkClaims(t, func(g *group, random *rand.Rand) {
		pause(400 * time.Millisecond)
		victim := random.IntN(replicas)
		if leader, ok := g.leader(); ok && random.IntN(3) > 0 {
			victim = leader
		}
		g.processes[victim].restart()
	})
}

// TestClaimsWithSuspendedFollowerAndIsolatedLeader suspends a follower, isolates
// the leader, and lets the follower resume before the leader reconnects.
//
// fault: two-at-once x submit
// fault: stop-continue x submit
// fault: cut-both x submit
func TestClaimsWithSuspendedFollowerAndIsolatedLeader(t *testing.T) {
	checkClaims(t, func(g *group, _ *rand.Rand) {
		leader, ok := g.leader()
		if !ok {
			pause(100 * time.Millisecond)
			return
		}
		suspended := (leader + 1) % replicas
		g.processes[suspended].suspend()
		g.isolate(leader)
		pause(800 * time.Millisecond)
		g.processes[suspended].resume()
		pause(800 * time.Millisecond)
		g.heal()
		pause(600 * time.Millisecond)
	})
}
