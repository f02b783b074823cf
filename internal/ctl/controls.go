package ctl

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wigeonbay/internal/cli"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/wait"
	"wigeonbay/internal/wire"
)

// retryRoundDelay is the delay after every control process has failed once.
const retryRoundDelay = 200 * time.Millisecond

// rpcClient is the part of wire.Client that is used to call control processes.
type rpcClient interface {
	Call(ctx context.Context, address, method string, args, reply any) error
	Close()
}

// controlClient calls the control processes and fails over to the next one when a
// call fails.
type controlClient struct {
	client rpcClient
	peers  []settings.Peer
}

func newControlClient(client rpcClient, peers []settings.Peer) *controlClient {
	return &controlClient{client: client, peers: peers}
}

// unansweredError reports that no control process completed a call: every attempt
// until the time limit failed, or one was rejected for good.
type unansweredError struct {
	// outcomeUnknown is set when at least one attempt was sent with an unknown
	// outcome, so the call may have taken effect.
	outcomeUnknown bool
	lastErr        error
}

// Error implements error.
func (e *unansweredError) Error() string {
	return fmt.Sprintf("no control process completed the call: %v", e.lastErr)
}

// Unwrap returns the error of the last attempt.
func (e *unansweredError) Unwrap() error {
	return e.lastErr
}

// callWithRetry calls method on the control processes until one completes the
// call, one rejects it for good, or ctx is done. The call must be idempotent. The
// error is an *unansweredError, or a usage error if there is no control process.
// The function result returns the result code of a reply.
func callWithRetry[R any](ctx context.Context, c *controlClient, method string, args any, result func(*R) controlrpc.Result) (*R, error) {
	if len(c.peers) == 0 {
		return nil, cli.Usagef("no control process is configured; use --control or [control NAME] in the settings file")
	}
	failed := &unansweredError{}
	selector := peerSelector{peers: c.peers}
	for {
		reply := new(R)
		err := callOnce(ctx, c.client, selector.address(), method, args, reply)
		if err == nil {
			err = resultError(result(reply))
		}
		if err == nil {
			return reply, nil
		}
		failed.lastErr = err
		failed.outcomeUnknown = failed.outcomeUnknown || mayHaveRun(err)
		if isPermanent(err) || !selector.advance(ctx, err) {
			return nil, failed
		}
	}
}

// callOnce makes one attempt, bounded by controlrpc.DefaultCallTimeout.
func callOnce(ctx context.Context, client rpcClient, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, controlrpc.DefaultCallTimeout)
	defer cancel()
	return client.Call(ctx, address, method, args, reply)
}

// refusedError reports that a control process refused a call.
type refusedError struct {
	result controlrpc.Result
}

// Error implements error.
func (e *refusedError) Error() string {
	if e.result.Detail == "" {
		return string(e.result.Code)
	}
	return fmt.Sprintf("%s: %s", e.result.Code, e.result.Detail)
}

// resultError returns nil for CodeOK and a *refusedError for other codes.
func resultError(result controlrpc.Result) error {
	if result.Code == controlrpc.CodeOK {
		return nil
	}
	return &refusedError{result}
}

// mayHaveRun reports whether a failed attempt may have taken effect.
func mayHaveRun(err error) bool {
	var refused *refusedError
	if !errors.As(err, &refused) {
		return !errors.Is(err, wire.ErrNotSent)
	}
	result := refused.result
	inDoubt := result.Code == controlrpc.CodeNoQuorum || result.Code == controlrpc.CodeStopping
	return inDoubt && !result.NotApplied
}

// isPermanent reports whether every other control process would refuse the call as
// well, so that a retry is useless.
func isPermanent(err error) bool {
	var refused *refusedError
	return errors.As(err, &refused) && (refused.result.Code == controlrpc.CodeInvalid || refused.result.Code == controlrpc.CodeUnsupported)
}

// peerSelector selects the control process for the next attempt: the leader named
// by the previous one, or else the peers round robin.
type peerSelector struct {
	peers []settings.Peer
	index int
	// leader is the leader's address as named in the last reply, if it is to be
	// called next.
	leader string
}

func (s *peerSelector) address() string {
	if s.leader != "" {
		return s.leader
	}
	return s.peers[s.index].Address
}

// advance selects the next process after a failed attempt, with a delay after each
// round of the peers. It returns false when ctx is done. After a named leader fails,
// the next peer in the list is called, whatever leader the failed one names: two
// processes with stale information that name each other must not be called
// alternately without a delay.
func (s *peerSelector) advance(ctx context.Context, err error) bool {
	triedLeader := s.leader
	s.leader = ""
	var refused *refusedError
	if triedLeader == "" && errors.As(err, &refused) && refused.result.Leader != s.peers[s.index].Address {
		s.leader = refused.result.Leader
	}
	if s.leader != "" {
		return ctx.Err() == nil
	}
	s.index = (s.index + 1) % len(s.peers)
	if s.index > 0 {
		return ctx.Err() == nil
	}
	return wait.Sleep(ctx, retryRoundDelay)
}
