package driver

import (
	"sync"

	"wigeonbay/internal/api"
)

// notifier hands changes to the entry node, one call at a time. Changes that
// come during a call are put together for the next.
type notifier struct {
	call func(Change)
	wake chan struct{}

	mu      sync.Mutex
	pending Change
	index   map[api.TargetID]int
}

func newNotifier(call func(Change)) *notifier {
	return &notifier{call: call, wake: make(chan struct{}, 1), index: map[api.TargetID]int{}}
}

func (n *notifier) members(members []api.EntryMember) {
	n.mu.Lock()
	n.pending.Members = members
	n.mu.Unlock()
	n.signal()
}

// target adds a changed record; the last one of a target stands.
func (n *notifier) target(a api.Announcement) {
	n.mu.Lock()
	if i, ok := n.index[a.Target]; ok {
		n.pending.Targets[i] = a
	} else {
		n.index[a.Target] = len(n.pending.Targets)
		n.pending.Targets = append(n.pending.Targets, a)
	}
	n.mu.Unlock()
	n.signal()
}

func (n *notifier) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *notifier) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-n.wake:
		}
		change := n.take()
		if n.call != nil && (change.Members != nil || len(change.Targets) > 0) {
			n.call(change)
		}
	}
}

func (n *notifier) take() Change {
	n.mu.Lock()
	defer n.mu.Unlock()
	change := n.pending
	n.pending = Change{}
	clear(n.index)
	return change
}
