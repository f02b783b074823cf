// Package peercall makes and serves the calls by which entry nodes pass callers' requests
// on to each other. It ends the work of a call that nobody waits for any more.
package peercall

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/bootclock"
	"wigeonbay/internal/entryrpc"
	"wigeonbay/internal/telemetry"
	"wigeonbay/internal/wire"
)

// cancelTimeout limits the call that cancels another one.
const cancelTimeout = time.Second

// Client passes requests on to other entry nodes. It is safe for concurrent use.
type Client struct {
	wire   *wire.Client
	logger *zap.Logger
	node   string
	// start identifies this process among those of the node.
	start      uint64
	lastNumber atomic.Uint64
}

// NewClient returns a client for the node with the given name. Close closes calls.
func NewClient(node string, calls *wire.Client, logger *zap.Logger) *Client {
	return &Client{wire: calls, logger: logger, node: node, start: rand.Uint64()}
}

// Forward passes a request on to the node at address and waits for the reply or for ctx.
// It fills in the ID of args and when they were sent. If ctx is cancelled, the node is told
// to end its work. The error wraps wire.ErrNotSent if the node has certainly not received the
// request; otherwise the request may have run.
func (c *Client) Forward(ctx context.Context, address string, args *entryrpc.ForwardArgs) (*entryrpc.ForwardReply, error) {
	args.ID = entryrpc.CallID{Node: c.node, Start: c.start, Number: c.lastNumber.Add(1)}
	args.SentUS = bootclock.Now().Microseconds()
	var reply entryrpc.ForwardReply
	err := c.wire.Call(ctx, address, entryrpc.MethodForward, args, &reply)
	if errors.Is(ctx.Err(), context.Canceled) && !errors.Is(err, wire.ErrNotSent) {
		c.cancel(address, args.ID)
	}
	return &reply, err
}

// cancel tells a node that nobody waits for a call any more. A failure is not retried: the
// node ends the work at its deadline, or when the connection ends.
func (c *Client) cancel(address string, id entryrpc.CallID) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	err := c.wire.Call(ctx, address, entryrpc.MethodCancel, &entryrpc.CancelArgs{ID: id}, &entryrpc.CancelReply{})
	if err != nil && !errors.Is(err, wire.ErrClosed) {
		telemetry.ForwardCancelNotDelivered.Log(c.logger, zap.String("peer", address), zap.Error(err))
	}
}

// Close ends the calls in progress.
func (c *Client) Close() { c.wire.Close() }
