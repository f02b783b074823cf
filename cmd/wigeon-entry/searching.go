package main

import (
	"expvar"

	"go.uber.org/fx"

	"wigeonbay/internal/entry/driver"
)

// searching serves searches, submits and announcements.
var searching = fx.Options(
	fx.Provide(driver.New),
	fx.Invoke(registerSearching),
)

func registerSearching(lifecycle fx.Lifecycle, node *driver.Node) {
	lifecycle.Append(fx.Hook{OnStart: node.Start, OnStop: node.Stop})
	lifecycle.Append(fx.StartHook(func() {
		expvar.Publish("entry", expvar.Func(func() any { return node.Counters() }))
		expvar.Publish("membership", expvar.Func(func() any { return node.PeerCounters() }))
	}))
}
