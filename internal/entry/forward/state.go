package forward

import (
	"fmt"
	"time"

	"wigeonbay/internal/api"
)

// Options fixes what never changes while the process runs.
type Options struct {
	DataCentre string
	Budget     BudgetRule
}

// State is everything that the decisions depend on.
type State struct {
	options Options
	now     time.Time
	// started is when the first event came.
	started time.Time

	table    *api.RoutingTable
	routes   *routes
	pools    map[string]*pool
	targets  map[api.TargetID]*target
	requests map[RequestID]*request
	attempts map[AttemptID]*attempt
	// nodes counts the live entry nodes of each data centre, this one included.
	nodes map[string]int
	// roundTrips are the round trips to the targets of each data centre.
	roundTrips map[string]time.Duration

	lastAttempt AttemptID
	effects     []Effect
	counters    Counters
}

// Counters counts decisions since the start of the process.
type Counters struct {
	Requests  uint64 `json:"requests"`
	Answered  uint64 `json:"answered"`
	Partial   uint64 `json:"partial"`
	Refused   uint64 `json:"refused"`
	Failed    uint64 `json:"failed"`
	Gone      uint64 `json:"gone"`
	Sends     uint64 `json:"sends"`
	Hedges    uint64 `json:"hedges"`
	Retries   uint64 `json:"retries"`
	Queued    uint64 `json:"queued"`
	Probes    uint64 `json:"probes"`
	NoBudget  uint64 `json:"no_budget"`
	Unreached uint64 `json:"unreached"`
}

// request is one caller's request in progress.
type request struct {
	id       RequestID
	route    *route
	seed     uint64
	arrived  time.Time
	deadline time.Time
	// due is when the answer must leave to be within the goal. A gather is then
	// answered with what it has, if that suffices.
	due time.Time
	// returning tells that the caller has less time left than callers of the route
	// usually begin with: it was refused before, here or elsewhere.
	returning bool
	parts     []*part
	// pending is the number of parts that are neither answered nor missing.
	pending int
	missing int
	// mayHaveRun tells that a target may have worked on the request.
	mayHaveRun bool
	done       bool
	// lingering are attempts of a request that is over; they are cancelled if
	// they last.
	lingering []*attempt
	sends     []*attempt
	hedges    int
	noHedge   NoHedge
	queueTime time.Duration
}

// partPhase is how far a part has come.
type partPhase uint8

const (
	partIdle partPhase = iota
	partWaiting
	partSent
	partAnswered
	partMissing
)

// part is what a request needs of one pool.
type part struct {
	request *request
	pool    *pool
	phase   partPhase
	// asked are the targets that the part was sent to, or that can't take it.
	asked []*target
	// runs is the number of attempts that may have run, sends of all.
	runs        int
	sends       int
	outstanding []*attempt
	answer      *attempt
	// failure is a target's own reply that is passed on if nothing better comes.
	failure      *attempt
	waitingSince time.Time
	hedged       bool
}

// attempt is one request to a target.
type attempt struct {
	id           AttemptID
	part         *part
	target       *target
	sent         time.Time
	ended        time.Time
	expectedWork time.Duration
	hedge        bool
	// overtaken tells that its lateness says nothing of the target.
	overtaken bool
	outcome   string
	cause     string
	status    int
}

func (p *part) tried(t *target) bool {
	for _, asked := range p.asked {
		if asked == t {
			return true
		}
	}
	return false
}

// New returns the state of a node that has neither a routing table nor targets.
func New(options Options) *State {
	return &State{
		options:    options,
		pools:      map[string]*pool{},
		targets:    map[api.TargetID]*target{},
		requests:   map[RequestID]*request{},
		attempts:   map[AttemptID]*attempt{},
		nodes:      map[string]int{options.DataCentre: 1},
		roundTrips: map[string]time.Duration{},
	}
}

// Counters returns the counts so far.
func (s *State) Counters() Counters { return s.counters }

// TableVersion returns the version of the routing table in force, 0 for none.
func (s *State) TableVersion() uint64 {
	if s.table == nil {
		return 0
	}
	return s.table.Version
}

// InProgress returns the number of requests without an answer.
func (s *State) InProgress() int {
	pending := 0
	for _, r := range s.requests {
		if !r.done {
			pending++
		}
	}
	return pending
}

// Reduce applies one event at the given time and returns the effects to carry
// out, in order. The returned slice is valid until the next call. Time must not
// run backwards.
func (s *State) Reduce(now time.Time, ev Event) []Effect {
	s.now = now
	if s.started.IsZero() {
		s.started = now
	}
	s.effects = s.effects[:0]
	switch ev := ev.(type) {
	case TableInstalled:
		s.installTable(ev.Table)
	case TargetChanged:
		s.updateTarget(ev.Announcement)
	case NodesChanged:
		s.updateNodes(ev.PerDataCentre)
	case RequestArrived:
		s.handleArrival(ev)
	case CallerGone:
		s.callerGone(ev.Request)
	case TimerFired:
		s.handleTimer(ev.Request)
	case AttemptEnded:
		s.handleAttemptEnd(ev)
	case ProbeEnded:
		s.handleProbeEnd(ev)
	case ShuttingDown:
		s.endAllRequests()
	case Tick:
		s.sendDueProbes()
	default:
		panic(fmt.Sprintf("forward: event of unknown type %T", ev))
	}
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) nodeCount() int {
	total := 0
	for _, count := range s.nodes {
		total += count
	}
	return max(1, total)
}
