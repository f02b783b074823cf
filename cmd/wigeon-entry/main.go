// Command wigeon-entry runs one entry node: it takes callers' requests and
// targets' announcements on an entry VM.
package main

import (
	"context"
	"expvar"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"wigeonbay/internal/cli"
	"wigeonbay/internal/entry/driver"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/telemetry"
)

const (
	process = "wigeon-entry"
	// stopTimeout bounds a graceful shutdown.
	stopTimeout = time.Minute
)

func main() {
	daemon := cli.Daemon[*settings.Entry]{
		Name:  process,
		Usage: "serve callers and targets on an entry VM",
		Load:  settings.LoadEntry,
		Run:   run,
	}
	cli.Main(daemon.Command())
}

// run serves until ctx ends, then shuts down without cutting off a request.
func run(ctx context.Context, config *settings.Entry) error {
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(stopTimeout),
		fx.Supply(config),
		fx.Provide(newLogger, driver.New),
		fx.Invoke(startTracing, register),
	)
	if err := app.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	stopping, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return app.Stop(stopping)
}

func newLogger(config *settings.Entry) (*zap.Logger, error) {
	logger, err := telemetry.NewLogger(process, config.Node.ID)
	if err != nil {
		return nil, err
	}
	telemetry.LogSettings(logger, config.TLS.Insecure, config.Testing.CutFile)
	return logger, nil
}

// startTracing comes before the node in the lifecycle, so that it ends after it.
func startTracing(lifecycle fx.Lifecycle, config *settings.Entry) error {
	stop, err := telemetry.StartTracing(process, config.Node.ID, config.Node.DataCentre, config.Telemetry.TraceFile)
	if err != nil {
		return err
	}
	lifecycle.Append(fx.Hook{OnStop: stop})
	return nil
}

func register(lifecycle fx.Lifecycle, node *driver.Node) {
	lifecycle.Append(fx.Hook{OnStart: node.Start, OnStop: node.Stop})
	lifecycle.Append(fx.StartHook(func() { publish(node) }))
}

// publish adds the started node's counters to /debug/vars.
func publish(node *driver.Node) {
	expvar.Publish("entry", expvar.Func(func() any { return node.Counters() }))
	expvar.Publish("membership", expvar.Func(func() any { return node.PeerCounters() }))
}
