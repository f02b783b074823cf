package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"wigeonbay/internal/control/driver"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/httpdrain"
	"wigeonbay/internal/pack"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/telemetry"
	"wigeonbay/internal/wire"
	"wigeonbay/platform"
)

// tableStore stores routing tables as compressed documents in the control group.
type tableStore struct{ *driver.Node }

// ReplaceTable implements platform.Control.
func (t tableStore) ReplaceTable(ctx context.Context, version uint64, document []byte) error {
	packed, err := pack.Pack(document)
	if err != nil {
		return err
	}
	return t.Node.ReplaceTable(ctx, controlrpc.Document{Version: version, Packed: packed})
}

// Table implements platform.Control.
func (t tableStore) Table(ctx context.Context) ([]byte, error) {
	current, err := t.CurrentTable(ctx)
	if err != nil || current.Version == 0 {
		return nil, err
	}
	return pack.Unpack(current.Packed)
}

// serveTargets serves the announcements of targets and the calls for routing tables, if
// the settings contain an address for them. The server stops before the replica,
// because its hook is registered later.
func serveTargets(lc fx.Lifecycle, config *settings.Control, node *driver.Node, bounds *httpdrain.Bounds, logger *zap.Logger) {
	if config.Listen.Targets == "" {
		return
	}
	logRefusal := func(r *http.Request, status int, err error) {
		countRefusal(status)
		call := r.Method + " " + r.URL.Path
		telemetry.ControlCallRefused.Log(logger,
			zap.String("call", call[:min(len(call), maxLoggedCallBytes)]), zap.Int("status", status), zap.Error(err))
	}
	var stopping atomic.Bool
	handler := platform.ControlHandler(tableStore{node}, logRefusal)
	var server *httpdrain.Server
	calls, endCalls := context.WithCancel(context.Background())
	start := func(context.Context) error {
		listener, err := wire.Listen(config.Listen.Targets, nil)
		if err != nil {
			return fmt.Errorf("listen for targets: %w", err)
		}
		server = httpdrain.Serve(&http.Server{
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			BaseContext:       func(net.Listener) context.Context { return calls },
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if stopping.Load() {
					w.Header().Set("Connection", "close")
				}
				handler.ServeHTTP(w, r)
			}),
		}, listener, bounds, func() {})
		return nil
	}
	stop := func(ctx context.Context) error {
		stopping.Store(true)
		ctx, cancel := context.WithTimeout(ctx, drainTimeout)
		defer cancel()
		// Calls that are left then fail, and those that still arrive fail at once. Their
		// callers need an answer to that, for which the connections stay open.
		ending := time.AfterFunc(drainTimeout-lastAnswerTime, endCalls)
		defer ending.Stop()
		defer endCalls()
		return server.Shutdown(ctx)
	}
	lc.Append(fx.Hook{OnStart: start, OnStop: stop})
}

// maxLoggedCallBytes limits how much of a refused call's method and path is logged.
const maxLoggedCallBytes = 160

// refusedCalls counts refused calls of targets and operators by status.
var refusedCalls = telemetry.NewCounterGroup("refused_calls", "400", "404", "408", "503", "other")

func countRefusal(status int) {
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestTimeout, http.StatusServiceUnavailable:
		refusedCalls.Counter(strconv.Itoa(status)).Add(1)
	default:
		refusedCalls.Counter("other").Add(1)
	}
}

// maxHeaderBytes limits the size of a call's head, whose path names a target.
const maxHeaderBytes = 16 << 10

// drainTimeout limits how long a stopping process answers calls of targets and operators
// before its replica stops.
const drainTimeout = 3 * time.Second

// lastAnswerTime is the end of drainTimeout, in which calls are answered that could not be
// carried out.
const lastAnswerTime = 300 * time.Millisecond
