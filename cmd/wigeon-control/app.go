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

	"wigeonbay/internal/cli"
	"wigeonbay/internal/control/driver"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/telemetry"
	"wigeonbay/internal/wire"
)

// readHeaderTimeout bounds how long a client may take over its headers.
const readHeaderTimeout = 5 * time.Second

// run serves until ctx ends or the replica can't go on.
func run(ctx context.Context, config *settings.Control, changed reloads) error {
	debug.SetGCPercent(config.Runtime.GCPercent)
	var node *driver.Node
	app := fx.New(
		fx.Populate(&node),
		fx.Supply(config),
		fx.Provide(newLogger, newSecurity, newNode, newOperators),
		fx.Invoke(startTracing, func(*driver.Node, *http.Server) {}, serveTargets),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	if err := app.Start(ctx); err != nil {
		return err
	}
	failed := awaitEnd(ctx, app, changed, node)
	stopping, cancel := context.WithTimeout(context.Background(), fx.DefaultTimeout)
	defer cancel()
	if err := app.Stop(stopping); err != nil {
		return err
	}
	if failed {
		return errors.New("stopped by a failure; see the log")
	}
	return nil
}

// awaitEnd hands on settings that were read again until the process is to end,
// and reports whether that is for a failure.
func awaitEnd(ctx context.Context, app *fx.App, changed reloads, node *driver.Node) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case signal := <-app.Wait():
			return signal.ExitCode != cli.ExitSuccess
		case config := <-changed:
			node.Reload(config.Discovery)
		}
	}
}

func newLogger(lc fx.Lifecycle, config *settings.Control) (*zap.Logger, error) {
	logger, err := telemetry.NewLogger(process, config.Node.ID)
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

// startTracing comes before the replica in the lifecycle, so that it ends
// after it.
func startTracing(lc fx.Lifecycle, config *settings.Control) error {
	stop, err := telemetry.StartTracing(process, config.Node.ID, config.Node.DataCentre, config.Telemetry.TraceFile)
	if err != nil {
		return err
	}
	lc.Append(fx.Hook{OnStop: stop})
	return nil
}

// newNode runs the replica for the application's lifetime. A failure that it
// can't go on from ends the process with an exit code.
func newNode(lc fx.Lifecycle, down fx.Shutdowner, config *settings.Control, security wire.Security, logger *zap.Logger) (*driver.Node, error) {
	listener, err := net.Listen("tcp", config.Listen.Peers)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	node, err := driver.New(*config, logger, driver.Options{
		Dial:     security.DialWithCuts(config.Testing.CutFile),
		Listener: security.Wrap(listener),
		Fatal:    func(error) { _ = down.Shutdown(fx.ExitCode(cli.ExitFailure)) },
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

// newOperators serves counters and health on the operators' address.
func newOperators(lc fx.Lifecycle, config *settings.Control, security wire.Security, node *driver.Node) *http.Server {
	router := mux.NewRouter()
	telemetry.ServeDebug(router)
	metrics := telemetry.NewMetrics()
	metrics.AddGauges(node.Gauges)
	router.Handle("/metrics", metrics).Methods(http.MethodGet)
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "ok")
	}).Methods(http.MethodGet)
	expvar.Publish("control", expvar.Func(func() any { return node.Counters() }))
	server := &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout}
	start := func(context.Context) error {
		listener, err := net.Listen("tcp", config.Listen.Operators)
		if err != nil {
			return fmt.Errorf("listen for operators: %w", err)
		}
		go func() { _ = server.Serve(security.Wrap(listener)) }()
		return nil
	}
	lc.Append(fx.Hook{OnStart: start, OnStop: server.Shutdown})
	return server
}
