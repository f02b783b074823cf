package peercall

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"wigeonbay/internal/bootclock"
	"wigeonbay/internal/entryrpc"
	"wigeonbay/internal/wire"
)

// maxTimeLeft limits the time that a calling node may allow for a request.
const maxTimeLeft = time.Hour

// maxEarlyCancels limits the cancellations that are kept because the call that they cancel
// has not begun: the calls of one connection are handled concurrently.
const maxEarlyCancels = 64

// ErrCancelled is the reply to a call that was cancelled.
var ErrCancelled = errors.New("the call was cancelled")

// Handler answers a request of another entry node, which waits until the deadline. ctx ends
// when it doesn't wait any more.
type Handler func(ctx context.Context, args *entryrpc.ForwardArgs, deadline time.Time, reply *entryrpc.ForwardReply) error

// Register serves the calls of other entry nodes with a handler.
func Register(server *wire.Server, handler Handler) error {
	return server.Register("Entry", newService(handler))
}

func newService(handler Handler) *service {
	return &service{handler: handler, transits: newTransits(bootclock.Now), calls: map[entryrpc.CallID]context.CancelFunc{}}
}

// service is the net/rpc receiver.
type service struct {
	handler  Handler
	transits *transits

	mu sync.Mutex
	// calls ends those in progress; earlyCancels holds those that were cancelled before
	// they began.
	calls        map[entryrpc.CallID]context.CancelFunc
	earlyCancels []entryrpc.CallID
}

// Forward forwards a request for another entry node.
func (s *service) Forward(args *entryrpc.ForwardArgs, reply *entryrpc.ForwardReply) error {
	delay := s.transits.delay(args)
	deadline := time.Now().Add(min(time.Duration(args.TimeLeftUS)*time.Microsecond, maxTimeLeft) - delay)
	args.AgeUS += delay.Microseconds()
	ctx, cancel := args.Envelope.Context(maxTimeLeft)
	defer cancel()
	if !s.begin(args.ID, cancel) {
		return ErrCancelled
	}
	defer s.end(args.ID)
	go func() {
		select {
		case <-args.Disconnected():
			cancel()
		case <-ctx.Done():
		}
	}()
	return s.handler(ctx, args, deadline, reply)
}

// Cancel ends a call of Forward.
func (s *service) Cancel(args *entryrpc.CancelArgs, _ *entryrpc.CancelReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.calls[args.ID]; cancel != nil {
		cancel()
		return nil
	}
	if len(s.earlyCancels) == maxEarlyCancels {
		s.earlyCancels = s.earlyCancels[1:]
	}
	s.earlyCancels = append(s.earlyCancels, args.ID)
	return nil
}

// begin registers a call, and reports whether it has not been cancelled already.
func (s *service) begin(id entryrpc.CallID, cancel context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Contains(s.earlyCancels, id) {
		return false
	}
	s.calls[id] = cancel
	return true
}

func (s *service) end(id entryrpc.CallID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, id)
}
