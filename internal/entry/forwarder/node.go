// Package forwarder runs the forwarded requests of an entry node: it turns
// callers' requests, targets' replies, timers and the news of control processes
// into events for package forward, and carries out its effects.
package forwarder

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/discovery"
	"wigeonbay/internal/discovery/watch"
	"wigeonbay/internal/entry/forward"
	"wigeonbay/internal/entry/pool"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/telemetry"
	"wigeonbay/internal/wait"
	"wigeonbay/internal/wire"
)

const (
	// tickInterval is the time between two Tick events, which start health
	// checks.
	tickInterval = 250 * time.Millisecond
	// idleTimeout is how long a caller's connection may be idle: longer than any
	// routing table allows, since callers close theirs by its limit.
	idleTimeout = 90 * time.Second
	// readHeaderTimeout bounds how long a caller may take over its headers.
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes bounds a request's headers; routing tables allow 16 KB.
	maxHeaderBytes = 64 << 10
)

// Config is what a Node needs.
type Config struct {
	Settings *settings.Entry
	Logger   *zap.Logger
	// Headers names the headers that callers and targets use.
	Headers api.ForwardHeaders
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// DecodeTable reads an operator's document.
	DecodeTable func(document []byte) (*api.RoutingTable, error)
	// Metrics receives counts and durations.
	Metrics *telemetry.Metrics
	// Dial opens connections to control processes; nil means plain TCP.
	Dial wire.DialFunc
}

// Node forwards requests.
type Node struct {
	cfg    Config
	logger *zap.Logger
	pool   *pool.Pool
	client *wire.Client
	follow *watch.Watcher

	mu      sync.Mutex
	state   *forward.State
	targets *discovery.Targets
	waiters map[forward.RequestID]*waiter
	timers  map[forward.RequestID]*time.Timer
	replies map[forward.AttemptID]*pool.Reply
	cancels map[forward.AttemptID]context.CancelFunc
	ready   readiness
	bodyMax int64
	series  seriesNames

	lastRequest atomic.Uint64
	tableHeld   atomic.Uint64
	document    atomic.Pointer[controlrpc.Document] // of the table in force
	draining    atomic.Bool
	refusing    atomic.Bool
	began       time.Time
	lastServed  atomic.Int64 // nanoseconds since began
	ctx         context.Context
	stop        context.CancelFunc
	running     sync.WaitGroup
	callers     *http.Server
	checks      *http.Server
}

// New returns a node that does nothing until Start.
func New(cfg Config) *Node {
	n := &Node{
		cfg:    cfg,
		began:  time.Now(),
		logger: cfg.Logger,
		client: wire.NewClient(cfg.Dial),
		state: forward.New(forward.Options{
			DataCentre: cfg.Settings.Node.DataCentre,
			Budget: forward.BudgetRule{
				Ratio:  cfg.Settings.Forward.ExtraRatio,
				Slack:  cfg.Settings.Forward.ExtraSlack,
				Window: cfg.Settings.Forward.ExtraWindow,
			},
		}),
		pool:    pool.New(nil, pool.WithoutIdleChecks()),
		targets: discovery.NewTargets(),
		waiters: map[forward.RequestID]*waiter{},
		timers:  map[forward.RequestID]*time.Timer{},
		replies: map[forward.AttemptID]*pool.Reply{},
		cancels: map[forward.AttemptID]context.CancelFunc{},
		series:  newSeriesNames(),
	}
	cfg.Metrics.AddGauges(n.gauges)
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.follow = watch.New(watch.Config{
		Node:         cfg.Settings.Node.ID,
		Kind:         discovery.WatcherEntry,
		DataCentre:   cfg.Settings.Node.DataCentre,
		Seeds:        cfg.Settings.Discovery.SeedAddresses(),
		Client:       n.client,
		Logger:       cfg.Logger,
		TableVersion: n.tableHeld.Load,
		Table:        n.document.Load,
		OnReply:      n.takeNews,
		Lacks:        n.lacks,
		Checksum:     n.recordsChecksum,
	})
	return n
}

// Start opens the listeners and follows the control processes.
func (n *Node) Start() error {
	callers, err := wire.Listen(n.cfg.Settings.Listen.Forward, nil)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	checks, err := wire.Listen(n.cfg.Settings.Listen.Ready, nil)
	if err != nil {
		return fmt.Errorf("listen for readiness checks: %w", err)
	}
	n.callers = n.serve(callers, http.HandlerFunc(n.serveForward))
	n.checks = n.serve(checks, n.checksHandler())
	n.follow.Start()
	n.running.Go(n.tick)
	telemetry.ForwardStarted.Log(n.logger,
		zap.String("callers", callers.Addr().String()),
		zap.Strings("controls", n.cfg.Settings.Discovery.SeedAddresses()))
	return nil
}

// Reload takes over seeds from changed settings; what else they hold needs a
// restart.
func (n *Node) Reload(changed *settings.Entry) {
	n.follow.Follow(changed.Discovery.SeedAddresses())
	telemetry.ForwardReloaded.Log(n.logger, zap.Strings("controls", changed.Discovery.SeedAddresses()))
}

// Stop shuts the node down without cutting off a request: it reports itself not
// ready, goes on serving until the balancer has taken it out and nothing comes
// any more, and then ends.
func (n *Node) Stop(ctx context.Context) error {
	n.draining.Store(true)
	telemetry.ForwardDraining.Log(n.logger, zap.Int("in_progress", n.InProgress()))
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Settings.Forward.ShutdownTime-endMargin)
	defer cancel()
	n.awaitQuiet(ctx)
	n.step(forward.ShuttingDown{})
	ending, cancelEnding := context.WithTimeout(context.Background(), endMargin/2)
	defer cancelEnding()
	err := n.callers.Shutdown(ending)
	_ = n.checks.Close()
	n.stop()
	n.follow.Stop()
	n.client.Close()
	n.pool.Close()
	n.running.Wait()
	telemetry.ForwardStopped.Log(n.logger, zap.Int("in_progress", n.InProgress()))
	return err
}

// awaitQuiet waits until no request has come for quietTime since the balancer
// has had time to notice. A balancer without another node sends requests all
// the same: those that come in the second half of the time are refused, so that
// what was taken can be finished.
func (n *Node) awaitQuiet(ctx context.Context) {
	refuseAt := time.Now().Add(time.Duration(takeFraction * float64(n.cfg.Settings.Forward.ShutdownTime)))
	wait.Sleep(ctx, n.cfg.Settings.Limits.DrainTime)
	for ctx.Err() == nil {
		idle := time.Since(n.began) - time.Duration(n.lastServed.Load())
		quiet := idle >= quietTime || n.refusing.Load()
		if n.InProgress() == 0 && quiet {
			return
		}
		n.refusing.Store(!time.Now().Before(refuseAt))
		wait.Sleep(ctx, quietTime/10)
	}
}

const (
	// quietTime is how long no request may have come before the node ends.
	quietTime = 500 * time.Millisecond
	// takeFraction is the part of the shutdown time in which requests are taken.
	takeFraction = 0.48
	// endMargin is kept of the shutdown time for the last answers.
	endMargin = 600 * time.Millisecond
	// shutdownRetry is when a caller that was refused for the shutdown should
	// come back: another node takes its next connection.
	shutdownRetry = 50 * time.Millisecond
)

// InProgress returns the number of requests without an answer.
func (n *Node) InProgress() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.InProgress()
}

// Counters returns the counts of the node's decisions.
func (n *Node) Counters() forward.Counters {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Counters()
}

func (n *Node) serve(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	n.running.Go(func() { _ = server.Serve(listener) })
	return server
}

func (n *Node) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
			n.step(forward.Tick{})
			n.pool.Trim()
		}
	}
}
