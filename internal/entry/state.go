// Package entry implements the decisions of an entry node as a reducer that
// takes events and returns the effects to carry out. It has no clock, does no
// I/O and starts no goroutines; request and reply bodies stay in the driver.
// Tests can therefore express any fault as an event at a given step.
package entry

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/isolation"
	"wigeonbay/internal/entry/latency"
	"wigeonbay/internal/entry/limit"
	"wigeonbay/internal/entry/route"
)

// Options holds the settings that are fixed for the lifetime of the process.
type Options struct {
	DataCentre string
	Policy     route.Policy
}

// State is the state of the reducer.
type State struct {
	options Options
	now     time.Time
	config  api.Configuration
	// members counts the entry nodes of each data centre; see MembersChanged.
	members  map[string]int
	targets  map[api.TargetID]*route.Target
	services map[string]*service
	searches map[QueryID]*search
	submits  map[QueryID]*submit
	attempts map[AttemptID]*attempt
	// claimBreaker refuses submits immediately while the ledger has no quorum.
	claimBreaker limit.Breaker

	// peers are the other live entry nodes; peerAvoidedUntil holds the time, by ID, until
	// which one gets no requests.
	peers            []Peer
	peerAvoidedUntil map[string]time.Time
	passed           map[QueryID]*passedOn
	isolation        isolation.Detector
	unanswered       map[api.TargetID]isolation.Marker
	// probing holds the targets with a health check in progress.
	probing map[api.TargetID]bool

	lastAttempt AttemptID
	effects     []Effect
	counters    Counters
}

// Counters counts requests and decisions since the start of the process.
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
	// PassedOn counts requests passed on to peers, each time.
	PassedOn uint64 `json:"passed_on"`
}

// service is the state of one service.
type service struct {
	config     api.Service
	configured bool
	// targets is sorted by ID.
	targets []*route.Target
	// index is nil if it must be rebuilt; see currentIndex.
	index *route.Index
	// extra is the budget for hedges, retries and trials.
	extra     limit.ExtraLoad
	admission limit.Admission
	// replyTimes holds the durations of requests to targets, and searchTimes
	// those of answered searches.
	replyTimes  *latency.Window
	searchTimes *latency.Window
	// waiting is the queue of searches that wait for capacity.
	waiting []*search
	// inFlight is the number of admitted searches in progress.
	inFlight   int
	roundRobin int
}

// search is one caller's search in progress.
type search struct {
	id        QueryID
	service   *service
	seed      uint64
	started   time.Time
	deadline  time.Time
	placement *route.Placement
	groups    []groupState
	// undecided is the number of groups that are neither answered nor missing.
	undecided int
	// missing is the number of missing shards.
	missing     int
	accepted    []Accepted
	outstanding []*attempt
	restarts    int
	retryRounds int
	// hedgeAt is when late requests are next checked.
	hedgeAt time.Time
	// notBefore is the end of the current backoff.
	notBefore time.Time
	// queued is set while the search is in the service's queue.
	queued bool
	done   bool
}

// groupPhase is the progress of a search with one group of shards.
type groupPhase uint8

const (
	// groupIdle has no request in flight and needs one.
	groupIdle groupPhase = iota
	// groupSent has a request in flight.
	groupSent
	// groupAnswered has an accepted reply.
	groupAnswered
	// groupMissing will be missing from the answer.
	groupMissing
)

// groupState is the state of one group of a search's placement.
type groupState struct {
	phase groupPhase
	// pendingRequests is the number of requests in flight for the group.
	pendingRequests uint8
	// requested is set once a request for the group has been sent; further
	// ones are extra requests.
	requested bool
	hedged    bool
	// retried is set once the free retry after a broken connection is used.
	retried bool
	// shed is set if a replica has shed a request since the last backoff.
	shed  bool
	tried route.Tried
	// reason is that of the last failure, or why the group is missing.
	reason api.MissingReason
}

// attempt is one request to a target, on behalf of either a search or a submit.
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
	// connectionsChecked is set once this attempt has caused a check of the
	// target's idle connections.
	connectionsChecked bool
}

// New returns the state of a node without configuration and targets.
func New(options Options) *State {
	s := &State{
		options:  options,
		members:  map[string]int{options.DataCentre: 1},
		targets:  map[api.TargetID]*route.Target{},
		services: map[string]*service{},
		searches: map[QueryID]*search{},
		submits:  map[QueryID]*submit{},
		attempts: map[AttemptID]*attempt{},
	}
	s.initPassOn()
	return s
}

// Counters returns a copy of the counters.
func (s *State) Counters() Counters {
	return s.counters
}

// InProgress returns the number of callers' requests that have not been
// answered.
func (s *State) InProgress() int {
	return len(s.searches) + len(s.submits) + len(s.passed)
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

// ServiceDeadline returns the default deadline for requests on a service, or 0
// if none is configured. Tickets may hold any number of milliseconds; a longer one than
// maxServiceDeadline would overflow time.Duration.
func (s *State) ServiceDeadline(name string) time.Duration {
	const longest = int64(maxServiceDeadline / time.Millisecond)
	return time.Duration(min(s.config.Services[name].DeadlineMS, longest)) * time.Millisecond
}

// maxServiceDeadline is the longest default deadline of a service.
const maxServiceDeadline = 24 * time.Hour
