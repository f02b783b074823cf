package driver

import (
	"context"
	"sync"
	"time"

	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/wire"
)

// replyFlushTime is how long connections stay open after the last call has
// ended, so that its reply is still sent.
const replyFlushTime = 50 * time.Millisecond

// calls counts the calls in progress, so that a shutdown can wait for them.
type calls struct {
	mu       sync.Mutex
	stopping chan struct{}
	inFlight sync.WaitGroup
}

func newCalls() *calls { return &calls{stopping: make(chan struct{})} }

// begin counts a call. It returns false if the node is stopping.
func (c *calls) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isStopping() {
		return false
	}
	c.inFlight.Add(1)
	return true
}

func (c *calls) isStopping() bool {
	select {
	case <-c.stopping:
		return true
	default:
		return false
	}
}

// drain rejects new calls and waits for those in progress.
func (c *calls) drain() {
	c.mu.Lock()
	if !c.isStopping() {
		close(c.stopping)
	}
	c.mu.Unlock()
	c.inFlight.Wait()
}

// begin starts a call. It returns the call's context and a function that ends
// the call, or false if the node is stopping. extra extends the timeout of a
// call that sets none.
func (n *Node) begin(envelope wire.Envelope, extra time.Duration) (context.Context, func(), bool) {
	if n.stop.Err() != nil || !n.calls.begin() {
		return nil, nil, false
	}
	ctx, cancel := envelope.Context(controlrpc.DefaultCallTimeout + extra)
	done := func() {
		cancel()
		n.calls.inFlight.Done()
	}
	return ctx, done, true
}

// serveCall executes run, or sets result to a stopping error if the node is
// stopping. extra is as for begin.
func (n *Node) serveCall(envelope wire.Envelope, extra time.Duration, result *controlrpc.Result, run func(context.Context)) {
	ctx, done, ok := n.begin(envelope, extra)
	if !ok {
		*result = stoppingResult()
		return
	}
	defer done()
	run(ctx)
}

func stoppingResult() controlrpc.Result {
	return notApplied(controlrpc.CodeStopping, errStopping.Error())
}
