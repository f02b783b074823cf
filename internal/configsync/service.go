// Package configsync keeps an entry node's configuration up to date. It
// executes the effects of package follow by net/rpc calls to control processes
// and other entry nodes, and serves this node's configuration to other entry
// nodes.
package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"wigeonbay/internal/api"
	"wigeonbay/internal/configsync/follow"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/telemetry"
	"wigeonbay/internal/wire"
)

// tickInterval is the interval between Tick events of the reducer.
const tickInterval = 100 * time.Millisecond

// methodFetch is the RPC method by which entry nodes fetch from each other.
const methodFetch = "ConfigSync.Fetch"

// Config holds the parameters and dependencies of a Service.
type Config struct {
	Self     settings.Node
	Controls []settings.Peer
	// Peers returns the currently known entry nodes. It may be nil.
	Peers  func() []api.EntryMember
	Client *wire.Client
	Logger *zap.Logger
	// OnConfig is called with increasing versions, one call at a time. Of the
	// versions that arrive during a call, only the last one is delivered. age is
	// the time since a control quorum last confirmed the node's version (see
	// follow.State.Age); negative means never. Ready and Version reflect a
	// version only after OnConfig has returned for it. OnConfig may be nil.
	OnConfig func(cfg api.Configuration, age time.Duration)
}

// Service keeps an entry node's configuration up to date. It is safe for
// concurrent use.
type Service struct {
	cfg        Config
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// wake tells runCallbacks that pendingConfig is set.
	wake chan struct{}

	mu      sync.Mutex
	stopped bool
	state   *follow.State
	// pendingConfig is the configuration for the next call of OnConfig; nil if
	// there is none.
	pendingConfig *follow.Applied
	// inForce is the version for which OnConfig last returned.
	inForce uint64
	// ready is set once the reducer is ready and its version is in force. It is
	// never reset.
	ready bool
}

// New returns a service that has not been started.
func New(cfg Config) *Service {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	s := &Service{cfg: cfg, wake: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	controls := make([]follow.Control, 0, len(cfg.Controls))
	for _, c := range cfg.Controls {
		controls = append(controls, follow.Control{ID: c.ID, Address: c.Address, DataCentre: c.DataCentre})
	}
	s.state = follow.New(follow.Config{
		ID:         cfg.Self.ID,
		DataCentre: cfg.Self.DataCentre,
		Controls:   controls,
		Timing:     follow.DefaultTiming(),
		RandomSeed: xxhash.Sum64String(cfg.Self.ID),
	}, time.Now())
	return s
}

// Register registers the RPC service that other entry nodes fetch this node's
// configuration from.
func (s *Service) Register(server *wire.Server) error {
	return server.Register("ConfigSync", &receiver{service: s})
}

// Start starts the goroutines of the service and returns.
func (s *Service) Start() {
	s.goroutines.Go(s.runTicks)
	s.goroutines.Go(s.runCallbacks)
}

// Stop stops the service and waits for calls in progress.
func (s *Service) Stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.cancel()
	s.goroutines.Wait()
}

// Ready reports whether the node may serve with the configuration it holds.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

// Version returns the version in force.
func (s *Service) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce
}

// Age returns the time since a control quorum last confirmed the node's version
// (see follow.State.Age); negative means never.
func (s *Service) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Age(time.Now())
}

func (s *Service) runTicks() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var peers []api.EntryMember
		if s.cfg.Peers != nil {
			peers = s.cfg.Peers()
		}
		s.step(follow.Tick{At: time.Now(), Peers: peers})
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Service) step(event follow.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	for _, effect := range s.state.Step(event) {
		switch e := effect.(type) {
		case follow.FetchFromControl:
			s.goroutines.Go(func() { s.fetchFromControl(e) })
		case follow.FetchFromPeer:
			s.goroutines.Go(func() { s.fetchFromPeer(e) })
		case follow.Applied:
			s.pendingConfig = &e
		case follow.LogEvent:
			logEvents[e.Kind].Log(s.cfg.Logger, zap.String("subject", e.Subject), zap.Uint64("version", e.Version))
		}
	}
	s.updateReady()
	if s.pendingConfig != nil {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// updateReady sets ready if the reducer is ready and its version is in force.
// s.mu must be held.
func (s *Service) updateReady() {
	if s.state.Ready() && s.inForce == s.state.Version() {
		s.ready = true
	}
}

// runCallbacks calls OnConfig without holding s.mu, because the entry node may
// call the Service while it holds a lock of its own.
func (s *Service) runCallbacks() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.wake:
		}
		s.mu.Lock()
		e := s.pendingConfig
		s.pendingConfig = nil
		s.mu.Unlock()
		if e != nil {
			s.deliverConfig(*e)
		}
	}
}

func (s *Service) deliverConfig(e follow.Applied) {
	if s.cfg.OnConfig != nil {
		s.cfg.OnConfig(e.Configuration, e.Age)
	}
	telemetry.ConfigApplied.Log(s.cfg.Logger, zap.Uint64("version", e.Configuration.Version))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inForce = e.Configuration.Version
	s.updateReady()
}

func (s *Service) fetchFromControl(e follow.FetchFromControl) {
	ctx, cancel := context.WithTimeout(s.ctx, e.Timeout)
	defer cancel()
	args := controlrpc.FetchArgs{
		Envelope:  wire.NewEnvelope(ctx),
		Since:     e.Since,
		WaitMS:    e.Wait.Milliseconds(),
		Confirmed: e.Confirmed,
	}
	var reply controlrpc.FetchReply
	if err := s.cfg.Client.Call(ctx, e.Address, controlrpc.MethodFetch, &args, &reply); err != nil {
		// reply must not be read: a cancelled call may still write to it.
		s.step(follow.ControlFetchDone{At: time.Now(), Token: e.Token, Failed: true})
		return
	}
	s.step(follow.ControlFetchDone{At: time.Now(), Token: e.Token, Reply: reply})
}

func (s *Service) fetchFromPeer(e follow.FetchFromPeer) {
	ctx, cancel := context.WithTimeout(s.ctx, e.Timeout)
	defer cancel()
	var reply FetchReply
	if err := s.cfg.Client.Call(ctx, e.Address, methodFetch, &FetchArgs{Since: e.Since}, &reply); err != nil {
		s.step(follow.PeerFetchDone{At: time.Now(), Token: e.Token, Failed: true})
		return
	}
	s.step(follow.PeerFetchDone{At: time.Now(), Token: e.Token, Reply: reply.Reply})
}
