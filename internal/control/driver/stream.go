package driver

import (
	"sync"

	"wigeonbay/internal/control/replica"
)

// deliverWindow is the number of concurrent Deliver calls to one replica. With
// a single call, each message would wait up to a round trip for the one before
// it, which doubles the commit latency between regions.
const deliverWindow = 4

// incomingStream restores the order of one sender's batches. net/rpc runs each
// call in its own goroutine, and to the protocol a request that overtakes
// another looks like lost entries.
type incomingStream struct {
	mu     sync.Mutex
	stream uint64
	next   uint64
	held   map[uint64][]replica.Message
}

// receive passes batches to post in order and holds those that arrive early.
// Once deliverWindow batches are held, the missing ones count as lost and are
// skipped. A batch of an earlier stream, or one that was skipped, is passed on
// at once.
func (s *incomingStream) receive(stream, seq uint64, batch []replica.Message, post func([]replica.Message)) {
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
	s.releaseInOrder(post)
}

func (s *incomingStream) releaseInOrder(post func([]replica.Message)) {
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

func (s *incomingStream) skipGap() {
	for s.held[s.next] == nil {
		s.next++
	}
}

func (s *incomingStream) flush(post func([]replica.Message)) {
	for len(s.held) > 0 {
		s.skipGap()
		s.releaseInOrder(post)
	}
}

// outgoingStream numbers the batches sent to one address. After a failed call
// it starts a new stream, so that the receiver does not wait for lost batches.
type outgoingStream struct {
	mu     sync.Mutex
	stream uint64
	next   uint64
}

func (o *outgoingStream) assign() (stream, seq uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	seq = o.next
	o.next++
	return o.stream, seq
}

// restart starts a new stream, unless one was started since the failed call.
func (o *outgoingStream) restart(stream uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stream == stream {
		o.stream++
		o.next = 0
	}
}
