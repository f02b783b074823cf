// Package configsync keeps an entry node's configuration current: it carries
// out what package follow decides, by net/rpc to the control processes and to
// other entry nodes, and serves this node's configuration to them.
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

// tickInterval is the time between two ticks of the reducer.
const tickInterval = 100 * time.Millisecond

// methodFetch is the method by which entry nodes ask each other.
const methodFetch = "ConfigSync.Fetch"

// Config is what a Service needs.
type Config struct {
	Self     settings.Node
	Controls []settings.Peer
	// Peers returns the entry nodes known now.
	Peers  func() []api.EntryMember
	Client *wire.Client
	Logger *zap.Logger
	// OnConfig is called with higher versions, one call at a time; versions that
	// come during a call are skipped but for the last. Age is the time since a
	// control quorum confirmed it, negative for never. The Service counts as
	// ready, and as at the version, once OnConfig has returned.
	OnConfig func(cfg api.Configuration, age time.Duration)
}

// Service follows the configuration. It is safe for concurrent use.
type Service struct {
	cfg     Config
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	wake chan struct{}

	mu      sync.Mutex
	stopped bool
	state   *follow.State
	// applied is what OnConfig has yet to be called with; nil for nothing.
	applied *follow.Applied
	// inForce is the version that OnConfig was last called with.
	inForce uint64
	// ready stays true once the version that made the reducer ready is in force.
	ready bool
}

// New returns a service that has not started.
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

// Register offers the node's configuration to the other entry nodes.
func (s *Service) Register(server *wire.Server) error {
	return server.Register("ConfigSync", &receiver{service: s})
}

// Start begins to follow. It returns at once.
func (s *Service) Start() {
	s.running.Go(s.runTicks)
	s.running.Go(s.runApplied)
}

// Stop ends the service and waits for calls that are under way.
func (s *Service) Stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.cancel()
	s.running.Wait()
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

// Age returns the time since a control quorum last confirmed the version in
// force; negative means never.
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
		case follow.AskControl:
			s.running.Go(func() { s.askControl(e) })
		case follow.AskPeer:
			s.running.Go(func() { s.askPeer(e) })
		case follow.Applied:
			s.applied = &e
		case follow.Note:
			noteEvents[e.Kind].Log(s.cfg.Logger, zap.String("subject", e.Subject), zap.Uint64("version", e.Version))
		}
	}
	s.noteReady()
	if s.applied != nil {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// noteReady finds out whether what made the reducer ready is in force.
func (s *Service) noteReady() {
	if s.state.Ready() && s.inForce == s.state.Version() {
		s.ready = true
	}
}

// runApplied calls OnConfig without the lock: the entry node may hold a lock of
// its own when it asks the Service.
func (s *Service) runApplied() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.wake:
		}
		s.mu.Lock()
		e := s.applied
		s.applied = nil
		s.mu.Unlock()
		if e != nil {
			s.putInForce(*e)
		}
	}
}

func (s *Service) putInForce(e follow.Applied) {
	if s.cfg.OnConfig != nil {
		s.cfg.OnConfig(e.Configuration, e.Age)
	}
	telemetry.ConfigApplied.Log(s.cfg.Logger, zap.Uint64("version", e.Configuration.Version))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inForce = e.Configuration.Version
	s.noteReady()
}

func (s *Service) askControl(e follow.AskControl) {
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
		// The reply may still be written to by a call that was given up.
		s.step(follow.ControlAnswered{At: time.Now(), Token: e.Token, Failed: true})
		return
	}
	s.step(follow.ControlAnswered{At: time.Now(), Token: e.Token, Reply: reply})
}

func (s *Service) askPeer(e follow.AskPeer) {
	ctx, cancel := context.WithTimeout(s.ctx, e.Timeout)
	defer cancel()
	var reply FetchReply
	if err := s.cfg.Client.Call(ctx, e.Address, methodFetch, &FetchArgs{Since: e.Since}, &reply); err != nil {
		s.step(follow.PeerAnswered{At: time.Now(), Token: e.Token, Failed: true})
		return
	}
	s.step(follow.PeerAnswered{At: time.Now(), Token: e.Token, Reply: reply.Reply})
}
