package driver

import (
	"context"
	"sync"
	"time"

	"wigeonbay/internal/membership"
	"wigeonbay/internal/wire"
)

const (
	// callTimeout bounds the call that delivers one message.
	callTimeout = 500 * time.Millisecond
	// maxInFlightPerPeer bounds the calls in flight to one peer. Messages above
	// the limit are dropped as if the network had lost them: the protocol
	// tolerates lost messages and sends again.
	maxInFlightPerPeer = 16
)

// methodDeliver is the net/rpc method that receives messages.
const methodDeliver = "Membership.Deliver"

// Frame carries one encoded message.
type Frame struct {
	Body []byte
}

// FrameReply acknowledges that a message was received. It carries no data.
type FrameReply struct{}

// outbox sends each message in a call and a goroutine of its own, so that a slow
// peer does not delay messages to others.
type outbox struct {
	client   *wire.Client
	counters *Counters
	running  sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc

	mu       sync.Mutex
	inFlight map[string]int
}

func newOutbox(client *wire.Client, counters *Counters) *outbox {
	ctx, cancel := context.WithCancel(context.Background())
	return &outbox{client: client, counters: counters, ctx: ctx, cancel: cancel, inFlight: map[string]int{}}
}

// send encodes the message before it returns, since the reducer may later modify
// data that the message shares, and delivers it in the background.
func (o *outbox) send(e membership.Send) {
	body, err := e.Message.Encode()
	if err != nil || !o.acquire(e.Address) {
		o.counters.dropped.Add(1)
		return
	}
	o.counters.countSent(e.Message.Kind, len(body))
	go func() {
		defer o.release(e.Address)
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		var reply FrameReply
		// A failed call counts as a lost message: the reducer detects a missing
		// answer by its own timeouts.
		_ = o.client.Call(ctx, e.Address, methodDeliver, &Frame{Body: body}, &reply)
	}()
}

// acquire counts a call to the address as in flight. It returns false at the limit
// and after close.
func (o *outbox) acquire(address string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ctx.Err() != nil || o.inFlight[address] >= maxInFlightPerPeer {
		return false
	}
	o.inFlight[address]++
	o.running.Add(1)
	return true
}

func (o *outbox) release(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight[address]--
	if o.inFlight[address] == 0 {
		delete(o.inFlight, address)
	}
	o.running.Done()
}

// close cancels the calls in flight and waits until they have returned.
func (o *outbox) close() {
	o.mu.Lock()
	o.cancel()
	o.mu.Unlock()
	o.running.Wait()
}
