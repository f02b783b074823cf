package testbed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/load"
	"wigeonbay/internal/searcher"
	"wigeonbay/internal/settings"

	"go.uber.org/zap"
)

// Times of the testbed.
const (
	// silentLinger is how long a searcher counts a silent connection that its
	// client has closed.
	silentLinger = 3 * time.Second
	// readyTimeout bounds the time until every service answers whole.
	readyTimeout = 30 * time.Second
	// readyDeadline is the deadline of the searches that find that out.
	readyDeadline = 5 * time.Second
	// stopTimeout bounds the end of a testbed.
	stopTimeout = 10 * time.Second
)

// startAttempts bounds how often the entry nodes are started on new addresses.
const startAttempts = 5

// dataCentre is where everything of a testbed runs.
const dataCentre = "oeste"

// Entry is an entry node as the testbed uses it.
type Entry interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
	InstallConfig(api.Configuration)
	CallersAddress() string
}

// EntryMaker makes an entry node that isn't started yet.
type EntryMaker func(*settings.Entry, *zap.Logger) (Entry, error)

// Plan describes a testbed.
type Plan struct {
	// Name keeps the testbeds of one process apart.
	Name string
	// Policy is the entry nodes' policy, "shipped" or "baseline".
	Policy   string
	Entries  int
	Services []ServiceShape
	Make     EntryMaker
	Seed     uint64
	Logger   *zap.Logger
}

// Bed is a running testbed.
type Bed struct {
	plan      Plan
	entries   []Entry
	announcer *http.Client
	// Searchers are the running searchers of each service.
	Searchers map[string][]*searcher.Searcher
	// Client is a caller behind a balancer over all entry nodes.
	Client *load.Client
}

// Start starts entry nodes and searchers and returns once every entry node
// answers whole for every service.
func Start(ctx context.Context, plan Plan) (*Bed, error) {
	if plan.Logger == nil {
		plan.Logger = zap.NewNop()
	}
	b := &Bed{
		plan:      plan,
		announcer: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: announceConnections}},
		Searchers: make(map[string][]*searcher.Searcher),
	}
	if err := b.start(ctx); err != nil {
		b.Stop()
		return nil, err
	}
	return b, nil
}

// announceConnections is the number of idle connections kept to an entry node
// for announcements, shared by all searchers.
const announceConnections = 32

func (b *Bed) start(ctx context.Context) error {
	if err := b.startEntries(ctx); err != nil {
		return err
	}
	for _, shape := range b.plan.Services {
		if err := b.startService(ctx, shape); err != nil {
			return err
		}
	}
	b.Client = load.NewClient(b.Addresses(), "bench")
	return b.awaitReady(ctx)
}

// startEntries starts the entry nodes, on other addresses when somebody else
// has taken one in the meantime.
func (b *Bed) startEntries(ctx context.Context) error {
	for attempt := 1; ; attempt++ {
		err := b.tryEntries(ctx)
		if err == nil || attempt == startAttempts || !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
		_ = b.stopEntries()
	}
}

func (b *Bed) tryEntries(ctx context.Context) error {
	all, err := b.entrySettings()
	if err != nil {
		return err
	}
	for _, one := range all {
		node, err := b.plan.Make(one, b.plan.Logger)
		if err != nil {
			return err
		}
		if err := node.Start(ctx); err != nil {
			return fmt.Errorf("start entry node %s: %w", one.Node.ID, err)
		}
		b.entries = append(b.entries, node)
		node.InstallConfig(b.configuration())
	}
	return nil
}

// entrySettings returns the settings of the entry nodes, which know each other.
func (b *Bed) entrySettings() ([]*settings.Entry, error) {
	peers, err := freeAddresses(b.plan.Entries)
	if err != nil {
		return nil, err
	}
	all := make([]*settings.Entry, b.plan.Entries)
	for i := range all {
		one := settings.DefaultEntry()
		one.Node = settings.Node{ID: b.entryID(i), DataCentre: dataCentre, Region: dataCentre}
		one.Listen = settings.EntryListen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: peers[i]}
		one.Limits.Policy = b.plan.Policy
		one.Limits.DrainTime = 10 * time.Millisecond
		for j, address := range peers {
			if j != i {
				one.Peers = append(one.Peers, settings.Peer{ID: b.entryID(j), Address: address, DataCentre: dataCentre})
			}
		}
		all[i] = one
	}
	return all, nil
}

func (b *Bed) entryID(number int) string {
	return fmt.Sprintf("%s-%s-%d", b.plan.Name, b.plan.Policy, number+1)
}

// freeAddresses returns n loopback addresses that were free a moment ago. The
// entry nodes must know each other's before the first of them listens.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a free address: %w", err)
		}
		defer l.Close()
		addresses[i] = l.Addr().String()
	}
	return addresses, nil
}

func (b *Bed) configuration() api.Configuration {
	c := api.Configuration{
		Version:   1,
		Services:  make(map[string]api.Service),
		Searchers: make(map[string]api.Searcher),
		Rules:     make(map[string]api.Rule),
	}
	for _, shape := range b.plan.Services {
		c.Services[shape.Service.Name] = shape.Service
	}
	return c
}

func (b *Bed) startService(ctx context.Context, shape ServiceShape) error {
	for number := range shape.Searchers {
		s, err := searcher.New(b.searcherConfig(shape, number))
		if err != nil {
			return err
		}
		if err := s.Start(ctx); err != nil {
			return err
		}
		b.Searchers[shape.Service.Name] = append(b.Searchers[shape.Service.Name], s)
	}
	return nil
}

func (b *Bed) searcherConfig(shape ServiceShape, number int) searcher.Config {
	return searcher.Config{
		Name:         api.TargetID(fmt.Sprintf("%s-%d", shape.Service.Name, number+1)),
		Service:      shape.Service.Name,
		DataCentre:   dataCentre,
		Listen:       "127.0.0.1:0",
		Entries:      b.Addresses(),
		Catalogue:    shape.Catalogue,
		Holdings:     []api.Holding{shape.Holding(number, 1, true)},
		Slots:        shape.Slots,
		Queue:        shape.Queue,
		Connections:  shape.Connections,
		AcceptDelay:  shape.AcceptDelay,
		NetworkDelay: shape.NetworkDelay,
		ServiceTime:  shape.ServiceTime,
		Spread:       shape.Spread,
		Lease:        shape.Lease,
		SilentLinger: silentLinger,
		Seed:         b.plan.Seed + uint64(number),
		Client:       b.announcer,
	}
}

// Addresses returns the callers' addresses of the entry nodes.
func (b *Bed) Addresses() []string {
	addresses := make([]string, len(b.entries))
	for i, node := range b.entries {
		addresses[i] = node.CallersAddress()
	}
	return addresses
}

// awaitReady asks each entry node by itself, so that none is still learning.
func (b *Bed) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, address := range b.Addresses() {
		client := load.NewClient([]string{address}, "bench")
		defer client.Close()
		for _, shape := range b.plan.Services {
			if err := load.WaitForService(ctx, client, shape.Service.Name, readyDeadline); err != nil {
				return fmt.Errorf("entry node %s: %w", address, err)
			}
		}
	}
	return nil
}

// All returns the searchers of all services.
func (b *Bed) All() []*searcher.Searcher {
	var all []*searcher.Searcher
	for _, shape := range b.plan.Services {
		all = append(all, b.Searchers[shape.Service.Name]...)
	}
	return all
}

// Stop ends the searchers as a crash does, then the entry nodes.
func (b *Bed) Stop() error {
	for _, s := range b.All() {
		s.Kill()
	}
	if b.Client != nil {
		b.Client.Close()
	}
	b.announcer.CloseIdleConnections()
	return b.stopEntries()
}

func (b *Bed) stopEntries() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	errs := make([]error, len(b.entries))
	var wait sync.WaitGroup
	for i, node := range b.entries {
		wait.Go(func() { errs[i] = node.Stop(ctx) })
	}
	wait.Wait()
	b.entries = nil
	return errors.Join(errs...)
}
