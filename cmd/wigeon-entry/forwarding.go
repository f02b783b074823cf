package main

import (
	"expvar"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"wigeonbay/internal/entry/forwarder"
	"wigeonbay/internal/entry/pool"
	"wigeonbay/internal/httpdrain"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/telemetry"
	"wigeonbay/internal/wire"
	"wigeonbay/platform"
)

// forwardingModule provides the node that forwards requests to targets according to the
// routing table.
var forwardingModule = fx.Options(
	fx.Provide(newForwarder),
	fx.Invoke(registerForwarding, applyReloads),
)

func newForwarder(config *settings.Entry, security wire.Security, logger *zap.Logger, metrics *telemetry.Metrics, bounds *httpdrain.Bounds) *forwarder.Node {
	return forwarder.New(forwarder.Config{
		Settings:    config,
		Logger:      logger,
		Headers:     platform.Headers(),
		ReadyPath:   platform.ReadyPath(),
		DecodeTable: platform.DecodeTable,
		Metrics:     metrics,
		Bounds:      bounds,
		Dial:        security.DialWithCuts(config.Testing.CutFile),
		DialTargets: pool.Dial(wire.DialWithCuts(pool.DialTCP, config.Testing.CutFile)),
		WrapPeers:   security.Wrap,
	})
}

// registerForwarding registers the node's start and stop hooks and publishes its
// counters after the start.
func registerForwarding(lifecycle fx.Lifecycle, node *forwarder.Node) {
	lifecycle.Append(fx.StartStopHook(node.Start, node.Stop))
	lifecycle.Append(fx.StartHook(func() {
		expvar.Publish("forward", expvar.Func(func() any { return node.Counters() }))
	}))
}

// applyReloads passes reloaded settings to the node.
func applyReloads(lifecycle fx.Lifecycle, node *forwarder.Node, reloads settingsReloads) {
	stop := make(chan struct{})
	receiveReloads := func() {
		for {
			select {
			case <-stop:
				return
			case config := <-reloads:
				node.Reload(config)
			}
		}
	}
	lifecycle.Append(fx.StartStopHook(func() { go receiveReloads() }, func() { close(stop) }))
}
