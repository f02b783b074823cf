package driver

import "sync"

// broadcast wakes everyone who waits for a change.
type broadcast struct {
	mu   sync.Mutex
	wait chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{wait: make(chan struct{})} }

// next returns a channel that the next signal closes. Take it before looking at
// the state that is waited for, or a change in between is missed.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.wait
}

func (b *broadcast) signal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.wait)
	b.wait = make(chan struct{})
}
