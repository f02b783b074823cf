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

// Node is one running control replica.
type Node struct {
	set    settings.Control
	logger *zap.Logger
	o      Options
	self   replica.Identity
	began  time.Time

	log      *wal.Log
	state    *replica.State // owned by the loop
	inbox    chan any
	proposed chan proposal
	asked    chan readWaiter
	waiters  *waiters
	random   *rand.Rand
	applier  *applier
	// saved is the newest snapshot on the disk, for members that lag behind,
	// and currentAt the protocol's; both are owned by the loop.
	saved     replica.Snapshot
	currentAt time.Duration
	disk      *diskQueue
	// steppedAside is when the replica last handed the lead over for its disk.
	steppedAside time.Duration
	calls        *calls
	view         atomic.Pointer[view]
	changed      *broadcast // of the view's leader or role
	nextID       atomic.Uint64

	machineMu sync.RWMutex
	machine   *machine.Machine
	applied   *broadcast // of the machine's versions

	directory *directory
	watcher   *watch.Watcher
	// watchClient carries held calls only.
	watchClient *wire.Client
	// memberAddresses are those of the group's members.
	memberAddresses atomic.Pointer[[]string]
	candidates      candidates

	listener net.Listener
	server   *wire.Server
	client   *wire.Client
	peers    *peers
	incoming assembly

	stop     context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
	failOnce sync.Once
}

// New opens the data folder and builds a node that listens but does not run.
// A folder that can't be used is refused with an error of one line.
func New(set settings.Control, logger *zap.Logger, options Options) (*Node, error) {
	registerBodies()
	o := options.withDefaults()
	n := &Node{set: set, logger: logger, o: o}
	n.stop, n.cancel = context.WithCancel(context.Background())
	log, found, err := wal.Open(wal.Options{
		FS:             o.FS,
		Folder:         set.Storage.Folder,
		Group:          set.Group,
		Replica:        set.Node.ID,
		NewIncarnation: o.NewIncarnation,
		SegmentBytes:   set.Storage.SegmentBytes,
		OnFull:         n.awaitSpace,
	})
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	n.log = log
	if err := n.build(found); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	return n, nil
}

func (n *Node) build(found wal.Recovered) error {
	n.self = replica.Identity{ID: n.set.Node.ID, Incarnation: found.Identity.Incarnation}
	n.began = time.Now()
	n.inbox = make(chan any, inboxSize)
	n.proposed = make(chan proposal, queueSize)
	n.asked = make(chan readWaiter, queueSize)
	n.waiters = newWaiters()
	n.random = rand.New(rand.NewPCG(n.o.Seed, 0))
	n.disk = newDiskQueue()
	n.calls = newCalls()
	n.changed = newBroadcast()
	n.applied = newBroadcast()
	n.directory = newDirectory(rand.Uint64())
	n.machine = machine.New(n.set.Replication.LedgerRetention)
	if err := n.restoreFound(found); err != nil {
		return err
	}
	n.client = wire.NewClient(n.o.Dial)
	n.peers = newPeers(n)
	n.publish()
	return n.listen()
}

// restoreFound takes over what the data folder holds.
func (n *Node) restoreFound(found wal.Recovered) error {
	if found.Snapshot.Meta.Index > 0 {
		if err := n.machine.Restore(found.Snapshot.Data); err != nil {
			return fmt.Errorf("restore snapshot %d: %w", found.Snapshot.Meta.Index, err)
		}
	}
	n.saved = found.Snapshot
	n.applier = newApplier(n, found.Snapshot.Meta)
	n.state = replica.New(n.config(), replica.PersistentState{
		HardState: found.HardState,
		Snapshot:  found.Snapshot.Meta,
		Entries:   found.Entries,
	})
	telemetry.ControlRecovered.Log(n.logger,
		zap.String("incarnation", n.self.Incarnation),
		zap.Bool("fresh", found.Fresh),
		zap.Bool("torn_tail", found.Torn),
		zap.Uint64("snapshot", found.Snapshot.Meta.Index),
		zap.Int("entries", len(found.Entries)))
	return nil
}

func (n *Node) config() replica.Config {
	return replica.Config{
		Self:                 n.self,
		Boot:                 rand.Uint64(),
		Heartbeat:            n.set.Replication.Heartbeat,
		ElectionTimeout:      n.set.Replication.ElectionTimeout,
		FirstElectionTimeout: firstElectionBeats * n.set.Replication.Heartbeat,
		MaxBatchEntries:      min(replica.DefaultMaxBatchEntries, n.o.GroupCommit),
		MaxBatchBytes:        replica.DefaultMaxBatchBytes,
		MaxInflight:          replica.DefaultMaxInflight,
	}
}

func (n *Node) listen() error {
	n.listener = n.o.Listener
	if n.listener == nil {
		listener, err := net.Listen("tcp", n.set.Listen.Peers)
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

// Start runs the node. It returns at once.
func (n *Node) Start() {
	founds := n.mayFound()
	n.running.Add(3)
	n.startDiscovery()
	go n.loop()
	go n.applier.run()
	go n.writeDisk()
	n.server.Serve(n.listener)
	if founds {
		n.running.Add(1)
		go n.foundGroup()
	}
	telemetry.ControlStarted.Log(n.logger, zap.String("peers", n.Address()))
}

// Address returns where other processes reach the node.
func (n *Node) Address() string {
	if n.set.Listen.Advertised != "" {
		return n.set.Listen.Advertised
	}
	return n.listener.Addr().String()
}

// Stop ends the node: new calls are refused, those under way finish, then the
// log is closed.
func (n *Node) Stop() error {
	n.calls.drain()
	n.handOver()
	time.Sleep(replyLinger)
	n.cancel()
	n.stopDiscovery()
	n.peers.wait()
	n.client.Close()
	n.server.Close()
	n.running.Wait()
	telemetry.ControlStopped.Log(n.logger)
	return n.log.Close()
}

// handOver lets another replica lead before this one stops, if one can.
func (n *Node) handOver() {
	if n.view.Load().role != replica.RoleLeader || !n.post(replica.TransferLeadership{}) {
		return
	}
	giveUp := time.NewTimer(n.set.Replication.ElectionTimeout)
	defer giveUp.Stop()
	for {
		changed := n.changed.next()
		if n.view.Load().role != replica.RoleLeader {
			return
		}
		select {
		case <-changed:
		case <-giveUp.C:
			return
		case <-n.stop.Done():
			return
		}
	}
}

// awaitSpace waits a moment for room on a full disk, and reports whether to try
// again.
func (n *Node) awaitSpace() bool {
	telemetry.ControlDiskFull.Log(n.logger, zap.String("write", "log"))
	select {
	case <-time.After(fullDiskPause):
		return true
	case <-n.stop.Done():
		return false
	}
}

// fail ends the node after an error that it can't go on from.
func (n *Node) fail(err error) {
	n.failOnce.Do(func() {
		telemetry.ControlFailed.Log(n.logger, zap.Error(err))
		n.cancel()
		n.o.Fatal(err)
	})
}

// now returns the time since the node began; never 0, which means never.
func (n *Node) now() time.Duration { return time.Since(n.began) + 1 }
