package configsync

import (
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wigeonbay/internal/api"
	"wigeonbay/internal/clusterconfig"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/wire"
)

// fakeControl serves Control.Fetch with a whole configuration.
type fakeControl struct {
	mu  sync.Mutex
	cfg api.Configuration
}

// Fetch implements Control.Fetch.
func (f *fakeControl) Fetch(args *controlrpc.FetchArgs, reply *controlrpc.FetchReply) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	cfg := f.cfg
	reply.Applied = cfg.Version
	reply.Delta = api.ConfigDelta{From: args.Since, To: cfg.Version, Whole: &cfg}
	return nil
}

func serve(t *testing.T, name string, receiver any) (string, *wire.Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := wire.NewServer()
	if name != "" {
		assert.NilError(t, server.Register(name, receiver))
	}
	server.Serve(listener)
	t.Cleanup(server.Close)
	return listener.Addr().String(), server
}

func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", condition)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

// TestFollowsControlAndPeer checks that a node follows a control process, and
// that a node without control processes follows the same versions through its
// peer.
func TestFollowsControlAndPeer(t *testing.T) {
	cfg := clusterconfig.Empty()
	cfg.Version = 41
	control := &fakeControl{cfg: cfg}
	controlAddress, _ := serve(t, "Control", control)
	client := wire.NewClient(nil)
	t.Cleanup(client.Close)

	first := New(Config{
		Self:     settings.Node{ID: "a", DataCentre: "oeste"},
		Controls: []settings.Peer{{ID: "c1", Address: controlAddress, DataCentre: "oeste"}},
		Client:   client,
	})
	address, server := serve(t, "", nil)
	assert.NilError(t, first.Register(server))
	first.Start()
	t.Cleanup(first.Stop)
	waitFor(t, "first node ready at 41", func() bool { return first.Ready() && first.Version() == 41 })
	assert.Assert(t, first.Age() >= 0)

	var mu sync.Mutex
	var got []uint64
	second := New(Config{
		Self:   settings.Node{ID: "b", DataCentre: "oeste"},
		Peers:  func() []api.EntryMember { return []api.EntryMember{{ID: "a", Address: address, DataCentre: "oeste"}} },
		Client: client,
		OnConfig: func(cfg api.Configuration, _ time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			got = append(got, cfg.Version)
		},
	})
	second.Start()
	t.Cleanup(second.Stop)
	waitFor(t, "second node ready at 41", func() bool { return second.Ready() && second.Version() == 41 })
	control.mu.Lock()
	control.cfg.Version = 42
	control.mu.Unlock()
	waitFor(t, "both at 42", func() bool { return first.Version() == 42 && second.Version() == 42 })
	mu.Lock()
	defer mu.Unlock()
	assert.DeepEqual(t, got, []uint64{41, 42})
}

// TestOnConfigCanCallService checks that OnConfig can call the Service without a
// deadlock, and that the version is in force only after OnConfig has returned.
func TestOnConfigCanCallService(t *testing.T) {
	cfg := clusterconfig.Empty()
	cfg.Version = 3
	address, _ := serve(t, "Control", &fakeControl{cfg: cfg})
	client := wire.NewClient(nil)
	t.Cleanup(client.Close)
	var service *Service
	var seen []uint64
	done := make(chan struct{})
	service = New(Config{
		Self:     settings.Node{ID: "a", DataCentre: "oeste"},
		Controls: []settings.Peer{{ID: "c1", Address: address, DataCentre: "oeste"}},
		Client:   client,
		OnConfig: func(api.Configuration, time.Duration) {
			seen = append(seen, service.Version())
			if service.Ready() {
				t.Error("ready before the configuration is in force")
			}
			close(done)
		},
	})
	assert.Assert(t, service.Age().Milliseconds() < 0, "the age of a version that was never confirmed must be negative")
	service.Start()
	t.Cleanup(service.Stop)
	<-done
	assert.DeepEqual(t, seen, []uint64{0})
	waitFor(t, "ready at 3", func() bool { return service.Ready() && service.Version() == 3 })
}
