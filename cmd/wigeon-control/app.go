package main

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/urfave/cli/v3"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"wigeonbay/internal/control/driver"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/telemetry"
)

// readHeaderTimeout bounds how long a client may take over its headers.
const readHeaderTimeout = 5 * time.Second

func runControl(ctx context.Context, cmd *cli.Command) error {
	loaded, err := load(cmd)
	if err != nil {
		return err
	}
	app := fx.New(
		fx.Supply(loaded),
		fx.Provide(newLogger, newNode, newOperators),
		fx.Invoke(func(*driver.Node, *http.Server) {}),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	if err := app.Start(ctx); err != nil {
		return err
	}
	signal := <-app.Wait()
	stopping, cancel := context.WithTimeout(context.Background(), fx.DefaultTimeout)
	defer cancel()
	if err := app.Stop(stopping); err != nil {
		return err
	}
	if signal.ExitCode != 0 {
		return errors.New("stopped by a failure; see the log")
	}
	return nil
}

func newLogger(set settings.Control) (*zap.Logger, error) {
	return telemetry.NewLogger("wigeon-control", set.Node.ID)
}

// newNode runs the replica for the application's lifetime. A failure that it
// can't go on from ends the process with an exit code.
func newNode(lc fx.Lifecycle, down fx.Shutdowner, set settings.Control, logger *zap.Logger) (*driver.Node, error) {
	fatal := func(error) { _ = down.Shutdown(fx.ExitCode(exitFailure)) }
	node, err := driver.New(set, logger, driver.Options{Fatal: fatal})
	if err != nil {
		return nil, err
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
func newOperators(lc fx.Lifecycle, set settings.Control, node *driver.Node) *http.Server {
	router := mux.NewRouter()
	router.Handle("/debug/vars", expvar.Handler()).Methods(http.MethodGet)
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "ok")
	}).Methods(http.MethodGet)
	expvar.Publish("control", expvar.Func(func() any { return node.Counters() }))
	server := &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout}
	start := func(context.Context) error {
		listener, err := net.Listen("tcp", set.Listen.Operators)
		if err != nil {
			return fmt.Errorf("listen for operators: %w", err)
		}
		go func() { _ = server.Serve(listener) }()
		return nil
	}
	lc.Append(fx.Hook{OnStart: start, OnStop: server.Shutdown})
	return server
}
