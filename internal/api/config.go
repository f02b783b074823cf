package api

// Prefer is the preference of a service when it can't meet its deadline with full
// coverage.
type Prefer string

// Values of Prefer.
const (
	// PreferDeadline gives up a shard once every replica has been tried, unless one
	// of them shed the request.
	PreferDeadline Prefer = "deadline"
	// PreferCoverage also retries the same replicas, as long as the deadline, the
	// retry limit and the extra-load budget allow it.
	PreferCoverage Prefer = "coverage"
)

// Service is the complete configuration of a service.
type Service struct {
	Name string `json:"name"`
	// Prefer says whether the deadline or the coverage takes precedence.
	Prefer Prefer `json:"prefer"`
	// LeastCoverage is the minimum fraction of shards that an answer must cover,
	// from 0 to 1. Searches with lower coverage are refused.
	LeastCoverage float64 `json:"least_coverage"`
	// DeadlineMS is the deadline for requests without one, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	// ExtraLoadPercent limits the number of hedges and retries, as a percentage
	// of the service's target requests.
	ExtraLoadPercent float64 `json:"extra_load_percent"`
	// MaxInFlight limits the concurrent searches of the service on one entry
	// node; 0 leaves the limit to admission control.
	MaxInFlight int `json:"max_in_flight"`
}

// Searcher is the complete configuration of a searcher: operators' overrides of
// what the searcher announces.
type Searcher struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Slots and Connections lower the announced limits if above 0.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Drain prevents new work from being sent to the searcher.
	Drain bool `json:"drain"`
}

// Rule is a routing rule, which redirects a share of the requests for one service
// to another.
type Rule struct {
	Name string `json:"name"`
	// Service is the service that the request is for.
	Service string `json:"service"`
	// Caller restricts the rule to one caller; empty matches all callers.
	Caller string `json:"caller,omitempty"`
	// To is the service that serves the request instead.
	To string `json:"to"`
	// Percent is the percentage of matching requests that are redirected, from 0
	// to 100. They are selected by a hash of the request ID.
	Percent float64 `json:"percent"`
}

// ObjectKind is the kind of a configured object.
type ObjectKind string

// Kinds of objects.
const (
	KindService  ObjectKind = "service"
	KindSearcher ObjectKind = "searcher"
	KindRule     ObjectKind = "rule"
)

// ObjectRef identifies a configured object.
type ObjectRef struct {
	Kind ObjectKind `json:"kind"`
	Name string     `json:"name"`
}

// Ticket is an operator's numbered change of the configuration. It holds the
// complete new state of each object that it touches and is applied atomically.
type Ticket struct {
	Number    uint64      `json:"number"`
	Operator  string      `json:"operator"`
	Services  []Service   `json:"services,omitempty"`
	Searchers []Searcher  `json:"searchers,omitempty"`
	Rules     []Rule      `json:"rules,omitempty"`
	Removals  []ObjectRef `json:"removals,omitempty"`
}

// Configuration is the result of all accepted tickets. Version is incremented by
// each accepted ticket and never decreases.
type Configuration struct {
	Version   uint64              `json:"version"`
	Services  map[string]Service  `json:"services"`
	Searchers map[string]Searcher `json:"searchers"`
	Rules     map[string]Rule     `json:"rules"`
}

// ConfigDelta updates a configuration from version From to version To. It holds
// the tickets accepted after From, or the complete configuration if From is too
// old.
type ConfigDelta struct {
	From    uint64         `json:"from"`
	To      uint64         `json:"to"`
	Tickets []Ticket       `json:"tickets,omitempty"`
	Whole   *Configuration `json:"whole,omitempty"`
}

// TicketOutcome is the control group's decision on a ticket.
type TicketOutcome string

// Outcomes of a ticket.
const (
	TicketAccepted TicketOutcome = "accepted"
	// TicketConflict means that the number was already used for other content.
	TicketConflict TicketOutcome = "conflict"
	// TicketStale means that the number is below the last one of an object that
	// the ticket touches.
	TicketStale   TicketOutcome = "stale"
	TicketInvalid TicketOutcome = "invalid"
)

// TicketReply is the control group's reply to a ticket. A resent ticket gets the
// same reply again.
type TicketReply struct {
	Number  uint64        `json:"number"`
	Outcome TicketOutcome `json:"outcome"`
	// Version is the version of the configuration with the ticket applied.
	Version uint64 `json:"version"`
	// Winner is the operator of the ticket in force, for a refused ticket.
	Winner string `json:"winner,omitempty"`
	// WinnerNumber is the number of the ticket in force.
	WinnerNumber uint64 `json:"winner_number,omitempty"`
	Detail       string `json:"detail,omitempty"`
}
