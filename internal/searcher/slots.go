package searcher

import (
	"context"
	"errors"
	"sync"
)

// errQueueFull is returned by acquire when all slots are taken and the queue is
// full.
var errQueueFull = errors.New("all slots are taken and the queue is full")

// slots is a semaphore for a limited number of running requests, with a bounded
// FIFO queue of waiters.
type slots struct {
	mu         sync.Mutex
	limit      int
	queueLimit int
	running    int
	queue      []*waiter
}

// waiter is a queued request. Its ready channel is closed when it is granted a
// slot.
type waiter struct {
	ready chan struct{}
}

func newSlots(limit, queueLimit int) *slots {
	return &slots{limit: limit, queueLimit: queueLimit}
}

// acquire takes a slot and waits in the queue if none is free. It returns
// errQueueFull if the queue is full, or ctx's error if ctx is done first; in
// both cases the caller holds no slot.
func (s *slots) acquire(ctx context.Context) error {
	w, err := s.acquireOrQueue()
	if err != nil || w == nil {
		return err
	}
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		s.removeWaiter(w)
		return ctx.Err()
	}
}

// acquireOrQueue takes a free slot and returns a nil waiter, or adds a waiter to
// the queue and returns it.
func (s *slots) acquireOrQueue() (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running < s.limit {
		s.running++
		return nil, nil
	}
	if len(s.queue) >= s.queueLimit {
		return nil, errQueueFull
	}
	w := &waiter{ready: make(chan struct{})}
	s.queue = append(s.queue, w)
	return w, nil
}

// removeWaiter removes a waiter from the queue. If the waiter has already been
// granted a slot, it releases the slot.
func (s *slots) removeWaiter(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.queue {
		if other == w {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
	s.releaseLocked()
}

// release frees a slot, or passes it to the first waiter.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *slots) releaseLocked() {
	if len(s.queue) == 0 {
		s.running--
		return
	}
	next := s.queue[0]
	s.queue = s.queue[1:]
	close(next.ready)
}

// load returns the numbers of running and queued requests.
func (s *slots) load() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.queue)
}
