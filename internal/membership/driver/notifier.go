package driver

import (
	"sync"

	"wigeonbay/internal/api"
)

// notifier passes changes to the entry node, one call at a time. Changes that
// arrive during a call are combined for the next call.
type notifier struct {
	call func(Change)
	wake chan struct{}

	mu      sync.Mutex
	pending Change
	// targetIndex holds each target's position in pending.Targets.
	targetIndex map[api.TargetID]int
}

func newNotifier(call func(Change)) *notifier {
	return &notifier{call: call, wake: make(chan struct{}, 1), targetIndex: map[api.TargetID]int{}}
}

// setMembers replaces the pending list of members.
func (n *notifier) setMembers(members []api.EntryMember) {
	n.mu.Lock()
	n.pending.Members = members
	n.mu.Unlock()
	n.signal()
}

// addTarget adds a changed record. It replaces a pending record of the same target.
func (n *notifier) addTarget(a api.Announcement) {
	n.mu.Lock()
	if i, ok := n.targetIndex[a.Target]; ok {
		n.pending.Targets[i] = a
	} else {
		n.targetIndex[a.Target] = len(n.pending.Targets)
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

// run calls the entry node with pending changes until stop is closed.
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

// take returns the pending changes and clears them.
func (n *notifier) take() Change {
	n.mu.Lock()
	defer n.mu.Unlock()
	change := n.pending
	n.pending = Change{}
	clear(n.targetIndex)
	return change
}
