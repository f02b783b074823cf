package searcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestSlotsLimitRunningAndQueuedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSlots(2, 1)
		assert.NilError(t, s.acquire(t.Context()))
		assert.NilError(t, s.acquire(t.Context()))
		got := make(chan error, 1)
		go func() { got <- s.acquire(t.Context()) }()
		synctest.Wait()
		assert.ErrorIs(t, s.acquire(t.Context()), errQueueFull)
		s.release()
		assert.NilError(t, <-got)
		running, queued := s.load()
		assert.Equal(t, running, 2)
		assert.Equal(t, queued, 0)
	})
}

func TestCancelledWaiterHoldsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSlots(1, 2)
		assert.NilError(t, s.acquire(t.Context()))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, s.acquire(ctx), context.DeadlineExceeded)
		s.release()
		running, queued := s.load()
		assert.Equal(t, running+queued, 0)
	})
}

func TestSlotGrantedDuringCancelIsReleased(t *testing.T) {
	s := newSlots(1, 1)
	assert.NilError(t, s.acquire(t.Context()))
	w, err := s.acquireOrQueue()
	assert.NilError(t, err)
	s.release()
	s.removeWaiter(w)
	running, queued := s.load()
	assert.Equal(t, running+queued, 0)
}
