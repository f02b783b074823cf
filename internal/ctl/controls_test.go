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

// scriptedReply is how the fake control group replies to one call.
type scriptedReply struct {
	// wantAddress is the address that must be called; any if it is empty.
	wantAddress string
	err         error
	noReply     bool
	reply       controlrpc.ApplyReply
}

// fakeRPCClient replies to calls from a script and records the addresses called. It
// repeats the last reply of the script.
type fakeRPCClient struct {
	t       *testing.T
	replies []scriptedReply
	calls   []string
}

func (f *fakeRPCClient) Close() {}

func (f *fakeRPCClient) Call(ctx context.Context, address, method string, _, reply any) error {
	assert.Check(f.t, method == controlrpc.MethodApply, method)
	current := f.replies[min(len(f.calls), len(f.replies)-1)]
	f.calls = append(f.calls, address)
	assert.Check(f.t, current.wantAddress == "" || current.wantAddress == address, "call %d went to %s", len(f.calls), address)
	if current.noReply {
		<-ctx.Done()
		return fmt.Errorf("call: %w", ctx.Err())
	}
	*reply.(*controlrpc.ApplyReply) = current.reply
	return current.err
}

var (
	errNotSent        = fmt.Errorf("call: %w: refused", wire.ErrNotSent)
	errConnectionLost = errors.New("unexpected EOF")
	accepted          = controlrpc.ApplyReply{Reply: api.TicketReply{Number: 7, Outcome: api.TicketAccepted, Version: 3}}
	notLeader         = controlrpc.ApplyReply{Result: controlrpc.Result{Code: controlrpc.CodeNotLeader, Leader: "c", NotApplied: true}}
	noLeader          = controlrpc.ApplyReply{Result: controlrpc.Result{Code: controlrpc.CodeNotLeader, NotApplied: true}}
	notApplied        = controlrpc.ApplyReply{Result: controlrpc.Result{Code: controlrpc.CodeNoQuorum, NotApplied: true}}
	inDoubt           = controlrpc.ApplyReply{Result: controlrpc.Result{Code: controlrpc.CodeNoQuorum}}
	invalid           = controlrpc.ApplyReply{Result: controlrpc.Result{Code: controlrpc.CodeInvalid, NotApplied: true, Detail: "too large"}}
)

// fault: cut-both x ticket
func TestSendTicketReportsTheActualOutcome(t *testing.T) {
	cases := []struct {
		name    string
		replies []scriptedReply
		code    int
	}{
		{"first attempt succeeds", []scriptedReply{{wantAddress: "a", reply: accepted}}, cli.ExitSuccess},
		{"failover to the next process", []scriptedReply{{wantAddress: "a", err: errNotSent}, {wantAddress: "b", reply: accepted}}, cli.ExitSuccess},
		{"redirected to the leader", []scriptedReply{{wantAddress: "a", reply: notLeader}, {wantAddress: "c", reply: accepted}}, cli.ExitSuccess},
		{"named leader unreachable", []scriptedReply{{wantAddress: "a", reply: notLeader}, {wantAddress: "c", err: errNotSent}, {wantAddress: "b", reply: accepted}}, cli.ExitSuccess},
		{"election in progress", []scriptedReply{{reply: noLeader}, {reply: noLeader}, {reply: noLeader}, {wantAddress: "b", reply: accepted}}, cli.ExitSuccess},
		{"resent after a lost reply", []scriptedReply{{wantAddress: "a", err: errConnectionLost}, {wantAddress: "b", reply: accepted}}, cli.ExitSuccess},
		{"unreachable", []scriptedReply{{err: errNotSent}}, cli.ExitFailure},
		{"no quorum, not applied", []scriptedReply{{reply: notApplied}}, cli.ExitFailure},
		{"no quorum, outcome unknown", []scriptedReply{{reply: inDoubt}}, cli.ExitInDoubt},
		{"no reply", []scriptedReply{{noReply: true}}, cli.ExitInDoubt},
		{"lost reply, then unreachable", []scriptedReply{{err: errConnectionLost}, {err: errNotSent}}, cli.ExitInDoubt},
		{"lost reply, then not applied", []scriptedReply{{err: errConnectionLost}, {reply: notApplied}}, cli.ExitInDoubt},
		{"invalid", []scriptedReply{{wantAddress: "a", reply: invalid}, {reply: accepted}}, cli.ExitFailure},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &fakeRPCClient{t: t, replies: tc.replies}
				ctx, cancel := context.WithTimeout(context.Background(), defaultTimeout)
				defer cancel()
				reply, err := sendTicket(ctx, newControlClient(fake, []settings.Peer{{Address: "a"}, {Address: "b"}}), &api.Ticket{Number: 7})
				assert.Equal(t, cli.ExitCode(err), tc.code, "%v", err)
				if err == nil {
					assert.Equal(t, reply.Version, uint64(3))
				}
			})
		})
	}
}

// TestRetriesPauseBetweenRoundsDespiteStaleLeaderHints checks that the delay between
// rounds also bounds the number of calls when every process names a leader that is
// not the leader.
func TestRetriesPauseBetweenRoundsDespiteStaleLeaderHints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeRPCClient{t: t, replies: []scriptedReply{{reply: notLeader}}}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := sendTicket(ctx, newControlClient(fake, []settings.Peer{{Address: "a"}, {Address: "b"}}), &api.Ticket{})
		assert.Equal(t, cli.ExitCode(err), cli.ExitFailure)
		const callsPerRound = 4
		rounds := int(10*time.Second/retryRoundDelay) + 1
		assert.Check(t, len(fake.calls) <= rounds*callsPerRound, "%d calls", len(fake.calls))
	})
}
