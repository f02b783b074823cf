package driver

import (
	"math"

	"go.uber.org/zap"

	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/discovery"
	"wigeonbay/internal/discovery/watch"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/telemetry"
	"wigeonbay/internal/wire"
)

// startDiscovery follows the other control processes, so that each holds the
// records of all targets whichever one they announce themselves to.
func (n *Node) startDiscovery() {
	if len(n.set.Discovery.Seeds) == 0 {
		return
	}
	n.watchClient = wire.NewClient(n.o.Dial)
	n.watcher = watch.New(watch.Config{
		Node:       n.self.ID,
		Kind:       discovery.WatcherControl,
		DataCentre: n.set.Node.DataCentre,
		Seeds:      n.set.Discovery.SeedAddresses(),
		Self:       n.Address(),
		Client:     n.watchClient,
		Logger:     n.logger,
		// Routing tables come with the log.
		TableVersion: func() uint64 { return math.MaxUint64 },
		OnReply: func(_ string, reply *controlrpc.WatchReply) {
			n.directory.merge(reply.Targets...)
		},
	})
	n.watcher.Start()
	n.running.Add(1)
	go n.keepMembership()
}

// Reload takes over seeds from settings that were read again; what else they
// hold needs a restart.
func (n *Node) Reload(changed settings.Discovery) {
	seeds := changed.SeedAddresses()
	if n.watcher != nil {
		n.watcher.Follow(seeds)
	}
	telemetry.ControlReloaded.Log(n.logger, zap.Strings("controls", seeds))
}

func (n *Node) stopDiscovery() {
	if n.watcher == nil {
		return
	}
	n.watcher.Stop()
	n.watchClient.Close()
}
