package main

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"wigeonbay/internal/entry/forwarder"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/telemetry"
	"wigeonbay/internal/wire"
	"wigeonbay/platform"
)

// forwarding serves requests that the routing table sends on to targets.
var forwarding = fx.Options(
	fx.Provide(newForwarder, telemetry.NewMetrics),
	fx.Invoke(registerForwarding, followReloads, serveMetrics),
)

func newForwarder(config *settings.Entry, logger *zap.Logger, metrics *telemetry.Metrics) (*forwarder.Node, error) {
	security, err := wire.LoadSecurity(config.TLS.Certificate, config.TLS.Key, config.TLS.Authority)
	if err != nil {
		return nil, err
	}
	return forwarder.New(forwarder.Config{
		Settings:    config,
		Logger:      logger,
		Headers:     platform.Headers(),
		ReadyPath:   platform.ReadyPath(),
		DecodeTable: platform.DecodeTable,
		Metrics:     metrics,
		Dial:        security.DialWithCuts(config.Testing.CutFile),
	}), nil
}

func registerForwarding(lifecycle fx.Lifecycle, node *forwarder.Node) {
	lifecycle.Append(fx.StartStopHook(node.Start, node.Stop))
	lifecycle.Append(fx.StartHook(func() {
		expvar.Publish("forward", expvar.Func(func() any { return node.Counters() }))
	}))
}

// followReloads hands settings that were read again to the node.
func followReloads(lifecycle fx.Lifecycle, node *forwarder.Node, changed reloads) {
	stop := make(chan struct{})
	follow := func() {
		for {
			select {
			case <-stop:
				return
			case config := <-changed:
				node.Reload(config)
			}
		}
	}
	lifecycle.Append(fx.StartStopHook(func() { go follow() }, func() { close(stop) }))
}

// metricsHeaderTimeout bounds how long a client may take over its headers.
const metricsHeaderTimeout = 5 * time.Second

// serveMetrics serves counters on the operators' address, unless searching
// serves them there already.
func serveMetrics(lifecycle fx.Lifecycle, config *settings.Entry, metrics *telemetry.Metrics) {
	if config.Listen.Callers != "" {
		return
	}
	router := mux.NewRouter()
	router.Handle("/debug/vars", expvar.Handler()).Methods(http.MethodGet)
	router.Handle("/metrics", metrics).Methods(http.MethodGet)
	server := &http.Server{Handler: router, ReadHeaderTimeout: metricsHeaderTimeout}
	start := func(context.Context) error {
		listener, err := wire.Listen(config.Listen.Operators, nil)
		if err != nil {
			return fmt.Errorf("listen for operators: %w", err)
		}
		go func() { _ = server.Serve(listener) }()
		return nil
	}
	lifecycle.Append(fx.Hook{OnStart: start, OnStop: server.Shutdown})
}
