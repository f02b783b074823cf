package main

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"wigeonbay/internal/api"
	"wigeonbay/internal/cli"
	"wigeonbay/internal/control/driver"
	"wigeonbay/internal/httpdrain"
	"wigeonbay/internal/pack"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/telemetry"
	"wigeonbay/internal/wire"
	"wigeonbay/platform"
)

const (
	// readHeaderTimeout bounds the time in which a client must send its request headers,
	// idleTimeout that between two requests on a connection.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 3 * time.Minute
)

// run serves until ctx is done or the replica fails, then stops the application.
func run(ctx context.Context, config *settings.Control, reloads settingsReloads) error {
	debug.SetGCPercent(config.Runtime.GCPercent)
	debug.SetMemoryLimit(httpdrain.CollectAt(config.Runtime.MemoryMB))
	var node *driver.Node
	app := fx.New(
		fx.Populate(&node),
		fx.Supply(config, interrupted(ctx.Done())),
		fx.Provide(newLogger, newSecurity, newNode, newBounds, newOperatorsServer),
		fx.Invoke(startTracing, func(*driver.Node, *http.Server) {}, serveTargets),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	if err := app.Start(ctx); err != nil {
		return err
	}
	failed := waitForShutdown(ctx, app, reloads, node)
	stopCtx, cancel := context.WithTimeout(context.Background(), fx.DefaultTimeout)
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		return err
	}
	if failed {
		return errors.New("shut down after a fatal error; see the log")
	}
	return nil
}

// interrupted is closed when the process is told to stop.
type interrupted <-chan struct{}

// waitForShutdown passes reloaded settings to the node until ctx is done or the
// application requests a shutdown. It reports whether the shutdown is due to a failure.
func waitForShutdown(ctx context.Context, app *fx.App, reloads settingsReloads, node *driver.Node) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case signal := <-app.Wait():
			return signal.ExitCode != cli.ExitSuccess
		case config := <-reloads:
			node.Reload(config.Discovery)
		}
	}
}

func newLogger(lc fx.Lifecycle, config *settings.Control) (*zap.Logger, error) {
	logger, err := telemetry.NewLogger(programName, config.Node.ID)
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(logger.Sync))
	telemetry.LogSettings(logger, config.TLS.Insecure, config.Testing.CutFile)
	return logger, nil
}

func newSecurity(config *settings.Control) (wire.Security, error) {
	return wire.LoadSecurity(config.TLS.Certificate, config.TLS.Key, config.TLS.Authority)
}

// startTracing starts tracing and registers its stop hook. run populates the node
// before it invokes startTracing, and hooks stop in reverse order, so tracing stops
// before the replica.
func startTracing(lc fx.Lifecycle, config *settings.Control) error {
	stop, err := telemetry.StartTracing(programName, config.Node.ID, config.Node.DataCentre, config.Telemetry.TraceFile)
	if err != nil {
		return err
	}
	lc.Append(fx.Hook{OnStop: stop})
	return nil
}

// newNode returns the replica and registers its start and stop hooks. A fatal error of
// the replica shuts the application down with cli.ExitFailure.
func newNode(lc fx.Lifecycle, shutdowner fx.Shutdowner, stopped interrupted, config *settings.Control, security wire.Security, logger *zap.Logger) (*driver.Node, error) {
	listener, err := net.Listen("tcp", config.Listen.Peers)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	node, err := driver.New(*config, logger, driver.Options{
		Dial:     security.DialWithCuts(config.Testing.CutFile),
		Listener: security.Wrap(listener),
		DecodeTable: func(packed []byte) (*api.RoutingTable, error) {
			document, err := pack.Unpack(packed)
			if err != nil {
				return nil, err
			}
			return platform.DecodeTable(document)
		},
		Interrupted: stopped,
		Fatal:       func(error) { _ = shutdowner.Shutdown(fx.ExitCode(cli.ExitFailure)) },
	})
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	start := func(context.Context) error {
		node.Start()
		return nil
	}
	stop := func(context.Context) error { return node.Stop() }
	lc.Append(fx.Hook{OnStart: start, OnStop: stop})
	return node, nil
}

// newBounds returns the bounds that the HTTP listeners share.
func newBounds(config *settings.Control, logger *zap.Logger) *httpdrain.Bounds {
	bounds := httpdrain.NewBounds(httpdrain.NewLimits(config.Runtime.MemoryMB, config.Runtime.MaxFDs), logger)
	expvar.Publish("clients", expvar.Func(bounds.Snapshot))
	return bounds
}

// newOperatorsServer returns the HTTP server for metrics, health and debug endpoints on
// the operators' address and registers its start and stop hooks.
func newOperatorsServer(lc fx.Lifecycle, config *settings.Control, security wire.Security, node *driver.Node, bounds *httpdrain.Bounds) *http.Server {
	router := mux.NewRouter()
	telemetry.ServeDebug(router)
	metrics := telemetry.NewMetrics()
	metrics.AddGauges(node.Gauges)
	metrics.AddGauges(bounds.Gauges)
	router.Handle("/metrics", metrics).Methods(http.MethodGet)
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "ok")
	}).Methods(http.MethodGet)
	expvar.Publish("control", expvar.Func(func() any { return node.Counters() }))
	server := &http.Server{
		Handler: router, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: httpdrain.ConnState,
	}
	start := func(context.Context) error {
		listener, err := net.Listen("tcp", config.Listen.Operators)
		if err != nil {
			return fmt.Errorf("listen for operators: %w", err)
		}
		go func() { _ = server.Serve(security.Wrap(bounds.Listener(listener))) }()
		return nil
	}
	lc.Append(fx.Hook{OnStart: start, OnStop: server.Shutdown})
	return server
}
