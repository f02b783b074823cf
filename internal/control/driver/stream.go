package driver

import (
	"sync"

	"wigeonbay/internal/control/replica"
)

// deliverWindow is the number of Deliver calls to one replica that may be under
// way. One at a time makes each message wait up to a round trip for the one
// before it, which between regions doubles the time of a commit.
const deliverWindow = 4

// inStream puts the batches of one sender back in order. net/rpc runs each call
// in a goroutine of its own, and a request that overtakes another looks to the
// protocol like lost entries.
type inStream struct {
	mu     sync.Mutex
	stream uint64
	next   uint64
	held   map[uint64][]replica.Message
}

// take hands on what is in order with post, and holds what came too early. A
// gap that stays open while a whole window has come after it is a lost call.
func (s *inStream) take(stream, seq uint64, batch []replica.Message, post func([]replica.Message)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stream > s.stream {
		s.flush(post)
		s.stream, s.next = stream, 0
	}
	if stream < s.stream || seq < s.next {
		post(batch)
		return
	}
	s.held[seq] = batch
	if len(s.held) >= deliverWindow {
		s.skipGap()
	}
	s.release(post)
}

func (s *inStream) release(post func([]replica.Message)) {
	for {
		batch, ok := s.held[s.next]
		if !ok {
			return
		}
		delete(s.held, s.next)
		s.next++
		post(batch)
	}
}

func (s *inStream) skipGap() {
	for s.held[s.next] == nil {
		s.next++
	}
}

func (s *inStream) flush(post func([]replica.Message)) {
	for len(s.held) > 0 {
		s.skipGap()
		s.release(post)
	}
}

// outStream numbers the batches for one address. After a failed call it begins
// a new stream, so that the receiver waits for nothing that is lost.
type outStream struct {
	mu     sync.Mutex
	stream uint64
	next   uint64
}

func (o *outStream) number() (stream, seq uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	seq = o.next
	o.next++
	return o.stream, seq
}

// failed begins a new stream, unless one has begun since the failed call.
func (o *outStream) failed(stream uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stream == stream {
		o.stream++
		o.next = 0
	}
}
