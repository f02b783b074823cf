// Package driver runs the membership reducer of an entry node: it feeds it
// ticks, messages and announcements, sends its messages by net/rpc and hands
// its changes to the entry node.
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

// Config is what a Service needs.
type Config struct {
	ID string
	// Address is the address of the peers' listener, IP:port.
	Address    string
	DataCentre string
	Region     string
	// Incarnation must be higher with each start of the process; the time of
	// the start in nanoseconds will do.
	Incarnation uint64
	Seeds       []settings.Peer
	// Client should be made with KeepAlive and used for nothing else.
	Client *wire.Client
	Logger *zap.Logger
	// OnChange is called with each change, one call at a time and in order. It
	// may block: changes that come meanwhile are put together.
	OnChange func(Change)
	// Seed seeds the choice of peers.
	Seed uint64
}

// Change is what changed in the membership.
type Change struct {
	// Members is the whole list, this node included, of alive, suspected and
	// unreachable members; nil when it did not change.
	Members []api.EntryMember
	// Targets are the records that changed, in the state that is in force. The
	// last one of a target stands, whatever its sequence: a lease that ended
	// and a renewal that came after all repeat the sequence.
	Targets []api.Announcement
}

// Service is the membership of one entry node. It is safe for concurrent use.
type Service struct {
	cfg      Config
	counters Counters
	outbox   *outbox
	notifier *notifier
	stop     chan struct{}
	left     chan struct{}
	running  sync.WaitGroup
	stopOnce sync.Once

	mu      sync.Mutex
	state   *membership.State
	started bool
	// replies are the announcements that wait for their answer, by token.
	replies map[uint64]chan api.AnnounceReply
	token   uint64
	// members is the list as of the last change.
	members []api.EntryMember
}

// New returns a service that has not started.
func New(cfg Config) *Service {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	s := &Service{cfg: cfg, stop: make(chan struct{}), left: make(chan struct{})}
	s.replies = map[uint64]chan api.AnnounceReply{}
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
		RandomSeed: cfg.Seed,
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

// Register offers the service's methods to the other entry nodes.
func (s *Service) Register(server *wire.Server) error {
	return server.Register("Membership", &receiver{service: s})
}

// Start begins to probe and to spread. It returns at once.
func (s *Service) Start() {
	s.mu.Lock()
	s.started = true
	s.mu.Unlock()
	s.notifier.members(s.Members())
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

// Stop ends the service without a word to the others, and waits for calls that
// are under way.
func (s *Service) Stop() {
	s.stopOnce.Do(func() { close(s.stop) })
	s.running.Wait()
	s.outbox.close()
}

// Announce takes a target's announcement. It returns once another node holds
// it too, if there is one, within a fraction of a second. The error says what
// is wrong with the announcement, or is ctx's.
func (s *Service) Announce(ctx context.Context, a api.Announcement) (api.AnnounceReply, error) {
	if err := a.Validate(); err != nil {
		return api.AnnounceReply{}, err
	}
	a.Holdings = slices.Clone(a.Holdings)
	token, replied := s.expectReply()
	s.step(membership.Announced{At: time.Now(), Token: token, Announcement: a})
	select {
	case reply := <-replied:
		return reply, nil
	case <-ctx.Done():
		s.forgetReply(token)
		return api.AnnounceReply{}, ctx.Err()
	case <-s.stop:
		s.forgetReply(token)
		return api.AnnounceReply{}, ErrNotStarted
	}
}

func (s *Service) expectReply() (uint64, <-chan api.AnnounceReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.token++
	replied := make(chan api.AnnounceReply, 1)
	s.replies[s.token] = replied
	return s.token, replied
}

func (s *Service) forgetReply(token uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.replies, token)
}

// ReportTarget takes a target's state from the header of its reply.
func (s *Service) ReportTarget(target api.TargetID, incarnation uint64, state api.TargetState) {
	s.step(membership.Reported{
		At:          time.Now(),
		Target:      target,
		Incarnation: incarnation,
		State:       state,
	})
}

// ErrNotStarted is returned by Leave of a service that isn't running.
var ErrNotStarted = errors.New("membership is not running")

// Leave tells the other nodes that this one goes, and waits until enough of
// them have acknowledged it. Call Stop afterwards.
func (s *Service) Leave(ctx context.Context) error {
	s.mu.Lock()
	started := s.started
	s.mu.Unlock()
	if !started {
		return ErrNotStarted
	}
	s.step(membership.LeaveRequested{At: time.Now()})
	select {
	case <-s.left:
		return nil
	case <-s.stop:
		return ErrNotStarted
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

// Targets returns the records of all targets, the gone ones included, in the
// states that are in force, sorted by name.
func (s *Service) Targets() []api.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Targets()
}

// Counters returns the numbers of messages and bytes.
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

// step runs one event and carries out its effects. The lock covers the hand-over
// to the outbox and the notifier too, so that both see the effects in order.
func (s *Service) step(event membership.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, effect := range s.state.Step(event) {
		switch e := effect.(type) {
		case membership.Send:
			s.outbox.send(e)
		case membership.MembersChanged:
			s.members = s.state.Members()
			s.notifier.members(s.members)
		case membership.TargetChanged:
			s.notifier.target(e.Announcement)
		case membership.AnnounceReplied:
			s.replied(e)
		case membership.Note:
			s.note(e)
		}
	}
}

func (s *Service) replied(e membership.AnnounceReplied) {
	if replied := s.replies[e.Token]; replied != nil {
		replied <- e.Reply
		delete(s.replies, e.Token)
	}
}

func (s *Service) note(n membership.Note) {
	if n.Kind == membership.NoteLeaveDone {
		close(s.left)
	}
	if event, ok := noteEvents[n.Kind]; ok {
		event.Log(s.cfg.Logger, zap.String("subject", strings.Clone(n.Subject)))
	}
}
