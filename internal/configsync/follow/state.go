// Package follow decides how an entry node follows the configuration: which
// control process it polls, when it switches to another one or asks its peers,
// which versions it applies and when it may serve. It is a reducer without I/O;
// package configsync executes its effects.
//
// Two rules hold at every step. Only higher versions are applied. After a start,
// the node becomes ready only with a version that a control quorum confirmed
// or, if none confirms one in time, with the highest version among the replies
// of its data centre's ready entry nodes and of the control processes.
// Otherwise a restarted node could serve an older configuration than its data
// centre served before.
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

// Timing holds the intervals and limits of the protocol.
type Timing struct {
	// Wait is how long a control process may hold a poll.
	Wait time.Duration
	// PollInterval is the minimum time between the starts of two polls if the
	// first one returned no higher version.
	PollInterval time.Duration
	// Timeout is the time allowed for a reply in addition to the wait.
	Timeout time.Duration
	// SlowReply is the time in addition to the wait after which a reply counts as
	// slow.
	SlowReply time.Duration
	// SlowReplyLimit is the number of consecutive slow replies after which the
	// node switches to another control process.
	SlowReplyLimit int
	// MaxQuorumAge is the time since the last confirmation by a quorum after
	// which a control process counts as isolated.
	MaxQuorumAge time.Duration
	// BackoffMin and BackoffMax bound how long a control process that failed is
	// not polled, before jitter; the time doubles with each failure.
	BackoffMin, BackoffMax time.Duration
	// RecoverTimeout is how long a node waits for a control quorum after its
	// start before it accepts the highest version that it received.
	RecoverTimeout time.Duration
	// RecoverInterval is the minimum time between the starts of two rounds of
	// requests to all control processes and local entry nodes.
	RecoverInterval time.Duration
	// PeerInterval and PeerIntervalUnconfirmed are the times between two fetches
	// from peers: with a recent confirmation by a quorum, and without one.
	PeerInterval, PeerIntervalUnconfirmed time.Duration
}

// DefaultTiming returns the timing that entry nodes use.
func DefaultTiming() Timing {
	return Timing{
		Wait:                    3 * time.Second,
		PollInterval:            200 * time.Millisecond,
		Timeout:                 time.Second,
		SlowReply:               500 * time.Millisecond,
		SlowReplyLimit:          2,
		MaxQuorumAge:            3 * time.Second,
		BackoffMin:              2 * time.Second,
		BackoffMax:              time.Minute,
		RecoverTimeout:          3 * time.Second,
		RecoverInterval:         time.Second,
		PeerInterval:            5 * time.Second,
		PeerIntervalUnconfirmed: time.Second,
	}
}

// Control identifies a control process.
type Control struct {
	ID         string
	Address    string
	DataCentre string
}

// Config holds the parameters of a State.
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

	current       api.Configuration
	recentTickets recentTickets
	// confirmed is when a quorum last confirmed the version that was current at
	// the time; zero means never.
	confirmed time.Time
	ready     bool
	// unconfirmed reports whether LogUnconfirmed was emitted and LogConfirmed
	// has not followed.
	unconfirmed bool

	// controls are in order of preference.
	controls []*control
	// following is the control process polled last; pollToken is the token of the
	// poll in flight, 0 for none.
	following *control
	pollToken uint64
	// nextPollAt is when the next poll may start.
	nextPollAt     time.Time
	peers          []api.EntryMember
	inFlight       map[uint64]fetch
	token          uint64
	recovery       recovery
	nextPeerPollAt time.Time
	effects        []Effect
}

// control is a control process and the record of its recent replies.
type control struct {
	Control
	backoffUntil time.Time
	// backoff is the length of the last backoff without jitter, or 0 once it is
	// reset.
	backoff time.Duration
	// slow counts the consecutive slow replies.
	slow int
	// trusted reports whether its last reply was good, so that it may hold a poll.
	trusted bool
}

// fetch is a request in flight, to a control process or to a peer.
type fetch struct {
	control *control
	peer    string
	// confirmed and wait are as in FetchFromControl.
	confirmed bool
	wait      time.Duration
	// at is when the request was sent.
	at time.Time
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
		inFlight:   map[uint64]fetch{},
	}
	for _, c := range cfg.Controls {
		s.controls = append(s.controls, &control{Control: c})
	}
	slices.SortFunc(s.controls, s.compareControls)
	return s
}

// compareControls orders control processes of this data centre first. Within
// each group the order depends on a hash of both IDs, so that the entry nodes
// are spread over the control processes.
func (s *State) compareControls(a, b *control) int {
	aLocal, bLocal := a.DataCentre == s.dataCentre, b.DataCentre == s.dataCentre
	if aLocal != bLocal {
		if aLocal {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(xxhash.Sum64String(a.ID+"/"+s.id), xxhash.Sum64String(b.ID+"/"+s.id)),
		cmp.Compare(a.ID, b.ID),
	)
}

// Step processes one event and returns the effects to execute. The slice is
// valid until the next call.
func (s *State) Step(event Event) []Effect {
	s.effects = s.effects[:0]
	if at := event.time(); at.After(s.now) {
		s.now = at
	}
	switch e := event.(type) {
	case Tick:
		s.peers = e.Peers
	case ControlFetchDone:
		s.handleControlFetch(e)
	case PeerFetchDone:
		s.handlePeerFetch(e)
	}
	if s.ready {
		s.stepReady()
	} else {
		s.stepRecovery()
	}
	s.reportConfirmation()
	return s.effects
}

// Ready reports whether the node may serve with its configuration.
func (s *State) Ready() bool {
	return s.ready
}

// Version returns the current version.
func (s *State) Version() uint64 {
	return s.current.Version
}

// neverConfirmed is the result of Age while no quorum has confirmed any version
// of the node. It is a whole millisecond, so that it is still negative when
// converted to milliseconds.
const neverConfirmed = -time.Millisecond

// Age returns the time since a quorum last confirmed the node's version;
// negative means never. A version that is applied without a confirmation keeps
// the age of the one before it.
func (s *State) Age(now time.Time) time.Duration {
	if s.confirmed.IsZero() {
		return neverConfirmed
	}
	return max(0, now.Sub(s.confirmed))
}

// Serve returns the reply to a peer that has version since.
func (s *State) Serve(since uint64, now time.Time) PeerReply {
	reply := PeerReply{Ready: s.ready, Version: s.current.Version, AgeMS: -1}
	if age := s.Age(now); age >= 0 {
		reply.AgeMS = age.Milliseconds()
	}
	if since >= s.current.Version {
		reply.Delta = api.ConfigDelta{From: since, To: since}
		return reply
	}
	if tickets, ok := s.recentTickets.after(since); ok {
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

func (s *State) fetchFromControl(c *control, since uint64, wait time.Duration, confirmed bool) uint64 {
	token := s.nextToken()
	s.inFlight[token] = fetch{control: c, confirmed: confirmed, wait: wait, at: s.now}
	s.emit(FetchFromControl{
		Token:     token,
		Address:   c.Address,
		Since:     since,
		Wait:      wait,
		Confirmed: confirmed,
		Timeout:   wait + s.timing.Timeout,
	})
	return token
}

func (s *State) fetchFromPeer(p api.EntryMember) {
	token := s.nextToken()
	s.inFlight[token] = fetch{peer: p.ID, at: s.now}
	s.emit(FetchFromPeer{Token: token, Address: p.Address, Since: s.current.Version, Timeout: s.timing.Timeout})
}
