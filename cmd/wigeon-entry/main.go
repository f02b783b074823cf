// Command wigeon-entry runs one entry node on an entry VM. It serves callers' searches
// and submits and targets' announcements, and forwards requests according to the
// routing table.
package main

import (
	"context"
	"runtime/debug"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"wigeonbay/internal/cli"
	"wigeonbay/internal/entry/operators"
	"wigeonbay/internal/httpdrain"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/telemetry"
)

const (
	programName = "wigeon-entry"
	// stopTimeout bounds a graceful shutdown.
	stopTimeout = time.Minute
)

// settingsReloads carries settings reloaded on SIGHUP.
type settingsReloads chan *settings.Entry

func main() {
	reloads := make(settingsReloads)
	daemon := cli.Daemon[*settings.Entry]{
		Name:    programName,
		Usage:   "serve callers and targets on an entry VM",
		Load:    settings.LoadEntry,
		Run:     func(ctx context.Context, config *settings.Entry) error { return run(ctx, config, reloads) },
		Reloads: reloads,
	}
	cli.Main(daemon.Command())
}

// run serves until ctx is done, then shuts down gracefully within stopTimeout.
func run(ctx context.Context, config *settings.Entry, reloads settingsReloads) error {
	debug.SetGCPercent(config.Runtime.GCPercent)
	debug.SetMemoryLimit(httpdrain.CollectAt(config.Runtime.MemoryMB))
	options := []fx.Option{
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(stopTimeout),
		fx.Supply(config, reloads),
		fx.Provide(newLogger, newSecurity, telemetry.NewMetrics, newBounds, newOperatorsServer),
		fx.Invoke(startTracing, func(*operators.Server) {}),
	}
	if config.Listen.Callers != "" {
		options = append(options, searchModule)
	}
	if config.Listen.Forward != "" {
		options = append(options, forwardingModule)
	} else {
		options = append(options, fx.Invoke(logIgnoredReloads))
	}
	options = append(options, fx.Invoke(startOperatorsServer))
	app := fx.New(options...)
	if err := app.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return app.Stop(stopCtx)
}

func newLogger(lifecycle fx.Lifecycle, config *settings.Entry) (*zap.Logger, error) {
	logger, err := telemetry.NewLogger(programName, config.Node.ID)
	if err != nil {
		return nil, err
	}
	lifecycle.Append(fx.StopHook(logger.Sync))
	telemetry.LogSettings(logger, config.TLS.Insecure, config.Testing.CutFile)
	return logger, nil
}

// logIgnoredReloads logs each SIGHUP on a node without forwarding, which applies no
// setting while it runs.
func logIgnoredReloads(lifecycle fx.Lifecycle, reloads settingsReloads, logger *zap.Logger) {
	stop := make(chan struct{})
	logReloads := func() {
		for {
			select {
			case <-stop:
				return
			case <-reloads:
				telemetry.EntryReloadIgnored.Log(logger)
			}
		}
	}
	lifecycle.Append(fx.StartStopHook(func() { go logReloads() }, func() { close(stop) }))
}

// startTracing starts tracing and registers its stop hook. It is invoked before the
// nodes register theirs, so that tracing stops after them.
func startTracing(lifecycle fx.Lifecycle, config *settings.Entry) error {
	stop, err := telemetry.StartTracing(programName, config.Node.ID, config.Node.DataCentre, config.Telemetry.TraceFile)
	if err != nil {
		return err
	}
	lifecycle.Append(fx.Hook{OnStop: stop})
	return nil
}
