//go:build faults

package faults

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/wire"
)

const (
	replicas = 3
	// callTimeout bounds one call to a process.
	callTimeout = 2 * time.Second
	// settleTimeout bounds each wait for processes to become ready or recover.
	settleTimeout = 20 * time.Second
)

var dataCentres = [replicas]string{"oeste", "serra", "litoral"}

// group is a control group of three processes.
type group struct {
	t         *testing.T
	addresses []string
	processes []*process
	cutFiles  []string
	client    *wire.Client
}

func startGroup(t *testing.T) *group {
	t.Helper()
	addresses := freeAddresses(t, 2*replicas)
	g := &group{t: t, addresses: addresses[:replicas], client: wire.NewClient(nil)}
	t.Cleanup(g.client.Close)
	for i := range replicas {
		g.cutFiles = append(g.cutFiles, filepath.Join(t.TempDir(), "cuts"))
		g.processes = append(g.processes, launch(t, "wigeon-control", g.name(i), g.settings(i, addresses[replicas+i])))
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, p := range g.processes {
				t.Logf("%s:\n%s", p.config, p.logTail())
			}
		}
	})
	g.awaitConvergence()
	return g
}

func (g *group) name(i int) string { return "control-" + dataCentres[i] }

func (g *group) settings(i int, operators string) string {
	var ini strings.Builder
	fmt.Fprintf(&ini, "group = faults\n\n[node]\nid = %s\ndata_centre = %s\n\n", g.name(i), dataCentres[i])
	fmt.Fprintf(&ini, "[listen]\npeers = %s\noperators = %s\n\n", g.addresses[i], operators)
	fmt.Fprintf(&ini, "[storage]\nfolder = data\nsnapshot_entries = 200\n\n[testing]\ncut_file = %s\n", g.cutFiles[i])
	for j := range replicas {
		fmt.Fprintf(&ini, "\n[member %s]\naddress = %s\ndata_centre = %s\n", g.name(j), g.addresses[j], dataCentres[j])
	}
	return ini.String()
}

// call calls a method of one replica.
func (g *group) call(i int, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return g.client.Call(ctx, g.addresses[i], method, args, reply)
}

func (g *group) status(i int) (controlrpc.StatusReply, error) {
	var reply controlrpc.StatusReply
	err := g.call(i, controlrpc.MethodStatus, &controlrpc.StatusArgs{}, &reply)
	return reply, err
}

// leader returns the replica that reports itself leader in the highest term, and
// false if none does.
func (g *group) leader() (int, bool) {
	found, term := 0, uint64(0)
	for i := range replicas {
		status, err := g.status(i)
		if err == nil && status.State == "leader" && status.Term > term {
			found, term = i, status.Term
		}
	}
	return found, term > 0
}

// awaitConvergence waits until confirmed fetches succeed through every replica and
// all replicas have applied the same index.
func (g *group) awaitConvergence() {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		applied := uint64(0)
		for i := range replicas {
			var reply controlrpc.FetchReply
			err := g.call(i, controlrpc.MethodFetch, &controlrpc.FetchArgs{Confirmed: true}, &reply)
			if err != nil || reply.Result.Code != controlrpc.CodeOK {
				return poll.Continue("%s: %v %v", g.name(i), err, reply.Result)
			}
			if i > 0 && reply.Applied != applied {
				return poll.Continue("%s has applied %d, not %d", g.name(i), reply.Applied, applied)
			}
			applied = reply.Applied
		}
		return poll.Success()
	}, poll.WithTimeout(settleTimeout), poll.WithDelay(50*time.Millisecond))
}

// cut applies a kind of cut to the connections that replica from dials to the
// replicas to, and removes its other cuts.
func (g *group) cut(from int, kind wire.Cut, to ...int) {
	g.t.Helper()
	var addresses []string
	for _, i := range to {
		addresses = append(addresses, g.addresses[i])
	}
	writeCuts(g.t, g.cutFiles[from], kind, addresses...)
}

// writeCuts atomically replaces the cut file of a process. Without addresses, the
// file ends all cuts.
func writeCuts(t *testing.T, file string, kind wire.Cut, addresses ...string) {
	t.Helper()
	var lines strings.Builder
	for _, address := range addresses {
		fmt.Fprintf(&lines, "%s %s\n", address, kind)
	}
	assert.NilError(t, os.WriteFile(file+".new", []byte(lines.String()), 0o644))
	assert.NilError(t, os.Rename(file+".new", file))
}

// isolate cuts a replica off from the others in both directions; the test's client
// can still reach it.
func (g *group) isolate(i int) {
	a, b := (i+1)%replicas, (i+2)%replicas
	g.cut(i, wire.CutSilent, a, b)
	g.cut(a, wire.CutSilent, i)
	g.cut(b, wire.CutSilent, i)
}

// heal ends all cuts between control processes.
func (g *group) heal() {
	for _, file := range g.cutFiles {
		_ = os.Remove(file)
	}
}
