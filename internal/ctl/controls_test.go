package ctl

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/cli"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/wire"
)

// step is how the fake control group answers one call.
type step struct {
	// at is the address that must be called.
	at     string
	err    error
	silent bool
	reply  controlrpc.ApplyReply
}

// fakeCaller answers calls by a script; its last step repeats.
type fakeCaller struct {
	t     *testing.T
	steps []step
	calls []string
}

func (f *fakeCaller) Close() {}

func (f *fakeCaller) Call(ctx context.Context, address, method string, _, reply any) error {
	assert.Check(f.t, method == controlrpc.MethodApply, method)
	current := f.steps[min(len(f.calls), len(f.steps)-1)]
	f.calls = append(f.calls, address)
	assert.Check(f.t, current.at == "" || current.at == address, "call %d went to %s", len(f.calls), address)
	if current.silent {
		<-ctx.Done()
		return fmt.Errorf("call: %w", ctx.Err())
	}
	*reply.(*controlrpc.ApplyReply) = current.reply
	return current.err
}

var (
	errNotSent   = fmt.Errorf("call: %w: refused", wire.ErrNotSent)
	errBrokenOff = errors.New("unexpected EOF")
	accepted     = controlrpc.ApplyReply{Reply: api.TicketReply{Number: 7, Outcome: api.TicketAccepted, Version: 3}}
	notLeader    = controlrpc.ApplyReply{Result: controlrpc.Result{Code: controlrpc.CodeNotLeader, Leader: "c", NotApplied: true}}
	noLeader     = controlrpc.ApplyReply{Result: controlrpc.Result{Code: controlrpc.CodeNotLeader, NotApplied: true}}
	notApplied   = controlrpc.ApplyReply{Result: controlrpc.Result{Code: controlrpc.CodeNoQuorum, NotApplied: true}}
	inDoubt      = controlrpc.ApplyReply{Result: controlrpc.Result{Code: controlrpc.CodeNoQuorum}}
	invalid      = controlrpc.ApplyReply{Result: controlrpc.Result{Code: controlrpc.CodeInvalid, NotApplied: true, Detail: "too large"}}
)

// fault: cut-both x ticket
func TestSendTicketEndsWithTheTrueOutcome(t *testing.T) {
	cases := []struct {
		name  string
		steps []step
		code  int
	}{
		{"answered at once", []step{{at: "a", reply: accepted}}, cli.ExitSuccess},
		{"next one when one fails", []step{{at: "a", err: errNotSent}, {at: "b", reply: accepted}}, cli.ExitSuccess},
		{"leader named", []step{{at: "a", reply: notLeader}, {at: "c", reply: accepted}}, cli.ExitSuccess},
		{"named leader gone", []step{{at: "a", reply: notLeader}, {at: "c", err: errNotSent}, {at: "b", reply: accepted}}, cli.ExitSuccess},
		{"election under way", []step{{reply: noLeader}, {reply: noLeader}, {reply: noLeader}, {at: "b", reply: accepted}}, cli.ExitSuccess},
		{"resent after a lost reply", []step{{at: "a", err: errBrokenOff}, {at: "b", reply: accepted}}, cli.ExitSuccess},
		{"never reached", []step{{err: errNotSent}}, cli.ExitFailure},
		{"no quorum, not applied", []step{{reply: notApplied}}, cli.ExitFailure},
		{"no quorum, in doubt", []step{{reply: inDoubt}}, cli.ExitInDoubt},
		{"silent", []step{{silent: true}}, cli.ExitInDoubt},
		{"lost reply, then never reached", []step{{err: errBrokenOff}, {err: errNotSent}}, cli.ExitInDoubt},
		{"lost reply, then not applied", []step{{err: errBrokenOff}, {reply: notApplied}}, cli.ExitInDoubt},
		{"invalid", []step{{at: "a", reply: invalid}, {reply: accepted}}, cli.ExitFailure},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &fakeCaller{t: t, steps: tc.steps}
				ctx, cancel := context.WithTimeout(context.Background(), defaultTimeout)
				defer cancel()
				reply, err := sendTicket(ctx, newControls(fake, []settings.Peer{{Address: "a"}, {Address: "b"}}), &api.Ticket{Number: 7})
				assert.Equal(t, cli.ExitCode(err), tc.code, "%v", err)
				if err == nil {
					assert.Equal(t, reply.Version, uint64(3))
				}
			})
		})
	}
}

func TestAskPausesBetweenRoundsAlsoWhenLeadersNameEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeCaller{t: t, steps: []step{{reply: notLeader}}}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := sendTicket(ctx, newControls(fake, []settings.Peer{{Address: "a"}, {Address: "b"}}), &api.Ticket{})
		assert.Equal(t, cli.ExitCode(err), cli.ExitFailure)
		const callsPerRound = 4
		rounds := int(10*time.Second/roundPause) + 1
		assert.Check(t, len(fake.calls) <= rounds*callsPerRound, "%d calls", len(fake.calls))
	})
}
