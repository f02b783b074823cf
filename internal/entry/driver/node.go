// Package driver runs an entry node. It converts requests, replies, timers and
// changes reported by peers into events for the reducer in package entry, and
// executes the resulting effects.
package driver

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
	"wigeonbay/internal/entry"
	"wigeonbay/internal/entry/peercall"
	"wigeonbay/internal/entry/pool"
	"wigeonbay/internal/entry/route"
	"wigeonbay/internal/httpdrain"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/telemetry"
	"wigeonbay/internal/wait"
	"wigeonbay/internal/wire"
)

// Parameters of the driver.
const (
	// tickInterval is the time between two entry.Tick events.
	tickInterval = 100 * time.Millisecond
	// shutdownTimeout bounds the wait for requests in progress at shutdown.
	shutdownTimeout = 45 * time.Second
	// readHeaderTimeout bounds the time for reading a request's header.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout bounds the time between two requests on a connection. It is longer than
	// usual clients keep an idle one.
	idleTimeout = 3 * time.Minute
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 16 << 10
)

// Node is one entry node.
type Node struct {
	settings *settings.Entry
	logger   *zap.Logger
	pool     *pool.Pool
	client   *wire.Client
	security wire.Security
	ledger   *ledgerClient
	// passOnCalls passes requests on to other entry nodes, router serves theirs.
	passOnCalls *peercall.Client
	router      http.Handler
	peers       *peers

	// mu guards state, the maps below and readiness.
	mu      sync.Mutex
	state   *entry.State
	timers  map[entry.QueryID]*time.Timer
	waiters map[entry.QueryID]*waiter
	// replies has the decoded replies that were neither merged nor discarded yet.
	replies map[entry.AttemptID]*api.ShardReply
	// cancels has the cancel functions of the shard requests in flight.
	cancels map[entry.AttemptID]context.CancelFunc

	lastQuery atomic.Uint64
	readiness readiness // under mu
	// hasConfig is set by the first request that finds the node configured.
	hasConfig atomic.Bool
	draining  atomic.Bool
	// configInstalled is set by the first call to InstallConfig.
	configInstalled atomic.Bool
	background      sync.WaitGroup
	stop            context.CancelFunc
	ctx             context.Context

	bounds  *httpdrain.Bounds
	callers *httpdrain.Server
	rpc     *wire.Server
	// address is that of the callers' listener.
	address string
}

// New returns a node that does nothing until Start.
func New(config *settings.Entry, logger *zap.Logger) (*Node, error) {
	policy := route.Policy(config.Limits.Policy)
	if policy == "" {
		policy = route.PolicyShipped
	}
	security, err := wire.LoadSecurity(config.TLS.Certificate, config.TLS.Key, config.TLS.Authority)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{
		settings: config,
		logger:   logger,
		client:   wire.NewClient(security.DialWithCuts(config.Testing.CutFile)),
		security: security,
		state:    entry.New(entry.Options{DataCentre: config.Node.DataCentre, Policy: policy}),
		timers:   map[entry.QueryID]*time.Timer{},
		waiters:  map[entry.QueryID]*waiter{},
		replies:  map[entry.AttemptID]*api.ShardReply{},
		cancels:  map[entry.AttemptID]context.CancelFunc{},
		ctx:      ctx,
		stop:     stop,
	}
	n.ledger = newLedgerClient(config, n.client)
	n.passOnCalls = peercall.NewClient(config.Node.ID, wire.NewClient(security.DialWithCuts(config.Testing.CutFile)), logger)
	return n, nil
}

// SetBounds limits what clients of the process make it hold. It is called before Start; without
// it there are no limits.
func (n *Node) SetBounds(bounds *httpdrain.Bounds) { n.bounds = bounds }

// Start opens the listeners and joins the other entry nodes.
func (n *Node) Start(ctx context.Context) error {
	n.pool = pool.New(pool.Dial(wire.DialWithCuts(pool.DialTCP, n.settings.Testing.CutFile)))
	if err := n.listen(ctx); err != nil {
		return err
	}
	n.peers.start()
	n.background.Add(1)
	go n.runTicker()
	telemetry.EntryStarted.Log(n.logger, zap.String("callers", n.address))
	return nil
}

// Stop shuts the node down without interrupting requests. It first reports the
// node as not ready to the load balancer and keeps serving for the drain time.
// Then it stops accepting connections, waits for the requests in progress and
// leaves the membership of entry nodes.
func (n *Node) Stop(ctx context.Context) error {
	n.draining.Store(true)
	wait.Sleep(ctx, n.settings.Limits.DrainTime)
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	err := n.callers.Shutdown(ctx)
	n.peers.stop(ctx)
	err = errors.Join(err, n.rpc.Shutdown(ctx))
	n.ledger.awaitRecords(ctx)
	n.stop()
	n.passOnCalls.Close()
	n.client.Close()
	n.pool.Close()
	n.background.Wait()
	telemetry.EntryStopped.Log(n.logger)
	return err
}

// InstallConfig makes a configuration effective. Other packages may call it only
// for a node that follows no control processes; a node that follows some calls
// it for each configuration that it receives.
func (n *Node) InstallConfig(config api.Configuration) {
	n.step(entry.ConfigInstalled{Config: config})
	n.configInstalled.Store(true)
}

// CallersAddress returns the address of the callers' listener.
func (n *Node) CallersAddress() string {
	return n.address
}

// Counters returns the counters of the reducer.
func (n *Node) Counters() entry.Counters {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Counters()
}

func (n *Node) listen(ctx context.Context) error {
	callers, err := listenOn(ctx, n.settings.Listen.Callers)
	if err != nil {
		return err
	}
	rpc, err := listenOn(ctx, n.settings.Listen.Peers)
	if err != nil {
		return err
	}
	n.address = callers.Addr().String()
	n.rpc = wire.NewServer()
	n.peers = newPeers(n, rpc.Addr().String())
	if err := n.peers.register(n.rpc); err != nil {
		return err
	}
	handler := n.callersHandler()
	if err := peercall.Register(n.rpc, n.serveForPeer); err != nil {
		return err
	}
	n.rpc.Serve(n.security.Wrap(rpc))
	n.callers = n.serve(callers, handler)
	return nil
}

func listenOn(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return listener, nil
}

func (n *Node) serve(listener net.Listener, handler http.Handler) *httpdrain.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	n.background.Add(1)
	return httpdrain.Serve(server, listener, n.bounds, n.background.Done)
}

func (n *Node) runTicker() {
	defer n.background.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
			n.step(entry.Tick{})
		}
	}
}
