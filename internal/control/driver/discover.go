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

// startDiscovery starts to poll the other control processes, so that each
// process holds the records of all targets, whichever process they announce
// themselves to. It also starts maintainMembership, which sends requests to
// join to these processes. Without seeds it does nothing.
func (n *Node) startDiscovery() {
	if len(n.cfg.Discovery.Seeds) == 0 {
		return
	}
	n.watchClient = wire.NewClient(n.opts.Dial)
	n.watcher = watch.New(watch.Config{
		Node:       n.self.ID,
		Kind:       discovery.WatcherControl,
		DataCentre: n.cfg.Node.DataCentre,
		Seeds:      n.cfg.Discovery.SeedAddresses(),
		Self:       n.Address(),
		Client:     n.watchClient,
		Logger:     n.logger,
		// Routing tables are replicated through the log.
		TableVersion: func() uint64 { return math.MaxUint64 },
		OnReply: func(_ string, reply *controlrpc.WatchReply) {
			n.directory.merge(reply.Targets...)
		},
	})
	n.watcher.Start()
	n.running.Add(1)
	go n.maintainMembership()
}

// Reload applies the seeds from reloaded settings. Other changes need a
// restart.
func (n *Node) Reload(changed settings.Discovery) {
	seeds := changed.SeedAddresses()
	if n.watcher != nil {
		n.watcher.Follow(seeds)
	}
	telemetry.ControlSettingsReloaded.Log(n.logger, zap.Strings("controls", seeds))
}

func (n *Node) stopDiscovery() {
	if n.watcher == nil {
		return
	}
	n.watcher.Stop()
	n.watchClient.Close()
}
