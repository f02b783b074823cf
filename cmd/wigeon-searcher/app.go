package main

import (
	"context"
	"errors"
	"sync"
	"time"

	"wigeonbay/internal/searcher"
	"wigeonbay/internal/telemetry"

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
		fx.Invoke(register),
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

// register adds each searcher's start and stop to the process's lifecycle.
func register(lifecycle fx.Lifecycle, l *loaded, logger *zap.Logger) error {
	var all group
	for _, cfg := range l.searchers {
		cfg.Logger = logger
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
		wait.Go(func() { errs[i] = s.Leave(ctx) })
	}
	wait.Wait()
	return errors.Join(errs...)
}
