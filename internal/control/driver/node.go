package driver

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/control/machine"
	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/control/wal"
	"wigeonbay/internal/discovery/watch"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/telemetry"
	"wigeonbay/internal/wire"
)

// Node is a running control replica.
type Node struct {
	cfg       settings.Control
	logger    *zap.Logger
	opts      Options
	self      replica.Identity
	startedAt time.Time
	// firstStart is that of the data folder's identity.
	firstStart bool

	log          *wal.Log
	state        *replica.State // used by the loop only
	inbox        chan any
	proposals    chan proposal
	readRequests chan readWaiter
	waiters      *waiters
	random       *rand.Rand
	applier      *applier
	// savedSnapshot is the newest snapshot that this replica has stored or
	// received, which is sent to members that lag behind. currentAt is the last
	// CurrentAt of the protocol that the applier was told of. Both are used by
	// the loop only.
	savedSnapshot replica.Snapshot
	currentAt     time.Duration
	disk          *diskQueue
	// lastTransfer is when the replica last transferred leadership because of a
	// stuck disk.
	lastTransfer  time.Duration
	calls         *calls
	view          atomic.Pointer[view]
	leaderChanged *broadcast // signalled when the view's role or leader changes
	nextID        atomic.Uint64

	machineMu sync.RWMutex
	machine   *machine.Machine
	applied   *broadcast // signalled when the machine's versions change

	quotas    *quotas
	directory *directory
	watcher   *watch.Watcher
	// watchClient is used only for long polls.
	watchClient *wire.Client
	// memberAddresses are the addresses of the group's members.
	memberAddresses atomic.Pointer[[]string]
	joinRequests    joinRequests

	listener         net.Listener
	server           *wire.Server
	client           *wire.Client
	peers            *peers
	incomingSnapshot snapshotAssembly

	// opening is Options.Interrupted until the data folder is open, then nil.
	opening  <-chan struct{}
	stop     context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
	failOnce sync.Once
}

// New opens the data folder and returns a node that listens but does not run
// yet. The error for a folder that can't be used is a single line.
func New(cfg settings.Control, logger *zap.Logger, options Options) (*Node, error) {
	registerMessageTypes()
	opts := options.withDefaults()
	n := &Node{cfg: cfg, logger: logger, opts: opts, opening: opts.Interrupted}
	n.stop, n.cancel = context.WithCancel(context.Background())
	log, recovered, err := wal.Open(wal.Options{
		FS:             opts.FS,
		Folder:         cfg.Storage.Folder,
		Group:          cfg.Group,
		Replica:        cfg.Node.ID,
		NewIncarnation: opts.NewIncarnation,
		FirstStart:     !cfg.Join,
		SegmentBytes:   cfg.Storage.SegmentBytes,
		OnFull:         n.awaitDiskSpace,
	})
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	// A replica that has started writes what it must before it stops.
	n.log, n.opening = log, nil
	if err := n.build(recovered); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	return n, nil
}

func (n *Node) build(recovered wal.Recovered) error {
	n.self = replica.Identity{ID: n.cfg.Node.ID, Incarnation: recovered.Identity.Incarnation}
	n.firstStart = recovered.Identity.FirstStart
	n.startedAt = time.Now()
	n.inbox = make(chan any, inboxSize)
	n.proposals = make(chan proposal, requestQueueSize)
	n.readRequests = make(chan readWaiter, requestQueueSize)
	n.waiters = newWaiters()
	n.random = rand.New(rand.NewPCG(n.opts.Seed, 0))
	n.disk = newDiskQueue()
	n.calls = newCalls()
	n.leaderChanged = newBroadcast()
	n.applied = newBroadcast()
	n.quotas = newQuotas()
	n.directory = newDirectory(rand.Uint64())
	n.machine = machine.New(n.cfg.Replication.LedgerRetention)
	if err := n.restoreRecovered(recovered); err != nil {
		return err
	}
	n.client = wire.NewClient(n.opts.Dial)
	n.peers = newPeers(n)
	n.publishView()
	return n.listen()
}

// restoreRecovered restores the state found in the data folder.
func (n *Node) restoreRecovered(recovered wal.Recovered) error {
	if recovered.Snapshot.Meta.Index > 0 {
		if err := n.machine.Restore(recovered.Snapshot.Data); err != nil {
			return fmt.Errorf("restore snapshot %d: %w", recovered.Snapshot.Meta.Index, err)
		}
	}
	n.savedSnapshot = recovered.Snapshot
	n.applier = newApplier(n, recovered.Snapshot.Meta)
	n.state = replica.New(n.replicaConfig(), replica.PersistentState{
		HardState: recovered.HardState,
		Snapshot:  recovered.Snapshot.Meta,
		Entries:   recovered.Entries,
	})
	telemetry.ControlDataFolderOpened.Log(n.logger,
		zap.String("incarnation", n.self.Incarnation),
		zap.Bool("fresh", recovered.Fresh),
		zap.Bool("torn_tail", recovered.Torn),
		zap.Uint64("snapshot", recovered.Snapshot.Meta.Index),
		zap.Int("entries", len(recovered.Entries)))
	return nil
}

func (n *Node) replicaConfig() replica.Config {
	return replica.Config{
		Self:                 n.self,
		Boot:                 rand.Uint64(),
		Heartbeat:            n.cfg.Replication.Heartbeat,
		ElectionTimeout:      n.cfg.Replication.ElectionTimeout,
		FirstElectionTimeout: firstElectionHeartbeats * n.cfg.Replication.Heartbeat,
		MaxBatchEntries:      min(replica.DefaultMaxBatchEntries, n.opts.GroupCommit),
		MaxBatchBytes:        replica.DefaultMaxBatchBytes,
		MaxInflight:          replica.DefaultMaxInflight,
	}
}

func (n *Node) listen() error {
	n.listener = n.opts.Listener
	if n.listener == nil {
		listener, err := net.Listen("tcp", n.cfg.Listen.Peers)
		if err != nil {
			return fmt.Errorf("listen for peers: %w", err)
		}
		n.listener = listener
	}
	n.server = wire.NewServer()
	if err := n.server.Register("Control", &controlService{n}); err != nil {
		return err
	}
	return n.server.Register(peerServiceName, &peerService{n})
}

// Start starts the node's goroutines and returns without waiting for them.
func (n *Node) Start() {
	bootstraps := n.canBootstrap()
	n.running.Add(3)
	n.startDiscovery()
	go n.loop()
	go n.applier.run()
	go n.writeDisk()
	n.server.Serve(n.listener)
	if bootstraps {
		n.running.Add(1)
		go n.bootstrapGroup()
	}
	telemetry.ControlStarted.Log(n.logger, zap.String("peers", n.Address()))
}

// Address returns the address at which other processes reach the node.
func (n *Node) Address() string {
	if n.cfg.Listen.Advertised != "" {
		return n.cfg.Listen.Advertised
	}
	return n.listener.Addr().String()
}

// Stop shuts down the node: it rejects new calls, waits for those in progress,
// transfers leadership and closes the log.
func (n *Node) Stop() error {
	n.calls.drain()
	n.transferLeadership()
	time.Sleep(replyFlushTime)
	n.cancel()
	n.stopDiscovery()
	n.running.Wait() // the loop starts further sends until it has ended
	n.peers.wait()
	n.client.Close()
	n.server.Close()
	telemetry.ControlStopped.Log(n.logger)
	return n.log.Close()
}

// transferLeadership asks another replica to lead before this one stops, and
// waits for that for up to an election timeout.
func (n *Node) transferLeadership() {
	if n.view.Load().role != replica.RoleLeader || !n.post(replica.TransferLeadership{}) {
		return
	}
	timeout := time.NewTimer(n.cfg.Replication.ElectionTimeout)
	defer timeout.Stop()
	for {
		leaderChanged := n.leaderChanged.next()
		if n.view.Load().role != replica.RoleLeader {
			return
		}
		select {
		case <-leaderChanged:
		case <-timeout.C:
			return
		case <-n.stop.Done():
			return
		}
	}
}

// awaitDiskSpace waits before the next attempt to write to a full disk. It
// returns false if the node is stopping, or interrupted before it has started.
func (n *Node) awaitDiskSpace() bool {
	telemetry.ControlDiskFull.Log(n.logger, zap.String("write", "log"))
	select {
	case <-time.After(fullDiskRetryInterval):
		return true
	case <-n.opening:
		return false
	case <-n.stop.Done():
		return false
	}
}

// fail stops the node after an unrecoverable error.
func (n *Node) fail(err error) {
	n.failOnce.Do(func() {
		telemetry.ControlFatalError.Log(n.logger, zap.Error(err))
		n.cancel()
		n.opts.Fatal(err)
	})
}

// now returns the time since the node was created. It is never 0, since a stored
// time of 0 means never.
func (n *Node) now() time.Duration { return time.Since(n.startedAt) + 1 }
