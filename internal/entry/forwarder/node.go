// Package forwarder is the I/O layer of an entry node's reverse proxy. It turns
// callers' requests, targets' replies, timers and the replies of control processes
// into events for the state machine in package forward, and carries out the effects
// that it returns.
package forwarder

import (
	"context"
	"errors"
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
	"wigeonbay/internal/entry/bodyread"
	"wigeonbay/internal/entry/forward"
	"wigeonbay/internal/entry/pool"
	"wigeonbay/internal/httpdrain"
	"wigeonbay/internal/quarantine"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/telemetry"
	"wigeonbay/internal/wait"
	"wigeonbay/internal/wire"
)

const (
	// tickInterval is the time between two Tick events, on which the state machine
	// starts health checks.
	tickInterval = 250 * time.Millisecond
	// idleTimeout is how long a caller's connection may be idle. It is longer than
	// the idle timeout of any routing table, at which callers close their connections
	// themselves.
	idleTimeout = 90 * time.Second
	// readHeaderTimeout limits the time to read a request's headers.
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes limits the size of a request's headers. Routing tables usually allow
	// 16 KB, and may allow more.
	maxHeaderBytes = 1 << 20
)

// Config configures a Node.
type Config struct {
	Settings *settings.Entry
	Logger   *zap.Logger
	// Headers holds the names of the headers that callers and targets use.
	Headers api.ForwardHeaders
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// DecodeTable decodes the routing table in an operator's document.
	DecodeTable func(document []byte) (*api.RoutingTable, error)
	// Metrics records counts and durations of requests.
	Metrics *telemetry.Metrics
	// Bounds limits what clients of the process make it hold; nil means that only bodies are
	// limited.
	Bounds *httpdrain.Bounds
	// Dial opens connections to control processes and other entry nodes; nil means plain
	// TCP. WrapPeers secures the listener for other entry nodes; nil means plain TCP.
	Dial      wire.DialFunc
	WrapPeers func(net.Listener) net.Listener
	// DialTargets opens connections to targets; nil means plain TCP.
	DialTargets pool.Dial
}

// Node forwards callers' requests to targets.
type Node struct {
	cfg     Config
	logger  *zap.Logger
	pool    *pool.Pool
	client  *wire.Client
	watcher *watch.Watcher
	peers   *peering

	mu           sync.Mutex
	state        *forward.State
	targets      *discovery.Targets
	withdrawals  discovery.ReportLog[api.Announcement]
	crashReports discovery.ReportLog[quarantine.Report]
	requests     map[forward.RequestID]*pendingRequest
	timers       map[forward.RequestID]*time.Timer
	replies      map[forward.AttemptID]*pool.Reply
	cancels      map[forward.AttemptID]context.CancelFunc
	ready        readiness
	maxBodyBytes int64
	// bodyMemory is shared by the bodies of the requests in progress.
	bodyMemory *bodyread.Budget
	series     seriesNames
	quotaCalls quotaCalls

	lastRequestID   atomic.Uint64
	tableVersion    atomic.Uint64
	document        atomic.Pointer[controlrpc.Document] // holds the newest routing table
	evacuations     atomic.Pointer[controlrpc.Evacuations]
	firstTable      firstTable
	draining        atomic.Bool
	refusing        atomic.Bool
	created         time.Time
	margins         stopMargins
	lastArrival     atomic.Int64 // nanoseconds since created
	ctx             context.Context
	stop            context.CancelFunc
	goroutines      sync.WaitGroup
	callerServer    *httpdrain.Server
	readinessServer *httpdrain.Server
}

// New returns a node that is inactive until Start.
func New(cfg Config) *Node {
	n := &Node{
		cfg:     cfg,
		created: time.Now(),
		margins: stopMargins{end: shutdownMargin, lastWrite: lastWriteTime},
		logger:  cfg.Logger,
		client:  wire.NewClient(cfg.Dial),
		state: forward.New(forward.Options{
			DataCentre: cfg.Settings.Node.DataCentre,
			Node:       cfg.Settings.Node.ID,
			Quota:      quotaRules(cfg.Settings.Forward),
			Regions:    settings.Regions(cfg.Settings.DataCentres),
			Budget: forward.BudgetRule{
				Ratio:  cfg.Settings.Forward.ExtraRatio,
				Slack:  cfg.Settings.Forward.ExtraSlack,
				Window: cfg.Settings.Forward.ExtraWindow,
			},
			Warmup: forward.WarmupRule{
				Overshoot: cfg.Settings.Forward.WarmupOvershoot,
				Slack:     cfg.Settings.Forward.WarmupSlack,
			},
			DrainTime: cfg.Settings.Forward.TargetDrainTime,
		}),
		pool:     pool.New(cfg.DialTargets, pool.WithoutIdleChecks()),
		targets:  discovery.NewTargets(),
		requests: map[forward.RequestID]*pendingRequest{},
		timers:   map[forward.RequestID]*time.Timer{},
		replies:  map[forward.AttemptID]*pool.Reply{},
		cancels:  map[forward.AttemptID]context.CancelFunc{},
		series:   newSeriesNames(),

		bodyMemory: bodyread.NewBudget(bodyMemory(cfg.Bounds)),
	}
	cfg.Metrics.AddGauges(n.gauges)
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.peers = newPeering(n)
	n.watcher = watch.New(watch.Config{
		Node:         cfg.Settings.Node.ID,
		Kind:         discovery.WatcherEntry,
		DataCentre:   cfg.Settings.Node.DataCentre,
		Seeds:        cfg.Settings.Discovery.SeedAddresses(),
		Client:       n.client,
		Logger:       cfg.Logger,
		TableVersion: n.tableVersion.Load,
		Table:        n.document.Load,
		OnReply:      n.handleWatchReply,
		Lacks:        n.missingTargets,
		Checksum:     n.recordsChecksum,
		Withdrawals:  n.withdrawalsSince,
		CrashReports: n.crashReportsSince,
		Verdicts:     n.verdicts,
		Peering:      n.peers.state,
		Evacuations:  n.followedEvacuations,
	})
	return n
}

// Start opens the listeners and starts to poll the control processes.
func (n *Node) Start() error {
	callerListener, err := wire.Listen(n.cfg.Settings.Listen.Forward, nil)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	readinessListener, err := wire.Listen(n.cfg.Settings.Listen.Ready, nil)
	if err != nil {
		return fmt.Errorf("listen for readiness checks: %w", err)
	}
	if err := n.peers.start(); err != nil {
		return err
	}
	n.callerServer = n.startServer(callerListener, http.HandlerFunc(n.serveForward))
	n.readinessServer = n.startServer(readinessListener, n.readinessHandler())
	n.watcher.Start()
	n.goroutines.Go(n.tick)
	telemetry.ForwardStarted.Log(n.logger,
		zap.String("callers", callerListener.Addr().String()),
		zap.Strings("controls", n.cfg.Settings.Discovery.SeedAddresses()))
	return nil
}

// Reload applies the seeds of changed settings. Other changes need a restart.
func (n *Node) Reload(changed *settings.Entry) {
	n.watcher.Follow(changed.Discovery.SeedAddresses())
	telemetry.ForwardSettingsReloaded.Log(n.logger, zap.Strings("controls", changed.Discovery.SeedAddresses()))
}

// Stop shuts the node down gracefully. It fails readiness checks, keeps serving until
// the load balancer has stopped sending requests or the shutdown time runs out, closes the
// listeners, and answers the requests that still arrive on open connections. What is
// pending at the end of the shutdown time is refused or fails.
func (n *Node) Stop(ctx context.Context) error {
	n.draining.Store(true)
	telemetry.ForwardDraining.Log(n.logger, zap.Int("in_progress", n.InProgress()))
	shutdownTime := n.cfg.Settings.Forward.ShutdownTime
	refusal := time.AfterFunc(time.Duration(acceptFraction*float64(shutdownTime)), func() { n.refusing.Store(true) })
	defer refusal.Stop()
	ctx, cancel := context.WithTimeout(ctx, shutdownTime-n.margins.end)
	defer cancel()
	connections, closeConnections := context.WithCancel(context.Background())
	defer closeConnections()
	stopEnding := context.AfterFunc(ctx, func() {
		n.refusing.Store(true)
		n.step(forward.ShuttingDown{})
		time.AfterFunc(n.margins.lastWrite, closeConnections)
	})
	defer stopEnding()
	n.awaitIdle(ctx)
	n.peers.refusing.Store(true)
	err := n.callerServer.Shutdown(connections)
	_ = n.readinessServer.Close()
	err = errors.Join(err, n.peers.stop(connections))
	n.stop()
	n.watcher.Stop()
	n.client.Close()
	n.pool.Close()
	n.goroutines.Wait()
	telemetry.ForwardStopped.Log(n.logger, zap.Int("in_progress", n.InProgress()))
	return err
}

// awaitIdle waits for the drain time, in which the load balancer notices that the
// node is not ready, and then until no request is in progress and none has arrived for
// minIdleTime. A load balancer without another node keeps sending requests; after
// acceptFraction of the shutdown time they are refused, so that the accepted ones can
// finish.
func (n *Node) awaitIdle(ctx context.Context) {
	wait.Sleep(ctx, n.cfg.Settings.Limits.DrainTime)
	for ctx.Err() == nil {
		idle := time.Since(n.created) - time.Duration(n.lastArrival.Load())
		settled := idle >= minIdleTime || n.refusing.Load()
		if n.InProgress() == 0 && settled {
			return
		}
		wait.Sleep(ctx, minIdleTime/10)
	}
}

const (
	// minIdleTime is how long no request may have arrived before the node shuts down.
	minIdleTime = 500 * time.Millisecond
	// acceptFraction is the fraction of the shutdown time in which requests are
	// accepted.
	acceptFraction = 0.48
	// shutdownMargin is the end of the shutdown time, reserved for refusing what is
	// pending and closing connections; lastWriteTime is its part for writing the last
	// responses.
	shutdownMargin = 600 * time.Millisecond
	lastWriteTime  = shutdownMargin / 2
)

// stopMargins holds shutdownMargin and lastWriteTime. Tests use longer ones, as they can't send
// within a tenth of a second on a busy machine.
type stopMargins struct{ end, lastWrite time.Duration }

// InProgress returns the number of unanswered requests.
func (n *Node) InProgress() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.InProgress()
}

// Counters returns the counters of the state machine.
func (n *Node) Counters() forward.Counters {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Counters()
}

// startServer serves HTTP on a listener in a goroutine that Stop waits for.
func (n *Node) startServer(listener net.Listener, handler http.Handler) *httpdrain.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withCallerConn,
	}
	n.goroutines.Add(1)
	return httpdrain.Serve(server, listener, n.cfg.Bounds, n.goroutines.Done)
}

// tick sends Tick events to the state machine and trims the connection pool until the
// node stops.
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
