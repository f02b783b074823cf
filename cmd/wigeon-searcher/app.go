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

// stopTimeout bounds the time in which all searchers must have left.
const stopTimeout = 30 * time.Second

// run serves until ctx ends, then lets every searcher leave.
func run(ctx context.Context, l *loaded) error {
	app := fx.New(
		fx.Supply(l),
		fx.Provide(newLogger),
		fx.Invoke(startTracing, register),
		fx.StopTimeout(stopTimeout),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	if err := app.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	stopping, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return app.Stop(stopping)
}

func newLogger(l *loaded) (*zap.Logger, error) {
	return telemetry.NewLogger(process, l.settings.Node.ID)
}

// startTracing comes before the searchers in the lifecycle, so that it ends
// after them.
func startTracing(lifecycle fx.Lifecycle, l *loaded) error {
	node := l.settings.Node
	stop, err := telemetry.StartTracing(process, node.ID, node.DataCentre, l.settings.Telemetry.TraceFile)
	if err != nil {
		return err
	}
	lifecycle.Append(fx.Hook{OnStop: stop})
	return nil
}

// traced gives each request that belongs to a trace a span.
func traced(next http.Handler) http.Handler {
	return otelhttp.NewHandler(next, "searcher.request",
		otelhttp.WithFilter(func(r *http.Request) bool { return r.Header.Get("Traceparent") != "" }),
		otelhttp.WithSpanNameFormatter(func(operation string, _ *http.Request) string { return operation }))
}

// register adds each searcher's start and stop to the process's lifecycle.
func register(lifecycle fx.Lifecycle, l *loaded, logger *zap.Logger) error {
	var all group
	for _, cfg := range l.searchers {
		cfg.Logger = logger
		cfg.Middleware = traced
		s, err := searcher.New(cfg)
		if err != nil {
			return err
		}
		all = append(all, s)
	}
	lifecycle.Append(fx.Hook{OnStart: all.start, OnStop: all.stop})
	return nil
}

// group is all searchers of the process.
type group []*searcher.Searcher

func (g group) start(ctx context.Context) error {
	for _, s := range g {
		if err := s.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// stop lets all searchers leave at the same time.
func (g group) stop(ctx context.Context) error {
	errs := make([]error, len(g))
	var wait sync.WaitGroup
	for i, s := range g {
		wait.Go(func() { errs[i] = s.DrainAndStop(ctx) })
	}
	wait.Wait()
	return errors.Join(errs...)
}
