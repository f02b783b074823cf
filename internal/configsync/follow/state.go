// Package follow decides how an entry node follows the configuration: which
// control process it polls, when it turns to another or to its peers, which
// versions it takes and when it may serve. It is a pure reducer; package
// configsync carries out its effects.
//
// Two rules hold at every step. Only a higher version is ever applied. And
// after a start the node is ready only with a version that a control quorum
// confirmed or, when none can be had, with the highest one among its data
// centre's nodes and control replicas; without that a restarted node could
// serve an older configuration than its data centre served before.
package follow

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonbay/internal/api"
	"wigeonbay/internal/clusterconfig"
)

// Timing holds the times of the protocol.
type Timing struct {
	// Wait is how long a control process may hold a poll.
	Wait time.Duration
	// PollInterval is the least time between two polls when the first brought
	// nothing new.
	PollInterval time.Duration
	// Timeout is the time for a reply, beyond the wait.
	Timeout time.Duration
	// Slow is the time beyond the wait from which a reply counts as slow.
	Slow time.Duration
	// SlowLimit is the number of slow replies in a row after which the node
	// turns to another control process.
	SlowLimit int
	// MaxQuorumAge is the age of the quorum's last word from which a control
	// process counts as isolated.
	MaxQuorumAge time.Duration
	// AvoidMin and AvoidMax bound how long a control process that failed is
	// left alone; the time doubles with each failure.
	AvoidMin, AvoidMax time.Duration
	// RecoverBound is how long a node waits for a control quorum after its
	// start before it settles on the highest version of its data centre.
	RecoverBound time.Duration
	// RecoverRound is the time between two rounds of asking everybody.
	RecoverRound time.Duration
	// PeerInterval and PeerIntervalCut are the times between two looks at a
	// peer's version: with a quorum's word, and without.
	PeerInterval, PeerIntervalCut time.Duration
}

// DefaultTiming returns the times that the entry nodes use.
func DefaultTiming() Timing {
	return Timing{
		Wait:            3 * time.Second,
		PollInterval:    200 * time.Millisecond,
		Timeout:         time.Second,
		Slow:            500 * time.Millisecond,
		SlowLimit:       2,
		MaxQuorumAge:    3 * time.Second,
		AvoidMin:        2 * time.Second,
		AvoidMax:        time.Minute,
		RecoverBound:    3 * time.Second,
		RecoverRound:    time.Second,
		PeerInterval:    5 * time.Second,
		PeerIntervalCut: time.Second,
	}
}

// Control is a control process.
type Control struct {
	ID         string
	Address    string
	DataCentre string
}

// Config is what a node's state begins with.
type Config struct {
	ID         string
	DataCentre string
	Controls   []Control
	Timing     Timing
	RandomSeed uint64
}

// State is the reducer's state. It is not safe for concurrent use.
type State struct {
	id         string
	dataCentre string
	timing     Timing
	random     *rand.Rand
	now        time.Time
	started    time.Time

	current api.Configuration
	tail    tail
	// confirmed is when a quorum last confirmed the version in force; zero
	// means never.
	confirmed time.Time
	ready     bool
	// cutOff tells that operators were told of a missing quorum.
	cutOff bool

	// controls are in the order in which they are preferred.
	controls []*control
	// following is the control process polled; poll is the token of the poll.
	following *control
	poll      uint64
	// pollAt is when the next poll may begin.
	pollAt   time.Time
	peers    []api.EntryMember
	asked    map[uint64]ask
	token    uint64
	recovery recovery
	nextPeer time.Time
	effects  []Effect
}

// control is a control process and this node's experience with it.
type control struct {
	Control
	avoidUntil time.Time
	avoid      time.Duration
	slow       int
	// trusted tells that its last reply was good, so that it may hold a poll.
	trusted bool
}

// ask is a question that waits for its answer.
type ask struct {
	control   *control
	peer      string
	confirmed bool
	wait      time.Duration
	at        time.Time
}

// New returns the state of a node that holds no configuration.
func New(cfg Config, now time.Time) *State {
	s := &State{
		id:         cfg.ID,
		dataCentre: cfg.DataCentre,
		timing:     cfg.Timing,
		random:     rand.New(rand.NewPCG(cfg.RandomSeed, 0)),
		now:        now,
		started:    now,
		current:    clusterconfig.Empty(),
		asked:      map[uint64]ask{},
	}
	for _, c := range cfg.Controls {
		s.controls = append(s.controls, &control{Control: c})
	}
	slices.SortFunc(s.controls, s.compareControls)
	return s
}

// compareControls puts the own data centre first and spreads the nodes over
// the rest.
func (s *State) compareControls(a, b *control) int {
	aNear, bNear := a.DataCentre == s.dataCentre, b.DataCentre == s.dataCentre
	if aNear != bNear {
		if aNear {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(xxhash.Sum64String(a.ID+"/"+s.id), xxhash.Sum64String(b.ID+"/"+s.id)),
		cmp.Compare(a.ID, b.ID),
	)
}

// Step takes one event and returns what is to be done. The slice is valid
// until the next call.
func (s *State) Step(event Event) []Effect {
	s.effects = s.effects[:0]
	if at := event.time(); at.After(s.now) {
		s.now = at
	}
	switch e := event.(type) {
	case Tick:
		s.peers = e.Peers
	case ControlAnswered:
		s.controlAnswered(e)
	case PeerAnswered:
		s.peerAnswered(e)
	}
	if s.ready {
		s.follow()
	} else {
		s.recover()
	}
	s.noteAge()
	return s.effects
}

// Ready reports whether the node may serve with its configuration.
func (s *State) Ready() bool {
	return s.ready
}

// Version returns the version in force.
func (s *State) Version() uint64 {
	return s.current.Version
}

// neverConfirmed is the age of a version that no quorum has confirmed; it is
// negative in milliseconds too.
const neverConfirmed = -time.Millisecond

// Age returns the time since a quorum last confirmed the version in force;
// negative means never.
func (s *State) Age(now time.Time) time.Duration {
	if s.confirmed.IsZero() {
		return neverConfirmed
	}
	return max(0, now.Sub(s.confirmed))
}

// Serve answers a peer that holds the version since.
func (s *State) Serve(since uint64, now time.Time) PeerReply {
	reply := PeerReply{Ready: s.ready, Version: s.current.Version, AgeMS: -1}
	if age := s.Age(now); age >= 0 {
		reply.AgeMS = age.Milliseconds()
	}
	if since >= s.current.Version {
		reply.Delta = api.ConfigDelta{From: since, To: since}
		return reply
	}
	if tickets, ok := s.tail.after(since); ok {
		reply.Delta = api.ConfigDelta{From: since, To: s.current.Version, Tickets: tickets}
		return reply
	}
	whole := s.current
	reply.Delta = api.ConfigDelta{From: since, To: whole.Version, Whole: &whole}
	return reply
}

func (s *State) emit(effect Effect) {
	s.effects = append(s.effects, effect)
}

func (s *State) nextToken() uint64 {
	s.token++
	return s.token
}

func (s *State) askControl(c *control, since uint64, wait time.Duration, confirmed bool) uint64 {
	token := s.nextToken()
	s.asked[token] = ask{control: c, confirmed: confirmed, wait: wait, at: s.now}
	s.emit(AskControl{
		Token:     token,
		Address:   c.Address,
		Since:     since,
		Wait:      wait,
		Confirmed: confirmed,
		Timeout:   wait + s.timing.Timeout,
	})
	return token
}

func (s *State) askPeer(p api.EntryMember) {
	token := s.nextToken()
	s.asked[token] = ask{peer: p.ID, at: s.now}
	s.emit(AskPeer{Token: token, Address: p.Address, Since: s.current.Version, Timeout: s.timing.Timeout})
}
