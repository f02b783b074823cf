package main

import (
	"expvar"

	"go.uber.org/fx"

	"wigeonbay/internal/entry/driver"
)

// searchModule provides the node that serves searches, submits and announcements.
var searchModule = fx.Options(
	fx.Provide(driver.New),
	fx.Invoke(registerSearch),
)

// registerSearch registers the node's start and stop hooks and publishes its counters
// after the start.
func registerSearch(lifecycle fx.Lifecycle, node *driver.Node) {
	lifecycle.Append(fx.Hook{OnStart: node.Start, OnStop: node.Stop})
	lifecycle.Append(fx.StartHook(func() {
		expvar.Publish("entry", expvar.Func(func() any { return node.Counters() }))
		expvar.Publish("membership", expvar.Func(func() any { return node.PeerCounters() }))
	}))
}
