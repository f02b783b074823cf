package peercall

import (
	"sync"
	"time"

	"wigeonbay/internal/entryrpc"
)

// A call carries the time that is left for a request. On its way it may wait for a busy
// process at either end, and that time is gone too: the load answered is that of a node that
// helps others while it is full itself. The clocks of two nodes have different origins, so a
// call is taken to be late by as much as it has taken longer than the fastest recent one of
// the same process. The clocks count the time for which a machine is suspended: otherwise all
// calls of one that was would seem to be late.

const (
	// transitWindow is the time for which the fastest call counts, once or twice. It bounds
	// the error from clocks that run at different rates.
	transitWindow = 30 * time.Second
	// maxCallers limits the calling processes that are kept.
	maxCallers = 4096
)

// caller identifies a process that calls.
type caller struct {
	node  string
	start uint64
}

// fastest holds the least difference between the receiver's and the caller's clock in the
// current window, which began at since, and in the one before, each if it had a call.
type fastest struct {
	since                   time.Duration
	current, previous       time.Duration
	hasCurrent, hasPrevious bool
}

// transits estimates how late calls arrive. It is safe for concurrent use.
type transits struct {
	clock   func() time.Duration
	mu      sync.Mutex
	callers map[caller]*fastest
}

func newTransits(clock func() time.Duration) *transits {
	return &transits{clock: clock, callers: map[caller]*fastest{}}
}

// delay returns how much longer a call that has arrived now was on its way than the fastest
// one.
func (t *transits) delay(args *entryrpc.ForwardArgs) time.Duration {
	now := t.clock()
	if args.SentUS == 0 || now == 0 {
		return 0 // a node of an earlier version, or a system without the clock
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.find(caller{args.ID.Node, args.ID.Start}, now)
	if f == nil {
		return 0
	}
	return f.observe(now, now-time.Duration(args.SentUS)*time.Microsecond)
}

// find returns the record of a caller, nil if there are too many.
func (t *transits) find(c caller, now time.Duration) *fastest {
	f := t.callers[c]
	if f != nil {
		return f
	}
	if len(t.callers) >= maxCallers {
		t.forgetIdle(now)
	}
	if len(t.callers) >= maxCallers {
		return nil
	}
	f = &fastest{since: now}
	t.callers[c] = f
	return f
}

func (t *transits) forgetIdle(now time.Duration) {
	for c, f := range t.callers {
		if now-f.since > 2*transitWindow {
			delete(t.callers, c)
		}
	}
}

// observe records a difference of the clocks and returns by how much it exceeds the least.
func (f *fastest) observe(now, difference time.Duration) time.Duration {
	switch age := now - f.since; {
	case age > 2*transitWindow:
		f.hasCurrent, f.hasPrevious = false, false
		f.since = now
	case age > transitWindow:
		f.previous, f.hasPrevious = f.current, f.hasCurrent
		f.hasCurrent = false
		f.since = now
	}
	if !f.hasCurrent || difference < f.current {
		f.current, f.hasCurrent = difference, true
	}
	least := f.current
	if f.hasPrevious {
		least = min(least, f.previous)
	}
	return difference - least
}
