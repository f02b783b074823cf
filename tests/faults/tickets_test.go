//go:build faults

package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/clusterconfig"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/wire"
)

const (
	// clients is the number of concurrent clients, which act as operators, claimants
	// or callers.
	clients = 4
	// objects is the number of services that tickets change.
	objects = 2
	// faultDuration is how long clients run under faults.
	faultDuration = 5 * time.Second
	// operationInterval is the pause between the operations of one client.
	operationInterval = 30 * time.Millisecond
)

// ticketInput is a ticket that sets one object or, if read is set, a confirmed
// read.
type ticketInput struct {
	read   bool
	number uint64
	object int
	value  int64 // the service's deadline in milliseconds, which tells contents apart
}

type ticketOutput struct {
	outcome api.TicketOutcome
	version uint64
	values  [objects]int64 // of a read
}

// ticketState models the rules for tickets, independently of the code under test.
type ticketState struct {
	version  uint64
	setBy    [objects]uint64
	values   [objects]int64
	accepted string // " number/object/value@version" of each accepted ticket
}

func (s ticketState) apply(in ticketInput) (ticketState, ticketOutput) {
	prefix := fmt.Sprintf(" %d/", in.number)
	content := fmt.Sprintf("%s%d/%d@", prefix, in.object, in.value)
	if at := strings.Index(s.accepted, content); at >= 0 {
		var version uint64
		_, _ = fmt.Sscan(s.accepted[at+len(content):], &version)
		return s, ticketOutput{outcome: api.TicketAccepted, version: version}
	}
	if strings.Contains(s.accepted, prefix) {
		return s, ticketOutput{outcome: api.TicketConflict}
	}
	if s.setBy[in.object] > in.number {
		return s, ticketOutput{outcome: api.TicketStale}
	}
	s.version++
	s.setBy[in.object] = in.number
	s.values[in.object] = in.value
	s.accepted += fmt.Sprintf("%s%d", content, s.version)
	return s, ticketOutput{outcome: api.TicketAccepted, version: s.version}
}

func ticketModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return ticketState{} },
		Step: func(state, input, output any) (bool, any) {
			s, in := state.(ticketState), input.(ticketInput)
			if in.read {
				got := output.(ticketOutput)
				return got.version == s.version && got.values == s.values, s
			}
			next, want := s.apply(in)
			if output == nil {
				return true, next
			}
			got := output.(ticketOutput)
			if want.outcome != api.TicketAccepted {
				got.version = 0
			}
			return got == want, next
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
	}
}

// runOperators runs concurrent operators until ctx ends. Each sends tickets and
// confirmed reads through random replicas. All operators use the same numbers, so
// that their tickets conflict. A ticket without an outcome is sent up to three
// times.
func runOperators(ctx context.Context, g *group, h *history) {
	var wait sync.WaitGroup
	for client := range clients {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(client)))
			for n := uint64(1); ctx.Err() == nil; n++ {
				in := ticketInput{number: n, object: random.IntN(objects), value: int64(n)*10 + int64(client)}
				for attempts := 0; attempts < 3 && !sendTicket(g, h, client, random.IntN(replicas), in); attempts++ {
				}
				readConfig(g, h, client, random.IntN(replicas))
				time.Sleep(operationInterval)
			}
		})
	}
	wait.Wait()
}

// sendTicket sends a ticket through a replica, records it in the history and
// reports whether the reply contained an outcome, also if the ticket was refused. A
// call that is known to have had no effect isn't recorded.
func sendTicket(g *group, h *history, client, replica int, in ticketInput) bool {
	args := &controlrpc.ApplyArgs{Ticket: api.Ticket{Number: in.number, Operator: fmt.Sprint(client), Services: []api.Service{{
		Name: fmt.Sprint(in.object), Prefer: api.PreferDeadline, DeadlineMS: in.value,
	}}}}
	called := h.now()
	var reply controlrpc.ApplyReply
	err := g.call(replica, controlrpc.MethodApply, args, &reply)
	switch {
	case err != nil || reply.Result.Code != controlrpc.CodeOK:
		if !notApplied(err, reply.Result) {
			h.add(client, in, called, nil)
		}
		return false
	case reply.Reply.Outcome == api.TicketAccepted:
		h.add(client, in, called, ticketOutput{outcome: reply.Reply.Outcome, version: reply.Reply.Version})
	default:
		h.add(client, in, called, ticketOutput{outcome: reply.Reply.Outcome})
	}
	return true
}

func readConfig(g *group, h *history, client, replica int) {
	called := h.now()
	var reply controlrpc.FetchReply
	err := g.call(replica, controlrpc.MethodFetch, &controlrpc.FetchArgs{Confirmed: true}, &reply)
	if err != nil || reply.Result.Code != controlrpc.CodeOK {
		return
	}
	cfg, err := clusterconfig.ApplyDelta(clusterconfig.Empty(), reply.Delta)
	if err != nil {
		g.t.Errorf("delta of %s: %v", g.name(replica), err)
		return
	}
	out := ticketOutput{version: cfg.Version}
	for i := range objects {
		out.values[i] = cfg.Services[fmt.Sprint(i)].DeadlineMS
	}
	h.add(client, ticketInput{read: true}, called, out)
}

// runUnderFaults runs work for faultDuration while it calls nemesis, which causes
// faults, again and again. Then it ends all cuts between control processes and
// waits until the group has converged.
func runUnderFaults(g *group, work func(context.Context), nemesis func(random *rand.Rand)) {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), faultDuration)
	defer cancel()
	var wait sync.WaitGroup
	wait.Go(func() { work(ctx) })
	random := rand.New(rand.NewPCG(7, 7))
	for ctx.Err() == nil {
		nemesis(random)
	}
	wait.Wait()
	g.heal()
	g.awaitConvergence()
}

// pause waits while the system runs under the present faults.
func pause(d time.Duration) { time.Sleep(d) }

func checkTickets(t *testing.T, nemesis func(g *group, random *rand.Rand)) {
	t.Helper()
	g := startGroup(t)
	h := newHistory()
	runUnderFaults(g, func(ctx context.Context) { runOperators(ctx, g, h) }, func(random *rand.Rand) { nemesis(g, random) })
	for i := range replicas {
		readConfig(g, h, i, i)
	}
	h.check(t, ticketModel())
}

// TestTicketsUnderKills kills control processes, preferably the leader, and
// restarts them from their disks.
//
// fault: kill x ticket
// fault: kill x restart
// fault: operators-racing x restart
func TestTicketsUnderKills(t *testing.T) {
	checkTickets(t, func(g *group, random *rand.Rand) {
		pause(400 * time.Millisecond)
		victim := random.IntN(replicas)
		if leader, ok := g.leader(); ok && random.IntN(3) > 0 {
			victim = leader
		}
		g.processes[victim].kill()
		pause(600 * time.Millisecond)
		g.processes[victim].start()
	})
}

// TestTicketsWhileLeaderIsSuspended suspends the leader for longer than an
// election takes. When it resumes, it must not serve requests as if it were still
// the leader.
//
// fault: stop-continue x ticket
func TestTicketsWhileLeaderIsSuspended(t *testing.T) {
	checkTickets(t, func(g *group, _ *rand.Rand) {
		pause(300 * time.Millisecond)
		leader, ok := g.leader()
		if !ok {
			return
		}
		g.processes[leader].suspend()
		pause(1500 * time.Millisecond)
		g.processes[leader].resume()
	})
}

// TestTicketsUnderCuts cuts the leader off in three ways in turn: in both
// directions, only for the connections that it dials, or only for existing
// connections that the others have dialled to it.
//
// fault: cut-both x ticket
// fault: cut-one-way x ticket
// fault: silent-connection x ticket
func TestTicketsUnderCuts(t *testing.T) {
	step := 0
	checkTickets(t, func(g *group, _ *rand.Rand) {
		leader, ok := g.leader()
		if !ok {
			pause(100 * time.Millisecond)
			return
		}
		a, b := (leader+1)%replicas, (leader+2)%replicas
		switch step++; step % 3 {
		case 1:
			g.isolate(leader)
		case 2:
			g.cut(leader, wire.CutSilent, a, b)
		case 0:
			g.cut(a, wire.CutSilentOld, leader)
			g.cut(b, wire.CutSilentOld, leader)
		}
		pause(time.Second)
		g.heal()
		pause(300 * time.Millisecond)
	})
	assert.Check(t, step >= 3, "not every kind of cut was made")
}

// TestIsolatedLeaderRefusesTicketsAndCatchesUp isolates the leader, alone on its
// VM, while the others accept hundreds of tickets. It must refuse confirmed reads
// and tickets until the cut ends and catch up afterwards. Finally the whole group
// restarts and must still have every ticket.
//
// fault: control-alone x ticket
// fault: cut-data-centre x ticket
// fault: restart-after-changes x restart
func TestIsolatedLeaderRefusesTicketsAndCatchesUp(t *testing.T) {
	g := startGroup(t)
	isolated, ok := g.leader()
	assert.Assert(t, ok)
	g.isolate(isolated)
	h := newHistory()
	other := (isolated + 1) % replicas
	const changes = 300
	for n := uint64(1); n <= changes; n++ {
		in := ticketInput{number: n, object: int(n) % objects, value: int64(n)}
		for deadline := time.Now().Add(settleTimeout); !sendTicket(g, h, 0, other, in); {
			assert.Assert(t, time.Now().Before(deadline), "ticket %d was not accepted", n)
		}
	}
	var fetched controlrpc.FetchReply
	err := g.call(isolated, controlrpc.MethodFetch, &controlrpc.FetchArgs{Confirmed: true}, &fetched)
	assert.Assert(t, err != nil || fetched.Result.Code != controlrpc.CodeOK, "isolated replica confirmed %+v", fetched)
	assert.Assert(t, !sendTicket(g, h, 1, isolated, ticketInput{number: changes + 1, value: 1}), "isolated replica accepted a ticket")
	g.heal()
	g.awaitConvergence()
	for _, p := range g.processes {
		p.kill()
	}
	for _, p := range g.processes {
		p.start()
	}
	g.awaitConvergence()
	for i := range replicas {
		readConfig(g, h, i, i)
	}
	h.check(t, ticketModel())
}
