package searcher

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/telemetry"
	"wigeonbay/internal/wait"

	"go.uber.org/zap"
)

// Searcher is a simulated target. Its methods are safe for concurrent use.
type Searcher struct {
	cfg          Config
	slots        *slots
	times        *serviceTimes
	counters     counters
	runCounts    *runCounts
	loadReporter loadReporter
	announce     *announcer
	server       *http.Server
	listener     *listener
	// serveDone is closed when the HTTP server has stopped accepting.
	serveDone chan struct{}
	shedding  atomic.Bool

	mu          sync.Mutex
	state       api.TargetState
	incarnation uint64
	sequence    uint64
	holdings    []api.Holding
	address     string
	// drainedAt is when the drain began, or the stop if there was no drain.
	drainStartedAt time.Time
	inFlight       int
	// idle is nil until a drain begins, and closed once no request is in flight.
	idle chan struct{}
	// warmTimer ends the cold start.
	warmTimer *time.Timer
}

// New validates the configuration and returns a searcher that is not started.
func New(cfg Config) (*Searcher, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	s := &Searcher{
		cfg:       cfg,
		slots:     newSlots(cfg.Slots, cfg.Queue),
		times:     newServiceTimes(cfg),
		runCounts: newRunCounts(),
		state:     api.TargetStarting,
		holdings:  cfg.Holdings,
		serveDone: make(chan struct{}),
	}
	s.announce = newAnnouncer(s)
	s.server = &http.Server{Handler: s.handler(), ReadHeaderTimeout: headerTimeout}
	return s, nil
}

// headerTimeout limits the time for reading a request's header.
const headerTimeout = 30 * time.Second

// Start listens on the configured address and starts to serve requests and to
// send announcements. The incarnation is the start time in Unix nanoseconds.
func (s *Searcher) Start(ctx context.Context) error {
	var config net.ListenConfig
	inner, err := config.Listen(ctx, "tcp", s.cfg.Listen)
	if err != nil {
		return fmt.Errorf("searcher %q: %w", s.cfg.Name, err)
	}
	s.listener = newListener(inner, s.cfg)
	s.markStarted(inner.Addr().String(), time.Now())
	go s.serve()
	s.announce.start()
	telemetry.SearcherStarted.Log(s.cfg.Logger, zap.String("target", string(s.cfg.Name)), zap.String("address", s.Address()))
	return nil
}

// markStarted sets the address and the incarnation and puts the searcher in the
// ready state, or in the warming state for the time of the cold start.
func (s *Searcher) markStarted(address string, now time.Time) {
	s.times.start(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = address
	s.incarnation = uint64(now.UnixNano())
	s.sequence = 1
	s.state = api.TargetReady
	if s.cfg.ColdStart > 0 {
		s.state = api.TargetWarming
		s.warmTimer = time.AfterFunc(s.cfg.ColdStart, s.finishWarming)
	}
}

func (s *Searcher) finishWarming() {
	s.update(func() bool {
		if s.state != api.TargetWarming {
			return false
		}
		s.state = api.TargetReady
		return true
	})
}

func (s *Searcher) serve() {
	defer close(s.serveDone)
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		telemetry.SearcherListenerFailed.Log(s.cfg.Logger, zap.Error(err))
	}
}

// Address returns the IP:port that the searcher listens on.
func (s *Searcher) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Name returns the searcher's name.
func (s *Searcher) Name() api.TargetID {
	return s.cfg.Name
}

// State returns the state that the searcher announces.
func (s *Searcher) State() api.TargetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// update calls apply with the lock held. If apply reports a change, update
// increments the sequence number and announces the new state immediately.
func (s *Searcher) update(apply func() bool) {
	s.mu.Lock()
	changed := apply()
	if changed {
		s.sequence++
	}
	s.mu.Unlock()
	if changed {
		s.announce.notify()
	}
}

// Drain makes the searcher refuse new requests, announces that, and waits until
// no request is in flight. If ctx is done first, it returns ctx's error.
func (s *Searcher) Drain(ctx context.Context) error {
	var idle chan struct{}
	s.update(func() bool {
		idle = s.idleChannelLocked()
		if s.state == api.TargetDraining {
			return false
		}
		s.state = api.TargetDraining
		s.drainStartedAt = time.Now()
		return true
	})
	telemetry.SearcherDraining.Log(s.cfg.Logger, zap.String("target", string(s.cfg.Name)))
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("searcher %q still runs requests: %w", s.cfg.Name, ctx.Err())
	}
}

// idleChannelLocked returns a channel that is closed once no request is in
// flight. The caller must hold mu.
func (s *Searcher) idleChannelLocked() chan struct{} {
	if s.idle == nil {
		s.idle = make(chan struct{})
		if s.inFlight == 0 {
			close(s.idle)
		}
	}
	return s.idle
}

// DrainAndStop drains the searcher and stops it no earlier than drainGrace after
// the call, so that every entry node has learned of the drain by then. If ctx is
// done first, it stops the searcher at once.
func (s *Searcher) DrainAndStop(ctx context.Context) error {
	drainStart := time.Now()
	if err := s.Drain(ctx); err != nil {
		return errors.Join(err, s.Stop(ctx))
	}
	wait.Sleep(ctx, drainGrace-time.Since(drainStart))
	return s.Stop(ctx)
}

// Stop announces that the searcher is gone, closes the listener and waits for
// running requests. If ctx is done first, it closes their connections. Call
// Drain before Stop.
func (s *Searcher) Stop(ctx context.Context) error {
	s.update(func() bool {
		if s.drainStartedAt.IsZero() {
			s.drainStartedAt = time.Now()
		}
		s.state = api.TargetGone
		return true
	})
	s.stopWarmTimer()
	s.announce.stop(ctx)
	err := s.server.Shutdown(ctx)
	if err != nil {
		s.listener.closeAll()
		s.server.Close()
	}
	<-s.serveDone
	telemetry.SearcherStopped.Log(s.cfg.Logger, zap.String("target", string(s.cfg.Name)))
	return err
}

// Kill stops the searcher as a crash does: it closes all connections and
// announces nothing.
func (s *Searcher) Kill() {
	s.stopWarmTimer()
	s.announce.abort()
	s.server.Close()
	s.listener.closeAll()
	<-s.serveDone
}

func (s *Searcher) stopWarmTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.warmTimer != nil {
		s.warmTimer.Stop()
	}
}

// announcement returns the announcement of the current state.
func (s *Searcher) announcement() api.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return api.Announcement{
		Target:      s.cfg.Name,
		Incarnation: s.incarnation,
		Sequence:    s.sequence,
		Service:     s.cfg.Service,
		Address:     s.address,
		DataCentre:  s.cfg.DataCentre,
		State:       s.state,
		Slots:       s.cfg.Slots,
		Connections: s.cfg.Connections,
		Holdings:    s.holdings,
		LeaseMS:     s.cfg.Lease.Milliseconds(),
	}
}
