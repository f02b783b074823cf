package searcher

import (
	"context"
	"errors"
	"sync"
)

// errShed tells that all slots are taken and the queue is full.
var errShed = errors.New("all slots are taken and the queue is full")

// slots runs a bounded number of requests at once and lets a bounded number
// wait, first come first served.
type slots struct {
	mu         sync.Mutex
	limit      int
	queueLimit int
	running    int
	waiting    []*waiter
}

// waiter is a request in the queue; ready is closed when it has got its slot.
type waiter struct {
	ready chan struct{}
}

func newSlots(limit, queueLimit int) *slots {
	return &slots{limit: limit, queueLimit: queueLimit}
}

// acquire takes a slot, waiting for one in the queue. It returns errShed when
// the queue is full, or the context's error when that ended first; in both
// cases no slot is held.
func (s *slots) acquire(ctx context.Context) error {
	w, err := s.enter()
	if err != nil || w == nil {
		return err
	}
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		s.leave(w)
		return ctx.Err()
	}
}

// enter takes a free slot and returns nil, or queues a waiter.
func (s *slots) enter() (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running < s.limit {
		s.running++
		return nil, nil
	}
	if len(s.waiting) >= s.queueLimit {
		return nil, errShed
	}
	w := &waiter{ready: make(chan struct{})}
	s.waiting = append(s.waiting, w)
	return w, nil
}

// leave takes a waiter out of the queue, or gives its slot back when it has
// got one in the meantime.
func (s *slots) leave(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.waiting {
		if other == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	s.releaseLocked()
}

// release gives a slot back, to the first waiter if there is one.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *slots) releaseLocked() {
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	next := s.waiting[0]
	s.waiting = s.waiting[1:]
	close(next.ready)
}

// load returns the number of requests running and waiting.
func (s *slots) load() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}
