// Package entry decides everything that an entry node does between callers and
// targets: one reducer takes every event and returns the effects to carry out.
// It has no clock, does no I/O and starts no goroutine; bodies stay with the
// driver. So each fault is an event at a step, and a test of a decision is a
// list of events.
package entry

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/latency"
	"wigeonbay/internal/entry/limit"
	"wigeonbay/internal/entry/route"
)

// Options fixes what never changes while the process runs.
type Options struct {
	DataCentre string
	Policy     route.Policy
}

// State is everything that the decisions depend on.
type State struct {
	options  Options
	now      time.Time
	config   api.Configuration
	members  map[string]int
	targets  map[api.TargetID]*route.Target
	services map[string]*service
	searches map[QueryID]*search
	submits  map[QueryID]*submit
	attempts map[AttemptID]*attempt
	// claims refuses submits at once while the ledger has no quorum.
	claims limit.Breaker

	lastAttempt AttemptID
	effects     []Effect
	counters    Counters
}

// Counters counts decisions since the start of the process.
type Counters struct {
	Searches         uint64 `json:"searches"`
	Answered         uint64 `json:"answered"`
	Partial          uint64 `json:"partial"`
	Refused          uint64 `json:"refused"`
	TargetRequests   uint64 `json:"target_requests"`
	ExtraRequests    uint64 `json:"extra_requests"`
	Hedges           uint64 `json:"hedges"`
	Retries          uint64 `json:"retries"`
	Trials           uint64 `json:"trials"`
	Restarts         uint64 `json:"restarts"`
	ForeignReplies   uint64 `json:"foreign_replies"`
	SilentConnection uint64 `json:"silent_connection"`
	Submits          uint64 `json:"submits"`
	SubmitsRan       uint64 `json:"submits_ran"`
	SubmitsUnknown   uint64 `json:"submits_unknown"`
}

// service is the state of one service.
type service struct {
	config     api.Service
	configured bool
	targets    []*route.Target
	index      *route.Index
	extra      limit.ExtraLoad
	admission  limit.Admission
	replies    *latency.Window
	durations  *latency.Window
	waiting    []*search
	inFlight   int
	roundRobin int
}

// search is one caller's search in progress.
type search struct {
	id          QueryID
	service     *service
	seed        uint64
	started     time.Time
	deadline    time.Time
	placement   *route.Placement
	groups      []groupState
	undecided   int
	missing     int
	accepted    []Accepted
	outstanding []*attempt
	restarts    int
	rounds      int
	hedgeAt     time.Time
	notBefore   time.Time
	queued      bool
	done        bool
}

// groupPhase is how far a group of shards has come.
type groupPhase uint8

const (
	groupIdle groupPhase = iota
	groupSent
	groupAnswered
	groupMissing
)

// groupState is a search's progress with one group of its placement.
type groupState struct {
	phase groupPhase
	out   uint8
	// asked tells that a request for the group was sent before.
	asked   bool
	hedged  bool
	retried bool
	shed    bool
	tried   route.Tried
	reason  api.MissingReason
}

// attempt is one request to a target.
type attempt struct {
	id       AttemptID
	target   *route.Target
	service  *service
	search   *search
	submit   *submit
	snapshot api.Snapshot
	groups   []int
	shards   int
	started  time.Time
	trial    bool
	// checked tells that the connections to the target were asked to be tried
	// because of this attempt.
	checked bool
}

// New returns the state of a node that has neither configuration nor targets.
func New(options Options) *State {
	return &State{
		options:  options,
		members:  map[string]int{options.DataCentre: 1},
		targets:  map[api.TargetID]*route.Target{},
		services: map[string]*service{},
		searches: map[QueryID]*search{},
		submits:  map[QueryID]*submit{},
		attempts: map[AttemptID]*attempt{},
	}
}

// Counters returns the counts so far.
func (s *State) Counters() Counters {
	return s.counters
}

// InProgress returns the number of callers' requests without an answer.
func (s *State) InProgress() int {
	return len(s.searches) + len(s.submits)
}

// ConfigVersion returns the version of the configuration in force.
func (s *State) ConfigVersion() uint64 {
	return s.config.Version
}

func (s *State) emit(e Effect) {
	s.effects = append(s.effects, e)
}

func (s *State) baseline() bool {
	return s.options.Policy == route.PolicyBaseline
}

// ServiceDeadline returns the deadline for requests on a service that bring
// none, or 0.
func (s *State) ServiceDeadline(name string) time.Duration {
	return time.Duration(s.config.Services[name].DeadlineMS) * time.Millisecond
}
