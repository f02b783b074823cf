package driver

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/entry"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/wait"
	"wigeonbay/internal/wire"
)

const (
	// ledgerCallTimeout bounds a call to one control process. It is short enough to
	// leave time for asking another one if the first doesn't answer.
	ledgerCallTimeout = 700 * time.Millisecond
	// ledgerRetryInterval is the pause after a failed attempt to record an outcome.
	ledgerRetryInterval = 100 * time.Millisecond
	// recordTimeout bounds the time for recording an outcome, including retries.
	recordTimeout = 2 * time.Minute
)

// errNoControl is returned if the settings contain no control process.
var errNoControl = errors.New("the settings name no control process")

// ledgerClient claims idempotency keys and records outcomes at the control
// processes. It stays with one control process until a call fails. Calls can be
// repeated: a call with the same claim is idempotent.
type ledgerClient struct {
	client *wire.Client
	// controls has the control processes in the node's own data centre first.
	controls []settings.Peer
	claimant string
	// recording counts the outcomes that are being recorded.
	recording sync.WaitGroup

	mu sync.Mutex
	// preferred is the position in controls of the process to call next.
	preferred int
}

func newLedgerClient(config *settings.Entry, client *wire.Client) *ledgerClient {
	controls := slices.Clone(config.Controls)
	slices.SortStableFunc(controls, func(a, b settings.Peer) int {
		return dataCentreDistance(config, a) - dataCentreDistance(config, b)
	})
	return &ledgerClient{client: client, controls: controls, claimant: config.Node.ID}
}

// dataCentreDistance returns 0 for a process in the node's data centre and 1 for
// any other.
func dataCentreDistance(config *settings.Entry, p settings.Peer) int {
	if p.DataCentre == config.Node.DataCentre {
		return 0
	}
	return 1
}

func (l *ledgerClient) beginRecord() { l.recording.Add(1) }

func (l *ledgerClient) endRecord() { l.recording.Done() }

// awaitRecords waits until all outcomes being recorded are done or ctx ends.
func (l *ledgerClient) awaitRecords(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		l.recording.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// claim asks each control process in turn until one decides or the deadline
// passes. Without a decision, NotApplied in the result reports that the claim
// certainly has no effect.
func (l *ledgerClient) claim(ctx context.Context, e entry.ClaimKey) (controlrpc.Result, controlrpc.ClaimReply) {
	ctx, cancel := context.WithDeadline(ctx, e.Deadline)
	defer cancel()
	notApplied := true
	for range len(l.controls) {
		reply, err := l.claimOnce(ctx, e)
		if err == nil && reply.Result.Code == controlrpc.CodeOK {
			return reply.Result, reply
		}
		notApplied = notApplied && certainlyNotApplied(err, reply.Result)
		l.preferNext()
	}
	return controlrpc.Result{Code: controlrpc.CodeNoQuorum, NotApplied: notApplied}, controlrpc.ClaimReply{}
}

func (l *ledgerClient) claimOnce(ctx context.Context, e entry.ClaimKey) (controlrpc.ClaimReply, error) {
	args := controlrpc.ClaimArgs{
		Key:           e.Key,
		KeyTimeUnixMS: e.KeyTimeMS,
		Claim:         e.Claim,
		Claimant:      l.claimant,
		Service:       e.Service,
		Fingerprint:   e.Fingerprint,
	}
	var reply controlrpc.ClaimReply
	err := l.call(ctx, func(ctx context.Context, address string) error {
		args.Envelope = wire.NewEnvelope(ctx)
		return l.client.Call(ctx, address, controlrpc.MethodClaim, &args, &reply)
	})
	return reply, err
}

// certainlyNotApplied reports whether a failed call certainly had no effect.
func certainlyNotApplied(err error, result controlrpc.Result) bool {
	if err != nil {
		return errors.Is(err, wire.ErrNotSent)
	}
	return result.NotApplied
}

// record sends an outcome to the control processes until one has committed it or
// recordTimeout has passed.
func (l *ledgerClient) record(ctx context.Context, e entry.RecordOutcome) error {
	if len(l.controls) == 0 {
		return errNoControl
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	for {
		args := controlrpc.RecordArgs{
			Key:           e.Key,
			Claim:         e.Claim,
			State:         e.State,
			Outcome:       e.Outcome,
			KeyTimeUnixMS: e.KeyTimeMS,
		}
		var reply controlrpc.RecordReply
		err := l.call(ctx, func(ctx context.Context, address string) error {
			args.Envelope = wire.NewEnvelope(ctx)
			return l.client.Call(ctx, address, controlrpc.MethodRecord, &args, &reply)
		})
		if err == nil && reply.Result.Code == controlrpc.CodeOK {
			return nil
		}
		l.preferNext()
		wait.Sleep(ctx, ledgerRetryInterval)
		if ctx.Err() != nil {
			return fmt.Errorf("record outcome of key %q: %w", e.Key, ctx.Err())
		}
	}
}

// call makes one call to the preferred control process.
func (l *ledgerClient) call(ctx context.Context, do func(context.Context, string) error) error {
	l.mu.Lock()
	address := l.controls[l.preferred].Address
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, ledgerCallTimeout)
	defer cancel()
	return do(ctx, address)
}

func (l *ledgerClient) preferNext() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.preferred = (l.preferred + 1) % len(l.controls)
}

// hasControls reports whether the settings contain a control process.
func (l *ledgerClient) hasControls() bool {
	return len(l.controls) > 0
}
