package watch

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/discovery"
)

// TestPeerAddressIsToldOnceAndWhenItChanges follows what a control process is told over
// several polls, a change, and a restart of the process.
func TestPeerAddressIsToldOnceAndWhenItChanges(t *testing.T) {
	var mu sync.Mutex
	var told []string
	known, polls := false, 0
	s := &stubControl{answer: func(args *controlrpc.WatchArgs, reply *controlrpc.WatchReply) {
		mu.Lock()
		defer mu.Unlock()
		polls++
		if args.TellsPeerAddress {
			told = append(told, args.PeerAddress)
			known = true
		}
		reply.Epoch, reply.WantPeerAddress = 1, !known
		time.Sleep(5 * time.Millisecond)
	}}
	var address atomic.Value
	address.Store("10.0.0.1:1")
	w := newTestWatcher(t, nil, func(string, *controlrpc.WatchReply) {}, s.serve(t))
	w.cfg.Peering = func() Peering { return Peering{Address: address.Load().(string)} }
	w.Start()
	awaitPolls := func(further int) {
		t.Helper()
		mu.Lock()
		target := polls + further
		mu.Unlock()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			mu.Lock()
			defer mu.Unlock()
			if polls >= target {
				return poll.Success()
			}
			return poll.Continue("%d polls", polls)
		}, poll.WithTimeout(5*time.Second))
	}
	awaitPolls(4)
	address.Store("")
	awaitPolls(4)
	mu.Lock()
	known = false
	mu.Unlock()
	awaitPolls(4)
	mu.Lock()
	defer mu.Unlock()
	assert.DeepEqual(t, told, []string{"10.0.0.1:1", "", ""})
}

// TestPeersThatAreNeededNowAreNotWaitedFor checks which polls a control process may hold.
func TestPeersThatAreNeededNowAreNotWaitedFor(t *testing.T) {
	var urgent atomic.Bool
	waits := make(chan int64, 100)
	s := &stubControl{answer: func(args *controlrpc.WatchArgs, reply *controlrpc.WatchReply) {
		if args.WantPeers {
			waits <- args.WaitMS
			reply.EntryPeers = []discovery.EntryPeer{{Node: "e2"}}
		}
		reply.Epoch = 1
		time.Sleep(5 * time.Millisecond)
	}}
	w := newTestWatcher(t, nil, func(string, *controlrpc.WatchReply) {}, s.serve(t))
	w.cfg.Peering = func() Peering { return Peering{Address: "a:1", Urgent: urgent.Load()} }
	w.Start()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if w.CountReachable() == 1 {
			return poll.Success()
		}
		return poll.Continue("not reached")
	}, poll.WithTimeout(5*time.Second))
	urgent.Store(true)
	assert.Equal(t, <-waits, int64(0))
	assert.Equal(t, <-waits, pollWait.Milliseconds())
}
