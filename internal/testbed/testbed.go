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

const (
	// silentLinger is how long a searcher counts a silent connection after its
	// client has closed it.
	silentLinger = 3 * time.Second
	// readyTimeout limits the time until every service answers with full coverage.
	readyTimeout = 30 * time.Second
	// readyDeadline is the deadline of the searches that check this.
	readyDeadline = 5 * time.Second
	// stopTimeout limits the time to stop the entry nodes.
	stopTimeout = 10 * time.Second
)

// startAttempts is the maximum number of attempts to start the entry nodes, each
// on new addresses.
const startAttempts = 5

// dataCentre is the data centre of all entry nodes and searchers.
const dataCentre = "oeste"

// Entry is the part of an entry node that the testbed uses.
type Entry interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
	InstallConfig(api.Configuration)
	CallersAddress() string
}

// NewEntryFunc creates an entry node without starting it.
type NewEntryFunc func(*settings.Entry, *zap.Logger) (Entry, error)

// Options describe a testbed.
type Options struct {
	// Name distinguishes the entry nodes of testbeds in the same process.
	Name string
	// Policy is the policy of the entry nodes, "shipped" or "baseline".
	Policy string
	// Entries is the number of entry nodes.
	Entries  int
	Services []ServiceShape
	NewEntry NewEntryFunc
	Seed     uint64
	Logger   *zap.Logger
}

// Testbed is a set of running entry nodes and searchers.
type Testbed struct {
	options        Options
	entries        []Entry
	announceClient *http.Client
	// Searchers holds the running searchers by service name.
	Searchers map[string][]*searcher.Searcher
	// Client is a caller that balances its load over all entry nodes.
	Client *load.Client
}

// Start starts entry nodes and searchers and returns when every entry node answers
// with full coverage for every service.
func Start(ctx context.Context, options Options) (*Testbed, error) {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	tb := &Testbed{
		options:        options,
		announceClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: announceConnections}},
		Searchers:      make(map[string][]*searcher.Searcher),
	}
	if err := tb.start(ctx); err != nil {
		tb.Stop()
		return nil, err
	}
	return tb, nil
}

// announceConnections is the number of idle connections kept to an entry node
// for announcements, shared by all searchers.
const announceConnections = 32

func (tb *Testbed) start(ctx context.Context) error {
	if err := tb.startEntries(ctx); err != nil {
		return err
	}
	for _, shape := range tb.options.Services {
		if err := tb.startService(ctx, shape); err != nil {
			return err
		}
	}
	tb.Client = load.NewClient(tb.Addresses(), "bench")
	return tb.awaitReady(ctx)
}

// startEntries starts the entry nodes. It retries on other addresses if one has
// been taken by another process in the meantime.
func (tb *Testbed) startEntries(ctx context.Context) error {
	for attempt := 1; ; attempt++ {
		err := tb.startEntriesOnce(ctx)
		if err == nil || attempt == startAttempts || !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
		_ = tb.stopEntries()
	}
}

func (tb *Testbed) startEntriesOnce(ctx context.Context) error {
	all, err := tb.entrySettings()
	if err != nil {
		return err
	}
	for _, cfg := range all {
		node, err := tb.options.NewEntry(cfg, tb.options.Logger)
		if err != nil {
			return err
		}
		if err := node.Start(ctx); err != nil {
			return fmt.Errorf("start entry node %s: %w", cfg.Node.ID, err)
		}
		tb.entries = append(tb.entries, node)
		node.InstallConfig(tb.configuration())
	}
	return nil
}

// entrySettings returns the settings of the entry nodes, each with all others as
// peers.
func (tb *Testbed) entrySettings() ([]*settings.Entry, error) {
	peers, err := freeLoopbackAddresses(tb.options.Entries)
	if err != nil {
		return nil, err
	}
	all := make([]*settings.Entry, tb.options.Entries)
	for i := range all {
		cfg := settings.DefaultEntry()
		cfg.Node = settings.Node{ID: tb.entryID(i), DataCentre: dataCentre, Region: dataCentre}
		cfg.Listen = settings.EntryListen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: peers[i]}
		cfg.Limits.Policy = tb.options.Policy
		cfg.Limits.DrainTime = 10 * time.Millisecond
		for j, address := range peers {
			if j != i {
				cfg.Peers = append(cfg.Peers, settings.Peer{ID: tb.entryID(j), Address: address, DataCentre: dataCentre})
			}
		}
		all[i] = cfg
	}
	return all, nil
}

func (tb *Testbed) entryID(number int) string {
	return fmt.Sprintf("%s-%s-%d", tb.options.Name, tb.options.Policy, number+1)
}

// freeLoopbackAddresses returns n loopback addresses that are free at the time of
// the call. The entry nodes must know each other's addresses before the first of
// them listens.
func freeLoopbackAddresses(n int) ([]string, error) {
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

// configuration returns the configuration of the services, without overrides of
// searchers and without rules.
func (tb *Testbed) configuration() api.Configuration {
	c := api.Configuration{
		Version:   1,
		Services:  make(map[string]api.Service),
		Searchers: make(map[string]api.Searcher),
		Rules:     make(map[string]api.Rule),
	}
	for _, shape := range tb.options.Services {
		c.Services[shape.Service.Name] = shape.Service
	}
	return c
}

func (tb *Testbed) startService(ctx context.Context, shape ServiceShape) error {
	for number := range shape.Searchers {
		s, err := searcher.New(tb.searcherConfig(shape, number))
		if err != nil {
			return err
		}
		if err := s.Start(ctx); err != nil {
			return err
		}
		tb.Searchers[shape.Service.Name] = append(tb.Searchers[shape.Service.Name], s)
	}
	return nil
}

func (tb *Testbed) searcherConfig(shape ServiceShape, number int) searcher.Config {
	return searcher.Config{
		Name:         api.TargetID(fmt.Sprintf("%s-%d", shape.Service.Name, number+1)),
		Service:      shape.Service.Name,
		DataCentre:   dataCentre,
		Listen:       "127.0.0.1:0",
		Entries:      tb.Addresses(),
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
		Seed:         tb.options.Seed + uint64(number),
		Client:       tb.announceClient,
	}
}

// Addresses returns the addresses at which the entry nodes serve callers.
func (tb *Testbed) Addresses() []string {
	addresses := make([]string, len(tb.entries))
	for i, node := range tb.entries {
		addresses[i] = node.CallersAddress()
	}
	return addresses
}

// awaitReady waits until every entry node answers with full coverage for every
// service. It asks each node individually, so that it also waits for nodes that
// have yet to learn of all searchers.
func (tb *Testbed) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, address := range tb.Addresses() {
		client := load.NewClient([]string{address}, "bench")
		defer client.Close()
		for _, shape := range tb.options.Services {
			if err := load.WaitForService(ctx, client, shape.Service.Name, readyDeadline); err != nil {
				return fmt.Errorf("entry node %s: %w", address, err)
			}
		}
	}
	return nil
}

// AllSearchers returns the searchers of all services.
func (tb *Testbed) AllSearchers() []*searcher.Searcher {
	var all []*searcher.Searcher
	for _, shape := range tb.options.Services {
		all = append(all, tb.Searchers[shape.Service.Name]...)
	}
	return all
}

// Stop ends the searchers as a crash would, and then stops the entry nodes.
func (tb *Testbed) Stop() error {
	for _, s := range tb.AllSearchers() {
		s.Kill()
	}
	if tb.Client != nil {
		tb.Client.Close()
	}
	tb.announceClient.CloseIdleConnections()
	return tb.stopEntries()
}

func (tb *Testbed) stopEntries() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	errs := make([]error, len(tb.entries))
	var wg sync.WaitGroup
	for i, node := range tb.entries {
		wg.Go(func() { errs[i] = node.Stop(ctx) })
	}
	wg.Wait()
	tb.entries = nil
	return errors.Join(errs...)
}
