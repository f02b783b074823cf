package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"wigeonbay/internal/api"
)

// Seed is a node that may be contacted before it is known as a member.
type Seed struct {
	ID         string
	Address    string
	DataCentre string
}

// Config configures a node's state.
type Config struct {
	Self   Member
	Seeds  []Seed
	Timing Timing
	// RandomSeed seeds the choice of peers.
	RandomSeed uint64
}

// State is the reducer's state. It is not safe for concurrent use.
type State struct {
	self    string
	seeds   []Seed
	timing  Timing
	random  *rand.Rand
	now     time.Time
	members map[string]*memberEntry
	targets map[api.TargetID]*targetEntry
	tree    *tree
	// rumours are the records that are still pushed; newRumours are those added
	// in this step; pendingPushes wait for acknowledgement.
	rumours       map[recordKey]*rumour
	newRumours    []*rumour
	pendingPushes map[uint64]pendingPush
	// pendingAnnouncements are the announcements that no other node has
	// acknowledged yet.
	pendingAnnouncements []pendingAnnouncement
	// suppressRumours keeps applied records from becoming rumours during a
	// state transfer.
	suppressRumours bool
	// listed holds the alive and suspected members of each data centre, this
	// node included, sorted by id; membersVersion is raised when it changes.
	listed         map[string][]*memberEntry
	membersVersion uint64
	membersDirty   bool
	// contacts caches the node's contacts, for contactsVersion of the members.
	contacts        []*memberEntry
	contactsVersion uint64
	suspects        map[string]struct{}
	// owned holds the targets whose lease this node owns, as of ownedVersion of
	// the members.
	owned        []*targetEntry
	ownedVersion uint64
	ownedDirty   bool
	effects      []Effect
	sequence     uint64
	probes       probeState
	bridgeState  bridgeState
	sched        schedule
	leavingSince time.Time
	leaveDone    bool
	// heardAt is when a message last arrived from any peer; isolated is set
	// when that is so long ago that the silence of others proves nothing about
	// them.
	heardAt  time.Time
	isolated bool
	// settlingUntil is when a node that was paused may suspect others again.
	settlingUntil time.Time
	// lastTick is the time of the last tick, or of the event that revealed a
	// pause since then; zero before the first tick.
	lastTick time.Time
}

// schedule holds when each periodic job is next due.
type schedule struct {
	probe, gossip, sync, bridge, rejoin, lease, purge time.Time
}

// New returns the state of a node that knows only itself and its seeds.
func New(cfg Config, now time.Time) *State {
	s := &State{
		self:          cfg.Self.ID,
		timing:        cfg.Timing,
		random:        rand.New(rand.NewPCG(cfg.RandomSeed, 0)),
		now:           now,
		members:       map[string]*memberEntry{},
		targets:       map[api.TargetID]*targetEntry{},
		tree:          &tree{},
		rumours:       map[recordKey]*rumour{},
		pendingPushes: map[uint64]pendingPush{},
		listed:        map[string][]*memberEntry{},
		suspects:      map[string]struct{}{},
	}
	s.probes.relays = map[uint64]relay{}
	s.bridgeState.heard = map[string]time.Time{}
	s.bridgeState.active = map[string]bool{}
	for _, seed := range cfg.Seeds {
		if seed.ID != cfg.Self.ID {
			s.seeds = append(s.seeds, seed)
		}
	}
	cfg.Self.State = MemberAlive
	s.putMember(cfg.Self)
	s.heardAt = now
	return s
}

// stagger schedules the periodic jobs at random offsets, so that nodes started
// together don't send at the same time.
func (s *State) stagger(now time.Time) {
	offset := func(interval time.Duration) time.Time {
		return now.Add(time.Duration(s.random.Int64N(int64(interval))))
	}
	s.sched.probe = offset(s.timing.ProbeInterval)
	s.sched.gossip = offset(s.timing.GossipInterval)
	s.sched.sync = offset(s.timing.SyncInterval)
	s.sched.bridge = offset(s.timing.BridgeInterval)
	s.sched.lease = offset(s.timing.LeaseScan)
	s.sched.purge = offset(purgeInterval)
}

// Step applies one event and returns the effects to carry out. The slice is
// valid until the next call.
func (s *State) Step(event Event) []Effect {
	s.effects = s.effects[:0]
	if at := event.time(); at.After(s.now) {
		s.now = at
	}
	s.detectPause()
	switch e := event.(type) {
	case Tick:
		s.tick()
	case Received:
		s.receive(e.Message)
	case Announced:
		s.handleAnnouncement(e)
	case Reported:
		s.handleReport(e)
	case LeaveRequested:
		s.startLeave()
	}
	s.pushNewRumours()
	s.replyToAnnouncements()
	if s.membersDirty {
		s.membersDirty = false
		s.emit(MembersChanged{})
	}
	return s.effects
}

func (s *State) tick() {
	if s.lastTick.IsZero() {
		s.heardAt = s.now
		s.stagger(s.now)
	}
	s.lastTick = s.now
	s.detectIsolation()
	s.startIndirectProbes()
	s.runWhenDue(&s.sched.probe, s.timing.ProbeInterval*time.Duration(1+s.probes.healthScore), s.startNextProbe)
	s.declareDead()
	s.runWhenDue(&s.sched.gossip, s.timing.GossipInterval, s.gossip)
	s.runWhenDue(&s.sched.sync, s.timing.SyncInterval, s.syncLocal)
	s.runWhenDue(&s.sched.bridge, s.timing.BridgeInterval, s.bridge)
	s.runWhenDue(&s.sched.rejoin, s.timing.RejoinInterval, s.rejoin)
	s.runWhenDue(&s.sched.lease, s.timing.LeaseScan, s.scanLeases)
	s.runWhenDue(&s.sched.purge, purgeInterval, s.purge)
	s.finishLeave()
}

// runWhenDue runs job when it is due and schedules it again.
func (s *State) runWhenDue(due *time.Time, interval time.Duration, job func()) {
	if s.now.Before(*due) {
		return
	}
	*due = s.now.Add(interval)
	job()
}

func (s *State) emit(effect Effect) {
	s.effects = append(s.effects, effect)
}

func (s *State) logEvent(kind LogEventKind, subject string) {
	s.emit(LogEvent{Kind: kind, Subject: subject})
}

// send sends m to a member.
func (s *State) send(to *memberEntry, m Message) {
	s.sendTo(to.Address, to.ID, m)
}

func (s *State) sendTo(address, id string, m Message) {
	m.From = s.self
	m.To = id
	s.emit(Send{Address: address, Message: m})
}

func (s *State) nextSequence() uint64 {
	s.sequence++
	return s.sequence
}

func (s *State) localNode() *memberEntry {
	return s.members[s.self]
}

// Self returns the node's own record.
func (s *State) Self() Member {
	return s.localNode().Member
}

// Members returns the listed members, this node included, sorted by id.
func (s *State) Members() []api.EntryMember {
	list := make([]api.EntryMember, 0, len(s.members))
	for dc, members := range s.listed {
		unreachable := s.Unreachable(dc)
		for _, m := range members {
			state := m.State.String()
			if unreachable {
				state = StateUnreachable
			}
			list = append(list, m.entry(state))
		}
	}
	slices.SortFunc(list, func(a, b api.EntryMember) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Targets returns every known target, the gone ones included, with its
// effective state, sorted by name.
func (s *State) Targets() []api.Announcement {
	list := make([]api.Announcement, 0, len(s.targets))
	for _, t := range s.targets {
		list = append(list, t.Effective())
	}
	slices.SortFunc(list, func(a, b api.Announcement) int {
		return strings.Compare(string(a.Target), string(b.Target))
	})
	return list
}

// Isolated reports whether the node has heard from no peer for so long that it
// takes itself for isolated rather than the others for dead.
func (s *State) Isolated() bool {
	return s.isolated
}

// Unreachable reports whether no bridge of this data centre hears from the
// given one.
func (s *State) Unreachable(dataCentre string) bool {
	if dataCentre == s.localNode().DataCentre {
		return false
	}
	bridges := s.bridges(s.localNode().DataCentre, dataCentre)
	if len(bridges) == 0 {
		return false
	}
	for _, b := range bridges {
		if !slices.Contains(b.Unreached, dataCentre) {
			return false
		}
	}
	return true
}
