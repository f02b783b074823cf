package main

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"wigeonbay/internal/searcher"
	"wigeonbay/internal/telemetry"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"
)

// stopTimeout bounds the graceful shutdown of all searchers.
const stopTimeout = 30 * time.Second

// run serves until ctx is done, then drains and stops every searcher.
func run(ctx context.Context, config *processConfig) error {
	app := fx.New(
		fx.Supply(config),
		fx.Provide(newLogger),
		fx.Invoke(startTracing, registerSearchers),
		fx.StopTimeout(stopTimeout),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	if err := app.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return app.Stop(stopCtx)
}

func newLogger(config *processConfig) (*zap.Logger, error) {
	return telemetry.NewLogger(programName, config.settings.Node.ID)
}

// startTracing starts tracing and registers its stop hook. It is invoked before the
// searchers register theirs, so that tracing stops after them.
func startTracing(lifecycle fx.Lifecycle, config *processConfig) error {
	node := config.settings.Node
	stop, err := telemetry.StartTracing(programName, node.ID, node.DataCentre, config.settings.Telemetry.TraceFile)
	if err != nil {
		return err
	}
	lifecycle.Append(fx.Hook{OnStop: stop})
	return nil
}

// withTracing creates a span for each request with a Traceparent header.
func withTracing(next http.Handler) http.Handler {
	return otelhttp.NewHandler(next, "searcher.request",
		otelhttp.WithFilter(func(r *http.Request) bool { return r.Header.Get("Traceparent") != "" }),
		otelhttp.WithSpanNameFormatter(func(operation string, _ *http.Request) string { return operation }))
}

// registerSearchers creates the searchers and registers the start and stop hooks of the
// group.
func registerSearchers(lifecycle fx.Lifecycle, config *processConfig, logger *zap.Logger) error {
	var group searcherGroup
	for _, cfg := range config.searchers {
		cfg.Logger = logger
		cfg.Middleware = withTracing
		s, err := searcher.New(cfg)
		if err != nil {
			return err
		}
		group = append(group, s)
	}
	lifecycle.Append(fx.Hook{OnStart: group.start, OnStop: group.stop})
	return nil
}

// searcherGroup is the searchers of the process.
type searcherGroup []*searcher.Searcher

// start starts the searchers one after the other and returns the first error.
func (g searcherGroup) start(ctx context.Context) error {
	for _, s := range g {
		if err := s.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// stop drains and stops all searchers concurrently and returns their joined errors.
func (g searcherGroup) stop(ctx context.Context) error {
	errs := make([]error, len(g))
	var wg sync.WaitGroup
	for i, s := range g {
		wg.Go(func() { errs[i] = s.DrainAndStop(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}
