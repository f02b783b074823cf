package main

import (
	"expvar"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"wigeonbay/internal/entry/driver"
	"wigeonbay/internal/httpdrain"
	"wigeonbay/internal/settings"
)

// searchModule provides the node that serves searches, submits and announcements.
var searchModule = fx.Options(
	fx.Provide(newSearchNode),
	fx.Invoke(registerSearch),
)

func newSearchNode(config *settings.Entry, logger *zap.Logger, bounds *httpdrain.Bounds) (*driver.Node, error) {
	node, err := driver.New(config, logger)
	if err != nil {
		return nil, err
	}
	node.SetBounds(bounds)
	return node, nil
}

// registerSearch registers the node's start and stop hooks and publishes its counters
// after the start.
func registerSearch(lifecycle fx.Lifecycle, node *driver.Node) {
	lifecycle.Append(fx.Hook{OnStart: node.Start, OnStop: node.Stop})
	lifecycle.Append(fx.StartHook(func() {
		expvar.Publish("entry", expvar.Func(func() any { return node.Counters() }))
		expvar.Publish("membership", expvar.Func(func() any { return node.PeerCounters() }))
	}))
}
