package main

import (
	"context"
	"fmt"
	"net/http"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"wigeonbay/internal/control/driver"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/pack"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/telemetry"
	"wigeonbay/internal/wire"
	"wigeonbay/platform"
)

// tables keeps an operator's documents packed in the control group.
type tables struct{ *driver.Node }

// ReplaceTable implements platform.Control.
func (t tables) ReplaceTable(ctx context.Context, version uint64, document []byte) error {
	packed, err := pack.Pack(document)
	if err != nil {
		return err
	}
	return t.Node.ReplaceTable(ctx, controlrpc.Document{Version: version, Packed: packed})
}

// Table implements platform.Control.
func (t tables) Table(ctx context.Context) ([]byte, error) {
	current, err := t.CurrentTable(ctx)
	if err != nil || current.Version == 0 {
		return nil, err
	}
	return pack.Unpack(current.Packed)
}

// serveTargets serves announcing targets and routing tables, if the settings
// name an address for them. It stops before the replica does.
func serveTargets(lc fx.Lifecycle, config *settings.Control, node *driver.Node, logger *zap.Logger) {
	if config.Listen.Targets == "" {
		return
	}
	refused := func(r *http.Request, status int, err error) {
		telemetry.ControlCallFailed.Log(logger,
			zap.String("call", r.Method+" "+r.URL.Path), zap.Int("status", status), zap.Error(err))
	}
	server := &http.Server{
		Handler:           platform.ControlHandler(tables{node}, refused),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	start := func(context.Context) error {
		listener, err := wire.Listen(config.Listen.Targets, nil)
		if err != nil {
			return fmt.Errorf("listen for targets: %w", err)
		}
		go func() { _ = server.Serve(listener) }()
		return nil
	}
	lc.Append(fx.Hook{OnStart: start, OnStop: server.Shutdown})
}
