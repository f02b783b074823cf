// Package driver runs the membership reducer of an entry node. It passes ticks,
// received messages and announcements to the reducer, sends the reducer's messages
// over net/rpc and reports changes to the entry node.
package driver

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/api"
	"wigeonbay/internal/membership"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/wire"
)

// Config configures a Service.
type Config struct {
	ID string
	// Address is this node's address for its peers, IP:port.
	Address    string
	DataCentre string
	Region     string
	// Incarnation must increase with each start of the process; the start time
	// in nanoseconds is suitable.
	Incarnation uint64
	Seeds       []settings.Peer
	// Client should be created with the KeepAlive settings and used for nothing
	// else.
	Client *wire.Client
	Logger *zap.Logger
	// OnChange is called with changes, one call at a time and in order. It may
	// block: changes that arrive during a call are combined for the next one.
	OnChange func(Change)
	// RandomSeed seeds the random choice of peers.
	RandomSeed uint64
}

// Change describes what has changed since the previous call of Config.OnChange.
type Change struct {
	// Members is the complete list of alive, suspected and unreachable members,
	// this node included; nil if it has not changed.
	Members []api.EntryMember
	// Targets are the changed records with their effective states. A later
	// record of a target replaces an earlier one whatever its sequence, since an
	// expired lease and a late renewal repeat the sequence.
	Targets []api.Announcement
}

// Service runs the membership protocol of one entry node. It is safe for concurrent
// use.
type Service struct {
	cfg       Config
	counters  Counters
	outbox    *outbox
	notifier  *notifier
	stop      chan struct{}
	leaveDone chan struct{}
	running   sync.WaitGroup
	stopOnce  sync.Once

	mu      sync.Mutex
	state   *membership.State
	started bool
	// pendingReplies holds the channels of the announcements that wait for a
	// reply, by token.
	pendingReplies map[uint64]chan api.AnnounceReply
	// token is the last token given to an announcement.
	token uint64
	// members caches the list of members until the next change.
	members []api.EntryMember
}

// New returns a service; call Start to run it.
func New(cfg Config) *Service {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	s := &Service{cfg: cfg, stop: make(chan struct{}), leaveDone: make(chan struct{})}
	s.pendingReplies = map[uint64]chan api.AnnounceReply{}
	s.outbox = newOutbox(cfg.Client, &s.counters)
	s.notifier = newNotifier(cfg.OnChange)
	s.state = membership.New(membership.Config{
		Self: membership.Member{
			ID:          cfg.ID,
			Address:     cfg.Address,
			DataCentre:  cfg.DataCentre,
			Region:      cfg.Region,
			Incarnation: cfg.Incarnation,
		},
		Seeds:      seedsOf(cfg.Seeds),
		Timing:     membership.DefaultTiming(),
		RandomSeed: cfg.RandomSeed,
	}, time.Now())
	s.members = s.state.Members()
	return s
}

func seedsOf(peers []settings.Peer) []membership.Seed {
	seeds := make([]membership.Seed, 0, len(peers))
	for _, p := range peers {
		seeds = append(seeds, membership.Seed{ID: p.ID, Address: p.Address, DataCentre: p.DataCentre})
	}
	return seeds
}

// Register registers the net/rpc methods that other entry nodes call.
func (s *Service) Register(server *wire.Server) error {
	return server.Register("Membership", &receiver{service: s})
}

// Start runs the protocol in the background.
func (s *Service) Start() {
	s.mu.Lock()
	s.started = true
	s.mu.Unlock()
	s.notifier.setMembers(s.Members())
	s.running.Add(2)
	go func() {
		defer s.running.Done()
		s.notifier.run(s.stop)
	}()
	go func() {
		defer s.running.Done()
		s.runTicks()
	}()
}

// Stop ends the service without announcing a leave to the other nodes. It cancels
// the calls in flight and waits for them.
func (s *Service) Stop() {
	s.stopOnce.Do(func() { close(s.stop) })
	s.running.Wait()
	s.outbox.close()
}

// Announce accepts a target's announcement. A changed record is first pushed to
// other nodes, if there are any: Announce then returns once one of them has
// acknowledged it, or after a fraction of a second without an acknowledgement. It
// returns an error if the announcement is invalid, ctx's error if ctx ends first,
// and ErrNotRunning if the service stops first.
func (s *Service) Announce(ctx context.Context, a api.Announcement) (api.AnnounceReply, error) {
	if err := a.Validate(); err != nil {
		return api.AnnounceReply{}, err
	}
	a.Holdings = slices.Clone(a.Holdings)
	token, replied := s.registerReply()
	s.step(membership.Announced{At: time.Now(), Token: token, Announcement: a})
	select {
	case reply := <-replied:
		return reply, nil
	case <-ctx.Done():
		s.cancelReply(token)
		return api.AnnounceReply{}, ctx.Err()
	case <-s.stop:
		s.cancelReply(token)
		return api.AnnounceReply{}, ErrNotRunning
	}
}

// registerReply returns a new token and the channel for the reply to it.
func (s *Service) registerReply() (uint64, <-chan api.AnnounceReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.token++
	replied := make(chan api.AnnounceReply, 1)
	s.pendingReplies[s.token] = replied
	return s.token, replied
}

func (s *Service) cancelReply(token uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pendingReplies, token)
}

// ReportTarget records a target's state as given in the header of its reply.
func (s *Service) ReportTarget(target api.TargetID, incarnation uint64, state api.TargetState) {
	s.step(membership.Reported{
		At:          time.Now(),
		Target:      target,
		Incarnation: incarnation,
		State:       state,
	})
}

// ErrNotRunning is returned by Leave if the service has not started or has stopped,
// and by Announce if the service stops before the reply.
var ErrNotRunning = errors.New("membership is not running")

// Leave announces this node's leave to the other nodes and waits until the reducer
// reports it done: enough nodes have acknowledged it or its own wait has timed out.
// Call Stop afterwards.
func (s *Service) Leave(ctx context.Context) error {
	s.mu.Lock()
	started := s.started
	s.mu.Unlock()
	if !started {
		return ErrNotRunning
	}
	s.step(membership.LeaveRequested{At: time.Now()})
	select {
	case <-s.leaveDone:
		return nil
	case <-s.stop:
		return ErrNotRunning
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Members returns the alive, suspected and unreachable members, this node
// included, sorted by id. The caller must not change the slice.
func (s *Service) Members() []api.EntryMember {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

// IsAlive reports whether a member is alive and not suspected.
func IsAlive(m api.EntryMember) bool { return m.State == membership.MemberAlive.String() }

// Targets returns the records of all targets, the gone ones included, with their
// effective states, sorted by name.
func (s *Service) Targets() []api.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Targets()
}

// Counters returns the current message counters.
func (s *Service) Counters() CounterValues {
	return s.counters.Values()
}

func (s *Service) runTicks() {
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.step(membership.Tick{At: time.Now()})
		}
	}
}

// step applies one event to the reducer and carries out the effects. The lock is
// held while effects are passed to the outbox and the notifier, so that both
// receive them in order.
func (s *Service) step(event membership.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, effect := range s.state.Step(event) {
		switch e := effect.(type) {
		case membership.Send:
			s.outbox.send(e)
		case membership.MembersChanged:
			s.members = s.state.Members()
			s.notifier.setMembers(s.members)
		case membership.TargetChanged:
			s.notifier.addTarget(e.Announcement)
		case membership.AnnounceReplied:
			s.deliverReply(e)
		case membership.LogEvent:
			s.handleLogEvent(e)
		}
	}
}

// deliverReply passes a reply to the Announce call that waits for it.
func (s *Service) deliverReply(e membership.AnnounceReplied) {
	if replied := s.pendingReplies[e.Token]; replied != nil {
		replied <- e.Reply
		delete(s.pendingReplies, e.Token)
	}
}

// handleLogEvent logs an event and ends the wait of Leave on LogLeaveDone.
func (s *Service) handleLogEvent(logEvent membership.LogEvent) {
	if logEvent.Kind == membership.LogLeaveDone {
		close(s.leaveDone)
	}
	if event, ok := logEvents[logEvent.Kind]; ok {
		event.Log(s.cfg.Logger, zap.String("subject", strings.Clone(logEvent.Subject)))
	}
}
