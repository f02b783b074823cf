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

// crashingControl is a control process that crashes while it handles a ticket.
type crashingControl struct {
	fakeControl
	server   *wire.Server
	testDone chan struct{}
}

// Apply closes the server and doesn't reply before the test ends.
func (p *crashingControl) Apply(*controlrpc.ApplyArgs, *controlrpc.ApplyReply) error {
	go p.server.Close()
	<-p.testDone
	return nil
}

// TestTicketReachesAnotherProcessWhenOneCrashes has the first process crash after it
// received the ticket. The client must send the ticket to the second process with the
// same number.
//
// fault: kill x ticket
func TestTicketReachesAnotherProcessWhenOneCrashes(t *testing.T) {
	t.Parallel()
	crashing := &crashingControl{server: wire.NewServer(), testDone: make(chan struct{})}
	defer close(crashing.testDone)
	assert.NilError(t, crashing.server.Register("Control", crashing))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	crashing.server.Serve(listener)
	checkSecondReceivesTicket(t, listener.Addr().String())
}

// TestTicketReachesAnotherProcessWhenOneIsStopped has connections to the first
// process succeed without a reply, as the kernel completes them for a stopped
// process. The client must fail over to the second process.
//
// fault: stop-continue x ticket
func TestTicketReachesAnotherProcessWhenOneIsStopped(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	checkSecondReceivesTicket(t, listener.Addr().String())
}

func checkSecondReceivesTicket(t *testing.T, first string) {
	t.Helper()
	sys := newTestSystem(t)
	sys.flags = append([]string{"wigeonctl", "--timeout", "30s", "--control", first}, sys.flags[3:]...)
	code, out, errs := sys.run("apply", "-f", writeTicketFile(t))
	assert.Equal(t, code, cli.ExitSuccess, errs)
	assert.Equal(t, out, "ticket 7 accepted, configuration version 3\n")
	assert.Equal(t, len(sys.control.tickets), 1)
	assert.Equal(t, sys.control.tickets[0].Number, uint64(7))
}

// TestTicketIsAppliedAfterItsConnectionGoesSilent has an established connection lose
// all packets without a reset before the ticket is sent, as when a middlebox drops its
// state. The first attempt must report an unknown outcome, and the retry must succeed
// on a new connection.
//
// fault: silent-connection x ticket
func TestTicketIsAppliedAfterItsConnectionGoesSilent(t *testing.T) {
	t.Parallel()
	sys := newTestSystem(t)
	var silent atomic.Bool
	client := wire.NewClient(wire.CutDialer(nil, func(string) wire.Cut {
		if silent.Load() {
			return wire.CutSilentOld
		}
		return wire.CutNone
	}))
	defer client.Close()
	c := newControlClient(client, []settings.Peer{{Address: sys.flags[4]}})
	_, err := fetchConfiguration(context.Background(), c)
	assert.NilError(t, err)
	silent.Store(true)
	first, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = sendTicket(first, c, &api.Ticket{Number: 7})
	assert.Equal(t, cli.ExitCode(err), cli.ExitInDoubt)
	reply, err := sendTicket(context.Background(), c, &api.Ticket{Number: 7})
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome, api.TicketAccepted)
	assert.Equal(t, len(sys.control.tickets), 1, "a ticket written to the silent connection must be lost")
}
