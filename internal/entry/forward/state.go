package forward

import (
	"fmt"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/isolation"
	"wigeonbay/internal/entry/quota"
	"wigeonbay/internal/quarantine"
)

// Options are the settings that stay fixed while the process runs.
type Options struct {
	DataCentre string
	Budget     BudgetRule
	Warmup     WarmupRule
	// Node is the name of this node, and Quota says how far accounts may exceed their quotas.
	Node  string
	Quota quota.Rules
	// DrainTime is how long a target serves on after a control process has acknowledged that it
	// leaves, 0 if unknown.
	DrainTime time.Duration
	// Regions holds the region of each data centre that requests which are bound to regions
	// may be sent to.
	Regions map[string]string
}

// State holds all that forwarding decisions depend on. It is not safe for
// concurrent use.
type State struct {
	options Options
	now     time.Time
	// started is the time of the first event.
	started time.Time

	table  *api.RoutingTable
	routes *routes
	pools  map[string]*pool
	quotas *quotas
	// accounts is nil if the routing table has none.
	accounts *accounts
	bounds   *bounds
	// unserved holds the routes in force that don't serve some account, by name.
	unserved map[string]RegionsExcluded
	refusals refusals
	// targets holds the targets in use, registrations all that are announced.
	targets       map[api.TargetID]*target
	registrations registrations
	requests      map[RequestID]*request
	// early holds the requests that wait for the first routing table.
	early    []earlyRequest
	attempts map[AttemptID]*attempt
	// nodes counts the live entry nodes of each data centre, this node included.
	nodes map[string]int
	// rank is the rank of this node among those of its data centre. nodesKnown is set once
	// control processes have told both.
	rank       int
	nodesKnown bool
	// opensForHedges is set once connections for hedges may be opened in advance.
	opensForHedges bool
	// roundTrips holds the shortest round trip measured to each data centre.
	roundTrips map[string]time.Duration

	evacuations evacuations

	// quarantine holds the requests that crash targets, served those answered lately.
	quarantine *quarantine.Set
	served     quarantine.Served

	isolation isolation.Detector
	// unreachable is the number of unreachable targets.
	unreachable int
	impaired    bool
	peers       []*peer
	// delegations holds the requests that peers have been passed and not answered.
	delegations map[DelegationID]*delegation

	// shutDown is set once all requests have been answered for the process to exit.
	shutDown bool

	lastAttempt    AttemptID
	lastDelegation DelegationID
	effects        []Effect
	counters       Counters
}

// Counters counts decisions since the process started. Partial is included in Answered.
// Failed counts relayed replies with an error status, Gone requests whose caller has
// disconnected, NoBudget hedges and retries beyond the budget, and Unreached how often
// a target became unreachable. Lowered counts how often the learned capacity of a target fell.
// Delegated counts requests passed on to peers, each time, and
// Taken those that peers have passed to this node, which Requests includes. EarlyRetries counts
// requests that came again before their retry time and were refused for it.
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
	Lowered   uint64 `json:"capacity_lowered"`
	Delegated uint64 `json:"delegated"`
	Taken     uint64 `json:"taken"`

	EarlyRetries uint64 `json:"early_retries"`
}

// request is a caller's request, kept until its last attempt has ended.
type request struct {
	id RequestID
	// fingerprint identifies the content. replied reports that a target has answered a
	// part of the request.
	fingerprint quarantine.Fingerprint
	replied     bool
	// key is the digest of the caller's key, nil for none; account is nil for a request
	// without one. bound is what the route and the account allow.
	key      *api.KeyDigest
	account  *account
	bound    *bound
	quota    requestQuota
	path     string
	route    *route
	seed     uint64
	arrived  time.Time
	deadline time.Time
	// callerDelay is the Delay of RequestArrived.
	callerDelay time.Duration
	// due is when the answer must leave to meet the route's goal, or the deadline
	// if that is earlier or the route has no goal. At due a gather is answered with
	// the parts it has, if they reach the least coverage.
	due time.Time
	// timerAt is the time that the request's timer is set to, zero after it has fired.
	timerAt time.Time
	// returning reports that the caller has less time left than callers of the
	// route usually start with, and so was probably refused before, by this node or
	// another.
	returning bool
	// fromPeer is set for a request that a peer has passed on to this node.
	fromPeer *FromPeer
	// attempts is the number of targets of each pool that the request may be sent to.
	attempts int
	parts    []*part
	// pending is the number of parts that are neither answered nor missing, placed that of
	// parts in flight or answered.
	pending int
	missing int
	placed  int
	// mayHaveRun reports that a target may have run the request.
	mayHaveRun bool
	done       bool
	// handedOver reports that the request was passed on to a peer and is not decided by
	// its parts any more. delegation is the one in progress, nil for none.
	handedOver  bool
	delegation  *delegation
	delegations []*delegation
	askedPeers  []*peer
	// lingering holds the attempts still in flight after the request has ended or was
	// handed over. Those left when the timer fires are cancelled.
	lingering []*attempt
	sends     []*attempt
	hedges    int
	noHedge   NoHedge
	queueTime time.Duration
	// shedChecked reports that the request was kept when it was decided whether it will be
	// served in time.
	shedChecked bool
}

// partPhase is the state of a part.
type partPhase uint8

const (
	// partIdle is the phase of a part that is to be dispatched or whose request ended
	// while it was queued.
	partIdle partPhase = iota
	partWaiting
	partSent
	partAnswered
	partMissing
)

// part is the share of a request that one pool answers.
type part struct {
	request *request
	pool    *pool
	phase   partPhase
	// tried holds the targets that the part was sent to and is not sent to again.
	tried []*target
	// runs counts the attempts that ran, may have run or are in flight; sends also
	// counts those that their target did not run. Attempts that were never sent
	// count in neither.
	runs  int
	sends int
	// counted reports that the pool's budget has counted the part as a first request.
	counted     bool
	outstanding []*attempt
	answer      *attempt
	// failure is a target's reply with an error status, relayed to the caller if no
	// attempt succeeds.
	failure      *attempt
	waitingSince time.Time
	// startBy is the latest time at which it was of use to send the part, as of waitingSince.
	startBy time.Time
	hedged  bool
	// flow is that of the part in its pool, nil until it is needed.
	flow *flow
	// hedgeAt is when the part is hedged without a reply, lastHedge the latest time at
	// which a hedge is likely to be answered in time.
	hedgeAt   time.Time
	lastHedge time.Time
}

// setPhase sets the state of a part.
func (p *part) setPhase(phase partPhase) {
	if p.phase.isPlaced() {
		p.request.placed--
	}
	if p.phase = phase; phase.isPlaced() {
		p.request.placed++
	}
}

func (phase partPhase) isPlaced() bool { return phase == partSent || phase == partAnswered }

// attempt is one send of a part to a target.
type attempt struct {
	id           AttemptID
	part         *part
	target       *target
	sent         time.Time
	ended        time.Time
	expectedWork time.Duration
	// load is that of the target with the attempt.
	load  float64
	hedge bool
	// overtaken reports that the target has answered a later attempt, so that the
	// age of this one is not held against the target.
	overtaken bool
	outcome   string
	cause     string
	status    int
}

// hasTried reports whether the part was sent to t and is not sent there again.
func (p *part) hasTried(t *target) bool {
	for _, tried := range p.tried {
		if tried == t {
			return true
		}
	}
	return false
}

// New returns a state without a routing table or targets.
func New(options Options) *State {
	return &State{
		options: options,
		pools:   map[string]*pool{},
		bounds:  newBounds(options.Regions),
		quotas:  newQuotas(options),
		targets: map[api.TargetID]*target{},

		registrations: newRegistrations(),

		requests:   map[RequestID]*request{},
		attempts:   map[AttemptID]*attempt{},
		nodes:      map[string]int{options.DataCentre: 1},
		roundTrips: map[string]time.Duration{},
		quarantine: quarantine.NewSet(),

		delegations: map[DelegationID]*delegation{},
	}
}

// Counters returns the counts since the process started.
func (s *State) Counters() Counters { return s.counters }

// TableVersion returns the version of the routing table in force, 0 for none.
func (s *State) TableVersion() uint64 {
	if s.table == nil {
		return 0
	}
	return s.table.Version
}

// InProgress returns the number of unanswered requests.
func (s *State) InProgress() int {
	pending := len(s.early)
	for _, r := range s.requests {
		if !r.done {
			pending++
		}
	}
	return pending
}

// Reduce applies an event that happened at now and returns the effects to carry
// out, in order. The slice is valid until the next call. now must not decrease
// from call to call.
func (s *State) Reduce(now time.Time, ev Event) []Effect {
	if s.started.IsZero() {
		s.started = now
	}
	s.now = now
	s.isolation.Advance(now)
	s.effects = s.effects[:0]
	switch ev := ev.(type) {
	case TableInstalled:
		s.installTable(ev.Table)
	case TargetChanged:
		s.register(ev.Announcement)
	case NodesChanged:
		s.updateNodes(ev.PerDataCentre, ev.Rank)
	case RequestArrived:
		s.handleArrival(ev)
	case PeersChanged:
		s.updatePeers(ev.Peers)
	case DelegationEnded:
		s.handleDelegationEnd(ev)
	case EvacuationChanged:
		s.changeEvacuations(ev)
	case VerdictsReceived:
		s.mergeVerdicts(ev.Verdicts)
	case CallerGone:
		s.callerGone(ev.Request)
	case TimerFired:
		s.handleTimer(ev.Request)
	case AttemptEnded:
		s.handleAttemptEnd(ev)
	case ProbeEnded:
		s.handleProbeEnd(ev)
	case QuotaAnswered:
		s.handleQuotaAnswer(ev)
	case QuotaDue:
		s.quotas.dueAt = 0
	case ShuttingDown:
		s.endAllRequests()
	case Tick:
		s.openForHedges()
		s.checkIsolation()
		s.suspendDrained()
		s.sendDueProbes()
		s.quotas.node.Tick(s.quotas.now)
	default:
		panic(fmt.Sprintf("forward: event of unknown type %T", ev))
	}
	s.askForQuota()
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// nodeCount returns the number of live entry nodes, at least 1.
func (s *State) nodeCount() int {
	total := 0
	for _, count := range s.nodes {
		total += count
	}
	return max(1, total)
}
