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

// Config is what a node's state begins with.
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
	// rumours are the records that are still pushed; fresh are those that became
	// news in this step; pushes wait for acknowledgement.
	rumours map[recordKey]*rumour
	fresh   []*rumour
	pushes  map[uint64]pushed
	// waiting are the announcements that no other node has acknowledged yet.
	waiting []waitingAnnouncement
	// muted keeps records from becoming news while a bulk is taken in.
	muted bool
	// listed holds the alive and suspected members of each data centre, this
	// node included, sorted by id; membersVersion is raised when it changes.
	listed         map[string][]*memberEntry
	membersVersion uint64
	membersDirty   bool
	// contacts caches the contacts for contactsVersion of the members.
	contacts        []*memberEntry
	contactsVersion uint64
	suspects        map[string]struct{}
	// owned holds the targets whose lease this node keeps, as found for
	// ownedVersion of the members.
	owned        []*targetEntry
	ownedVersion uint64
	ownedDirty   bool
	effects      []Effect
	sequence     uint64
	probes       probing
	bridging     bridging
	sched        schedule
	leaving      time.Time
	leftDone     bool
	// heardAt is when any message arrived last; isolated tells that this is too
	// long ago for this node's findings to count.
	heardAt  time.Time
	isolated bool
	// quietUntil is when a node that was frozen may accuse again.
	quietUntil time.Time
	// lastTick is when the last tick came; zero before the first.
	lastTick time.Time
}

// schedule holds when each periodic job is next due.
type schedule struct {
	probe, gossip, sync, bridge, rejoin, lease, forget time.Time
}

// New returns the state of a node that knows itself and its seeds only.
func New(cfg Config, now time.Time) *State {
	s := &State{
		self:     cfg.Self.ID,
		timing:   cfg.Timing,
		random:   rand.New(rand.NewPCG(cfg.RandomSeed, 0)),
		now:      now,
		members:  map[string]*memberEntry{},
		targets:  map[api.TargetID]*targetEntry{},
		tree:     &tree{},
		rumours:  map[recordKey]*rumour{},
		pushes:   map[uint64]pushed{},
		listed:   map[string][]*memberEntry{},
		suspects: map[string]struct{}{},
	}
	s.probes.relays = map[uint64]relay{}
	s.bridging.heard = map[string]time.Time{}
	s.bridging.active = map[string]bool{}
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

// stagger sets the periodic jobs off at random offsets, so that nodes started
// together don't send together.
func (s *State) stagger(now time.Time) {
	offset := func(interval time.Duration) time.Time {
		return now.Add(time.Duration(s.random.Int64N(int64(interval))))
	}
	s.sched.probe = offset(s.timing.ProbeInterval)
	s.sched.gossip = offset(s.timing.GossipInterval)
	s.sched.sync = offset(s.timing.SyncInterval)
	s.sched.bridge = offset(s.timing.BridgeInterval)
	s.sched.lease = offset(s.timing.LeaseScan)
	s.sched.forget = offset(forgetInterval)
}

// Step takes one event and returns what is to be done. The slice is valid
// until the next call.
func (s *State) Step(event Event) []Effect {
	s.effects = s.effects[:0]
	if at := event.time(); at.After(s.now) {
		s.now = at
	}
	s.noticeFreeze()
	switch e := event.(type) {
	case Tick:
		s.tick()
	case Received:
		s.receive(e.Message)
	case Announced:
		s.announced(e)
	case Reported:
		s.reported(e)
	case LeaveAsked:
		s.leave()
	}
	s.pushFresh()
	s.answerAnnouncements()
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
	s.noticeIsolation()
	s.stepProbes()
	s.every(&s.sched.probe, s.timing.ProbeInterval*time.Duration(1+s.probes.health), s.probeNext)
	s.endSuspicions()
	s.every(&s.sched.gossip, s.timing.GossipInterval, s.gossip)
	s.every(&s.sched.sync, s.timing.SyncInterval, s.syncLocal)
	s.every(&s.sched.bridge, s.timing.BridgeInterval, s.bridge)
	s.every(&s.sched.rejoin, s.timing.RejoinInterval, s.rejoin)
	s.every(&s.sched.lease, s.timing.LeaseScan, s.scanLeases)
	s.every(&s.sched.forget, forgetInterval, s.forget)
	s.finishLeave()
}

// every runs job when due and sets when it is due next.
func (s *State) every(due *time.Time, interval time.Duration, job func()) {
	if s.now.Before(*due) {
		return
	}
	*due = s.now.Add(interval)
	job()
}

func (s *State) emit(effect Effect) {
	s.effects = append(s.effects, effect)
}

func (s *State) note(kind NoteKind, subject string) {
	s.emit(Note{Kind: kind, Subject: subject})
}

// send addresses m to a member.
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

func (s *State) me() *memberEntry {
	return s.members[s.self]
}

// Self returns the node's own record.
func (s *State) Self() Member {
	return s.me().Member
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

// Targets returns every target known, the gone ones included, with the states
// that are in force; sorted by name.
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

// Isolated reports whether the node has heard from no other for so long that
// it takes itself, and not the others, for cut off.
func (s *State) Isolated() bool {
	return s.isolated
}

// Unreachable reports whether no bridge of this data centre hears from another
// one.
func (s *State) Unreachable(dataCentre string) bool {
	if dataCentre == s.me().DataCentre {
		return false
	}
	bridges := s.bridges(s.me().DataCentre, dataCentre)
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
