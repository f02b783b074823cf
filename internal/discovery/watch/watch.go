// Package watch polls control processes for changes. It keeps a long poll open at
// each of them, passes the replies on, and learns of further control processes from
// the replies.
package watch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/discovery"
	"wigeonbay/internal/quarantine"
	"wigeonbay/internal/telemetry"
	"wigeonbay/internal/wait"
	"wigeonbay/internal/wire"
)

const (
	// pollWait is how long a control process may hold a poll without changes.
	pollWait = time.Second
	// replyTimeout is how long a reply may take beyond pollWait before the call
	// fails and the connection is replaced. It allows for a round trip between
	// regions with a lost packet.
	replyTimeout = 700 * time.Millisecond
	// tableWait is how long a watcher waits for a nearer control process to send
	// a routing table before it requests the table from the one that announced
	// the version. A commit reaches all control processes within a round trip
	// between regions.
	tableWait = 60 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed poll. After a
	// network partition, nodes are expected to act on changes again within a few
	// seconds, so they must reconnect well within that time.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// forgetAfter is how long a control process is polled in spite of failed polls
	// after a reply or the settings last listed it. After that, the next failed poll
	// ends the polling.
	forgetAfter = 30 * time.Second
)

// Config configures a Watcher.
type Config struct {
	Node       string
	Kind       discovery.WatcherKind
	DataCentre string
	// Seeds are the addresses of the control processes to poll first, IP:port.
	// Self is this process's own address if it is a control process itself; it
	// is not polled.
	Seeds []string
	Self  string
	// Client should be used for nothing else: its connections carry long polls.
	Client *wire.Client
	Logger *zap.Logger
	// TableVersion returns the version of the routing table in force in this
	// process.
	TableVersion func() uint64
	// Table returns the routing table in force in this process, to be sent to a
	// control process that lacks it; nil for none. The function itself may be nil.
	Table func() *controlrpc.Document
	// OnReply applies a reply. The next poll at that control process confirms the
	// changes, so they must be in force when OnReply returns. Replies from
	// different control processes may be passed concurrently.
	OnReply func(address string, reply *controlrpc.WatchReply)
	// Lacks returns the targets of the offered records that this process does not
	// know. Checksum returns the checksum of the records that it knows. Both are
	// nil for a watcher that wants all records from each control process.
	Lacks    func(offers []discovery.Offer) []api.TargetID
	Checksum func() uint64
	// Withdrawals returns the announcements of targets that accept no more work to
	// report to a control process: those after a number, or with restarted set all
	// known ones, since the process has lost its records. It also returns the number
	// of the last one. Nil for a watcher that reports none.
	Withdrawals func(number uint64, restarted bool) (withdrawals []api.Announcement, last uint64)
	// CrashReports returns the reports on requests that crash targets after a number, and
	// the number of the last one. Verdicts returns the known verdicts and their checksum.
	// Both are nil for a watcher that forwards no requests.
	CrashReports func(number uint64) (reports []quarantine.Report, last uint64)
	Verdicts     func() (verdicts []quarantine.Verdict, checksum uint64)
	// Peering returns what concerns requests that entry nodes pass on to each other. Nil for
	// a watcher that forwards no requests.
	Peering func() Peering
	// Evacuations returns the orders to evacuate data centres that this process follows. Nil
	// for a watcher that follows none.
	Evacuations func() controlrpc.Evacuations
}

// Watcher polls control processes. It is safe for concurrent use.
type Watcher struct {
	cfg     Config
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	// requestSem is a semaphore with one slot, held while offered records are
	// requested from a control process.
	requestSem chan struct{}

	mu        sync.Mutex
	processes map[string]*controlProcess // by address
}

// controlProcess is the state of the polls at one control process.
type controlProcess struct {
	epoch     uint64
	revision  uint64
	reachable bool
	// offeredTableVersion is the routing table version in the last reply.
	offeredTableVersion uint64
	// replied is set once a poll has succeeded. sameDataCentre is set if the last
	// successful reply came from the watcher's own data centre.
	replied        bool
	sameDataCentre bool
	// wantsOffers is set if the watcher's records did not match the checksum in the
	// last reply, so that the next poll requests offers.
	wantsOffers bool
	// offers, offersRevision and offersChecksum are the offers, the revision and the
	// records checksum of the last reply, if it offered records that the watcher
	// lacks.
	offers         []discovery.Offer
	offersRevision uint64
	offersChecksum uint64
	// checksumDelta is the XOR of the checksums of both sides when the watcher's
	// records were last found to include all of the process's. It is not 0 while one
	// side still holds records of targets that ended without announcing it.
	checksumDelta uint64
	// peersChecksum, controls and entryNodes are from the last reply that included
	// the lists.
	peersChecksum uint64
	controls      []string
	entryNodes    map[string]int
	// withdrawalsSent is the number of the last withdrawal reported to the process.
	// restarted is set after a change of epoch of a process in this data centre, until
	// it has been told all withdrawals.
	withdrawalsSent uint64
	restarted       bool
	// crashReportsSent is the number of the last crash report sent to the process since
	// its start, verdictsChecksum that of the verdicts it knows.
	crashReportsSent uint64
	verdictsChecksum uint64
	// peerAddressTold is set if the process knows peerAddress as the watcher's address for
	// requests of other entry nodes.
	peerAddress     string
	peerAddressTold bool
	// sentPeers is set if the last reply has named peers to a watcher that needs them now.
	sentPeers bool
	// wantsTable is set if the last reply requested the watcher's routing table.
	wantsTable bool
	// wantsEvacuations is set if the last reply requested the watcher's orders to evacuate.
	wantsEvacuations bool
	// lastListed is when a reply or the settings last listed the process.
	lastListed time.Time
}

// New returns a watcher; call Start to run it.
func New(cfg Config) *Watcher {
	w := &Watcher{cfg: cfg, processes: map[string]*controlProcess{}, requestSem: make(chan struct{}, 1)}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// Start begins to poll the seeds in the background.
func (w *Watcher) Start() { w.Follow(w.cfg.Seeds) }

// Stop cancels the polls and waits until they have ended.
func (w *Watcher) Stop() {
	w.cancel()
	w.running.Wait()
}

// Follow begins to poll those of the given control processes that are not polled yet.
// It has no effect after Stop.
func (w *Watcher) Follow(addresses []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx.Err() != nil {
		return
	}
	for _, address := range addresses {
		if address == w.cfg.Self {
			continue
		}
		if known := w.processes[address]; known != nil {
			known.lastListed = time.Now()
			continue
		}
		p := &controlProcess{lastListed: time.Now()}
		w.processes[address] = p
		w.running.Go(func() { w.pollLoop(address, p) })
	}
}

// Addresses returns the addresses of the control processes that are polled.
func (w *Watcher) Addresses() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	addresses := make([]string, 0, len(w.processes))
	for address := range w.processes {
		addresses = append(addresses, address)
	}
	return addresses
}

// CountReachable returns the number of control processes whose last poll succeeded.
func (w *Watcher) CountReachable() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	reachable := 0
	for _, p := range w.processes {
		if p.reachable {
			reachable++
		}
	}
	return reachable
}

// pollLoop polls one control process until the watcher stops or forgets the process.
func (w *Watcher) pollLoop(address string, p *controlProcess) {
	backoff := minBackoff
	for w.ctx.Err() == nil {
		if w.pollOnce(address, p) {
			backoff = minBackoff
			continue
		}
		if w.forget(address, p) {
			return
		}
		// The random part keeps nodes from reconnecting to a process all at once.
		wait.Sleep(w.ctx, backoff/2+rand.N(backoff))
		backoff = min(maxBackoff, 2*backoff)
	}
}

// pollOnce makes one poll and reports whether it succeeded.
func (w *Watcher) pollOnce(address string, p *controlProcess) bool {
	lacks, release := w.recheckOffers(p)
	defer release()
	ctx, cancel := context.WithTimeout(w.ctx, pollWait+replyTimeout)
	defer cancel()
	args := &controlrpc.WatchArgs{
		Node:          w.cfg.Node,
		Kind:          w.cfg.Kind,
		DataCentre:    w.cfg.DataCentre,
		Epoch:         p.epoch,
		Revision:      p.revision,
		TableVersion:  w.cfg.TableVersion(),
		PeersChecksum: p.peersChecksum,
		FeatureLevel:  discovery.FeatureLevel,
	}
	args.Aside = w.hasNearerSource(p)
	args.WantOffers = args.Aside && (p.wantsOffers || len(lacks) > 0)
	if p.offeredTableVersion > args.TableVersion {
		args.Offered = p.offeredTableVersion
	}
	if p.wantsTable && w.cfg.Table != nil {
		args.Table = w.cfg.Table()
	}
	w.addEvacuations(p, args)
	withdrawalsSent := p.withdrawalsSent
	if w.cfg.Withdrawals != nil {
		args.Withdrawals, withdrawalsSent = w.cfg.Withdrawals(p.withdrawalsSent, p.restarted)
	}
	crashReportsSent := w.addCrashes(p, args)
	peering := w.addPeering(p, args)
	switch {
	case len(lacks) > 0:
		args.Lacks, args.KnownOffers = lacks, p.offersRevision
	case p.reachable && !args.WantOffers && (!peering.Urgent || p.sentPeers):
		args.WaitMS = pollWait.Milliseconds()
	}
	var reply controlrpc.WatchReply
	err := w.cfg.Client.Call(ctx, address, controlrpc.MethodWatch, args, &reply)
	succeeded := err == nil && reply.Result.Code == controlrpc.CodeOK
	if succeeded {
		p.withdrawalsSent, p.restarted = withdrawalsSent, false
		p.crashReportsSent, p.verdictsChecksum = crashReportsSent, reply.VerdictsChecksum
		p.peerAddress, p.peerAddressTold = peering.Address, !reply.WantPeerAddress
		p.sentPeers = peering.Urgent
		p.wantsEvacuations = reply.WantEvacuations
		p.restoreOmitted(&reply)
		w.cfg.OnReply(address, &reply)
		w.updateRevision(p, args.Aside, &reply)
		w.awaitTable(p, &reply)
		w.Follow(reply.Controls)
	}
	w.recordOutcome(address, p, reply.DataCentre == w.cfg.DataCentre, succeeded, err)
	return succeeded
}

// addCrashes adds to a poll what the process lacks of crash reports and verdicts. It
// returns the number of the last report.
func (w *Watcher) addCrashes(p *controlProcess, args *controlrpc.WatchArgs) uint64 {
	if w.cfg.CrashReports == nil {
		return 0
	}
	verdicts, checksum := w.cfg.Verdicts()
	if args.VerdictsChecksum = checksum; checksum != p.verdictsChecksum {
		args.Verdicts = verdicts
	}
	reports, last := w.cfg.CrashReports(p.crashReportsSent)
	args.CrashReports = reports
	return last
}

// addEvacuations adds to a poll the version of the orders that the watcher follows, and the
// orders if the process lacks them.
func (w *Watcher) addEvacuations(p *controlProcess, args *controlrpc.WatchArgs) {
	if w.cfg.Evacuations == nil {
		return
	}
	set := w.cfg.Evacuations()
	args.EvacuationsVersion = set.Version
	if p.wantsEvacuations {
		args.Evacuations = &set
	}
}

// restoreOmitted fills in the lists that a reply omits because they have not changed.
func (p *controlProcess) restoreOmitted(reply *controlrpc.WatchReply) {
	if reply.PeersChecksum != p.peersChecksum || reply.Controls != nil {
		p.peersChecksum, p.controls, p.entryNodes = reply.PeersChecksum, reply.Controls, reply.EntryNodes
		return
	}
	reply.Controls, reply.EntryNodes = p.controls, p.entryNodes
}

// awaitTable waits tableWait if the reply announced a newer routing table without
// including it, so that a nearer control process can send the table first.
func (w *Watcher) awaitTable(p *controlProcess, reply *controlrpc.WatchReply) {
	p.offeredTableVersion = reply.TableVersion
	if reply.Table == nil && w.cfg.TableVersion() < reply.TableVersion {
		wait.Sleep(w.ctx, tableWait)
	}
}

// recordOutcome stores the outcome of a poll and logs when a control process becomes
// unreachable or reachable.
func (w *Watcher) recordOutcome(address string, p *controlProcess, sameDataCentre, succeeded bool, err error) {
	w.mu.Lock()
	wasReachable := p.reachable
	p.reachable = succeeded
	if succeeded {
		p.replied, p.sameDataCentre = true, sameDataCentre
	}
	w.mu.Unlock()
	if wasReachable == succeeded || w.ctx.Err() != nil {
		return
	}
	if succeeded {
		telemetry.WatchControlReachable.Log(w.cfg.Logger, zap.String("control", address), zap.Uint64("revision", p.revision))
		return
	}
	telemetry.WatchControlUnreachable.Log(w.cfg.Logger, zap.String("control", address), zap.Error(err))
}

// forget stops polling a control process that no reply and no settings have listed for
// forgetAfter. It keeps the last one in any case, and reports whether p was removed.
func (w *Watcher) forget(address string, p *controlProcess) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(p.lastListed) < forgetAfter || len(w.processes) == 1 {
		return false
	}
	delete(w.processes, address)
	return true
}
