package driver

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/entry"
	"wigeonbay/internal/entry/limit"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/wire"
)

// fakeControl answers every claim in one way and counts them.
type fakeControl struct {
	result controlrpc.Result
	calls  chan struct{}
}

// Claim implements the method of controlrpc.
func (f *fakeControl) Claim(_ *controlrpc.ClaimArgs, reply *controlrpc.ClaimReply) error {
	f.calls <- struct{}{}
	reply.Result = f.result
	reply.Verdict = controlrpc.ClaimGranted
	return nil
}

func newLedgerTest(t *testing.T, f *fakeControl) *ledgerClient {
	server := wire.NewServer()
	assert.NilError(t, server.Register("Control", f))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server.Serve(listener)
	t.Cleanup(server.Close)
	client := wire.NewClient(nil)
	t.Cleanup(client.Close)
	return newLedgerClient(&settings.Entry{
		Controls: []settings.Peer{{ID: "c1", Address: listener.Addr().String(), DataCentre: "oeste"}},
	}, client)
}

// While a trial is under way others are refused without a call, so that their
// refusal doesn't wait for a deadline; a trial that succeeds ends that.
//
// fault: cut of one data centre x submit
func TestClaimsAreRefusedAtOnceWithoutAQuorum(t *testing.T) {
	f := &fakeControl{result: controlrpc.Result{Code: controlrpc.CodeNoQuorum}, calls: make(chan struct{}, 100)}
	l := newLedgerTest(t, f)
	claim := func() controlrpc.Result {
		result, _ := l.claim(context.Background(), entry.ClaimKey{Key: "1-a", Deadline: time.Now().Add(time.Minute)})
		return result
	}
	first := claim()
	assert.Equal(t, first.Code, controlrpc.CodeNoQuorum)
	assert.Assert(t, !first.NotApplied, "the first claim may still be committed")
	assert.Assert(t, l.allow(), "a trial is under way")
	refused := claim()
	assert.Equal(t, refused.Code, controlrpc.CodeNoQuorum)
	assert.Assert(t, refused.NotApplied, "nothing was sent")
	assert.Equal(t, len(f.calls), 1)
	f.result = controlrpc.Result{}
	l.done(limit.CallSucceeded)
	assert.Equal(t, claim().Code, controlrpc.CodeOK)
}
