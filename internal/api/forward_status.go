package api

// ForwardStatus is an entry node's status of forwarded requests, for operators.
type ForwardStatus struct {
	// TableVersion is the version of the routing table in force, 0 for none.
	TableVersion uint64 `json:"table_version"`
	// ConfirmedMS is the time in milliseconds since a control quorum last confirmed
	// that there is no newer table; -1 means never.
	ConfirmedMS int64 `json:"confirmed_ms"`
	InProgress  int   `json:"in_progress"`
	// EvacuationsVersion is the version of the orders to evacuate data centres that the
	// node follows, Evacuated the data centres that get nothing.
	EvacuationsVersion uint64        `json:"evacuations_version"`
	Evacuated          []string      `json:"evacuated,omitempty"`
	Routes             []RouteStatus `json:"routes"`
	Pools              []PoolStatus  `json:"pools"`
	// Accounts holds the client accounts with quotas that are in use.
	Accounts []AccountStatus `json:"accounts,omitempty"`
}

// AccountStatus is what an entry node knows of a client account with a quota. Counts start when
// the account is used after a minute without requests.
type AccountStatus struct {
	Name string `json:"name"`
	// Rate and Burst are the quota in the node's routing table.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Tokens is the number of requests that the node may send without asking the leader of the
	// control group, PerSecond the number of requests that arrive.
	Tokens    int     `json:"tokens"`
	PerSecond float64 `json:"per_second"`
	// Used counts requests that were sent, OverQuota those refused because the account was above
	// its quota, and NoLeader those refused because no leader told.
	Used      uint64 `json:"used"`
	OverQuota uint64 `json:"over_quota"`
	NoLeader  uint64 `json:"no_leader"`
	// OverForMS is for how many milliseconds the node still refuses the account's requests.
	OverForMS int64 `json:"over_for_ms"`
}

// RouteStatus is a route in force, with the node's estimate of the time that its
// requests take.
type RouteStatus struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	Prefix     string `json:"prefix"`
	Idempotent bool   `json:"idempotent"`
	TimeoutMS  int64  `json:"timeout_ms"`
	GoalMS     int64  `json:"goal_ms"`
	// Priority is the rank of the route; 0 is the most urgent.
	Priority      int            `json:"priority"`
	Split         []WeightedPool `json:"split,omitempty"`
	Gather        []string       `json:"gather,omitempty"`
	LeastCoverage float64        `json:"least_coverage,omitempty"`
	// WorkMS is the typical time in milliseconds that a target takes, 0 if
	// unknown.
	WorkMS float64 `json:"work_ms"`
}

// PoolStatus is a pool of targets that a route sends requests to.
type PoolStatus struct {
	Name string `json:"name"`
	// Targets counts the pool's targets by state: serving, unreachable, leaving.
	Targets map[string]int `json:"targets"`
	// Waiting is the number of requests, or parts of gathers, that wait for a
	// target of the pool.
	Waiting int `json:"waiting"`
	// BudgetLeft is the number of retries and hedges that may still be sent now.
	BudgetLeft float64 `json:"budget_left"`
}

// RouteExplanation describes how an entry node would forward a request now.
type RouteExplanation struct {
	Route        RouteStatus       `json:"route"`
	TableVersion uint64            `json:"table_version"`
	Pools        []PoolExplanation `json:"pools"`
	// Account is the client account that the explanation is for, empty for none.
	Account string `json:"account,omitempty"`
	// Priority is the rank of the requests, that of the account if it has one.
	Priority int `json:"priority"`
	// NeedsKey reports that callers need the key of an account.
	NeedsKey bool `json:"needs_key"`
	// Bound reports that the requests may be sent to some regions only, which Regions lists.
	Bound   bool     `json:"bound"`
	Regions []string `json:"regions,omitempty"`
	// Refused is the reason why all the requests are refused, empty if they aren't.
	Refused string `json:"refused,omitempty"`
	// Unserved lists accounts that have no region in common with the route, at most
	// MaxUnserved of UnservedCount.
	Unserved      []string `json:"unserved,omitempty"`
	UnservedCount int      `json:"unserved_count,omitempty"`
}

// MaxUnserved is the greatest number of accounts in RouteExplanation.Unserved.
const MaxUnserved = 20

// PoolExplanation describes which target of a pool would be chosen.
type PoolExplanation struct {
	Pool string `json:"pool"`
	// Chosen is empty if no target can take a request now.
	Chosen     TargetID         `json:"chosen,omitempty"`
	Candidates []RouteCandidate `json:"candidates"`
}

// RouteCandidate holds the inputs of the choice for a target.
type RouteCandidate struct {
	Target     TargetID    `json:"target"`
	DataCentre string      `json:"data_centre"`
	State      TargetState `json:"state"`
	// ExpectedMS is the time in milliseconds that a request is expected to take,
	// including the penalties for remote and failing targets.
	ExpectedMS float64 `json:"expected_ms"`
	// Excluded is the reason why the target can't be chosen, empty if it can.
	Excluded string `json:"excluded,omitempty"`
	InFlight int    `json:"in_flight"`
	// Limit is this node's share of the target's connections.
	Limit int `json:"limit"`
	// Slots is the number of requests that the target has announced to work on at a time,
	// Capacity the number that this node has learned that it handles well.
	Slots    int     `json:"slots"`
	Capacity float64 `json:"capacity"`
	// Slowdown is the expected response time of the target relative to the usual
	// one of the pool.
	Slowdown float64 `json:"slowdown"`
	// ErrorRate is the fraction of the target's requests that is expected to fail.
	ErrorRate float64 `json:"error_rate"`
}
