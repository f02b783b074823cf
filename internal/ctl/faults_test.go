package ctl

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/cli"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/wire"
)

// dyingControl is a control process that dies with a ticket in its hands.
type dyingControl struct {
	fakeControl
	server *wire.Server
	over   chan struct{}
}

// Apply ends the process before it replies.
func (d *dyingControl) Apply(*controlrpc.ApplyArgs, *controlrpc.ApplyReply) error {
	go d.server.Close()
	<-d.over
	return nil
}

// TestTicketReachesAnotherProcessWhenOneDies has the first process take the
// ticket and die: the second gets it under the same number.
//
// fault: kill x ticket
func TestTicketReachesAnotherProcessWhenOneDies(t *testing.T) {
	t.Parallel()
	dying := &dyingControl{server: wire.NewServer(), over: make(chan struct{})}
	defer close(dying.over)
	assert.NilError(t, dying.server.Register("Control", dying))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	dying.server.Serve(listener)
	checkSecondGetsTicket(t, listener.Addr().String())
}

// TestTicketReachesAnotherProcessWhenOneIsStopped has the first process take
// connections, as the kernel does for a stopped one, and never reply.
//
// fault: stop-continue x ticket
func TestTicketReachesAnotherProcessWhenOneIsStopped(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	checkSecondGetsTicket(t, listener.Addr().String())
}

func checkSecondGetsTicket(t *testing.T, first string) {
	t.Helper()
	b := newBench(t)
	b.flags = append([]string{"wigeonctl", "--timeout", "30s", "--control", first}, b.flags[3:]...)
	code, out, errs := b.run("apply", "-f", ticketPath(t))
	assert.Equal(t, code, cli.ExitSuccess, errs)
	assert.Equal(t, out, "ticket 7 accepted, configuration version 3\n")
	assert.Equal(t, len(b.control.tickets), 1)
	assert.Equal(t, b.control.tickets[0].Number, uint64(7))
}

// TestTicketGetsThroughWhenItsConnectionGoesSilent uses a connection, and has
// something on the way lose track of it before the ticket. The operator is told
// that the ticket is in doubt, and resends it.
//
// fault: silent-connection x ticket
func TestTicketGetsThroughWhenItsConnectionGoesSilent(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	var silent atomic.Bool
	client := wire.NewClient(wire.CutDialer(nil, func(string) wire.Cut {
		if silent.Load() {
			return wire.CutSilentOld
		}
		return wire.CutNone
	}))
	defer client.Close()
	c := newControls(client, []settings.Peer{{Address: b.flags[4]}})
	_, err := fetch(context.Background(), c)
	assert.NilError(t, err)
	silent.Store(true)
	first, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = sendTicket(first, c, &api.Ticket{Number: 7})
	assert.Equal(t, cli.ExitCode(err), cli.ExitInDoubt)
	reply, err := sendTicket(context.Background(), c, &api.Ticket{Number: 7})
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome, api.TicketAccepted)
	assert.Equal(t, len(b.control.tickets), 1, "what was written to the silent connection is lost")
}
