package main

import (
	"expvar"
	"net"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"wigeonbay/internal/entry/driver"
	"wigeonbay/internal/entry/forwarder"
	"wigeonbay/internal/entry/operators"
	"wigeonbay/internal/httpdrain"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/telemetry"
	"wigeonbay/internal/wire"
)

// nodeServices are the services that the process runs: search, forwarding, or both.
type nodeServices struct {
	fx.In

	Search  *driver.Node    `optional:"true"`
	Forward *forwarder.Node `optional:"true"`
}

// newOperatorsServer returns the server for the node's state. Its stop hook is
// registered before those of the services and its start hook after them, so that it
// serves while they run, including their shutdown.
func newOperatorsServer(lifecycle fx.Lifecycle, config *settings.Entry, security wire.Security, logger *zap.Logger, metrics *telemetry.Metrics, bounds *httpdrain.Bounds, services nodeServices) *operators.Server {
	handler := operators.Handler{Metrics: metrics}
	if services.Search != nil {
		handler.Search = services.Search
	}
	if services.Forward != nil {
		handler.Forward = services.Forward
	}
	server := operators.NewServer(config.Listen.Operators, func(l net.Listener) net.Listener {
		return security.Wrap(bounds.Listener(l))
	}, logger, handler)
	lifecycle.Append(fx.StopHook(server.Stop))
	return server
}

// newBounds returns the bounds that all listeners for clients share.
func newBounds(config *settings.Entry, logger *zap.Logger, metrics *telemetry.Metrics) *httpdrain.Bounds {
	bounds := httpdrain.NewBounds(httpdrain.NewLimits(config.Runtime.MemoryMB, config.Runtime.MaxFDs), logger)
	metrics.AddGauges(bounds.Gauges)
	expvar.Publish("clients", expvar.Func(bounds.Snapshot))
	return bounds
}

func startOperatorsServer(lifecycle fx.Lifecycle, server *operators.Server) {
	lifecycle.Append(fx.StartHook(server.Start))
}

func newSecurity(config *settings.Entry) (wire.Security, error) {
	return wire.LoadSecurity(config.TLS.Certificate, config.TLS.Key, config.TLS.Authority)
}
