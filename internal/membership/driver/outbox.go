package driver

import (
	"context"
	"sync"
	"time"

	"wigeonbay/internal/membership"
	"wigeonbay/internal/wire"
)

const (
	// callTimeout bounds one call that carries a message.
	callTimeout = 500 * time.Millisecond
	// perPeerLimit bounds the messages under way to one peer. A message above
	// it is dropped, as if the network had lost it: the protocol repeats.
	perPeerLimit = 16
)

// methodDeliver is the method that takes messages.
const methodDeliver = "Membership.Deliver"

// Frame carries one encoded message.
type Frame struct {
	Body []byte
}

// FrameReply acknowledges that a message arrived; it says no more.
type FrameReply struct{}

// outbox sends messages, each in a call of its own. A slow peer delays nobody
// else.
type outbox struct {
	client   *wire.Client
	counters *Counters
	running  sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc

	mu       sync.Mutex
	underWay map[string]int
}

func newOutbox(client *wire.Client, counters *Counters) *outbox {
	ctx, cancel := context.WithCancel(context.Background())
	return &outbox{client: client, counters: counters, ctx: ctx, cancel: cancel, underWay: map[string]int{}}
}

// send encodes the message now, since the reducer may change what it shares,
// and sends it in the background.
func (o *outbox) send(e membership.Send) {
	body, err := e.Message.Encode()
	if err != nil || !o.begin(e.Address) {
		o.counters.dropped.Add(1)
		return
	}
	o.counters.countSent(e.Message.Kind, len(body))
	go func() {
		defer o.end(e.Address)
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		var reply FrameReply
		// A failed call is a lost message: the reducer finds out by silence.
		_ = o.client.Call(ctx, e.Address, methodDeliver, &Frame{Body: body}, &reply)
	}()
}

func (o *outbox) begin(address string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ctx.Err() != nil || o.underWay[address] >= perPeerLimit {
		return false
	}
	o.underWay[address]++
	o.running.Add(1)
	return true
}

func (o *outbox) end(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.underWay[address]--
	if o.underWay[address] == 0 {
		delete(o.underWay, address)
	}
	o.running.Done()
}

// close gives up the calls that are under way and waits for them.
func (o *outbox) close() {
	o.mu.Lock()
	o.cancel()
	o.mu.Unlock()
	o.running.Wait()
}
