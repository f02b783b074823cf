package api

// Prefer says what a service gives up first when it can't have both.
type Prefer string

// Values of Prefer.
const (
	// PreferDeadline answers at the deadline with what was gathered.
	PreferDeadline Prefer = "deadline"
	// PreferCoverage spends the whole time left on missing shards.
	PreferCoverage Prefer = "coverage"
)

// Service is the whole configuration of one service.
type Service struct {
	Name string `json:"name"`
	// Prefer says whether the deadline or the coverage weighs more.
	Prefer Prefer `json:"prefer"`
	// LeastCoverage is the fraction of shards below which an answer is
	// refused, from 0 to 1.
	LeastCoverage float64 `json:"least_coverage"`
	// DeadlineMS is the deadline for requests that bring none, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	// ExtraLoadPercent bounds hedges and retries together, in percent of the
	// service's own target requests.
	ExtraLoadPercent float64 `json:"extra_load_percent"`
	// MaxInFlight bounds the service's searches on one entry node; 0 leaves it
	// to admission.
	MaxInFlight int `json:"max_in_flight"`
}

// Searcher is the whole configuration of one searcher: what operators lay
// down over what the searcher announces.
type Searcher struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Slots and Connections lower the announced limits when above 0.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Drain keeps new work from the searcher.
	Drain bool `json:"drain"`
}

// Rule sends some requests for one service to another.
type Rule struct {
	Name string `json:"name"`
	// Service is the service that the request names.
	Service string `json:"service"`
	// Caller limits the rule to one caller; empty means every caller.
	Caller string `json:"caller,omitempty"`
	// To is the service that serves instead.
	To string `json:"to"`
	// Percent is the share of matching requests that the rule takes, from 0
	// to 100; which ones is decided by a hash of the request's id.
	Percent float64 `json:"percent"`
}

// ObjectKind names a kind of configured object.
type ObjectKind string

// Kinds of objects.
const (
	KindService  ObjectKind = "service"
	KindSearcher ObjectKind = "searcher"
	KindRule     ObjectKind = "rule"
)

// ObjectRef names one configured object.
type ObjectRef struct {
	Kind ObjectKind `json:"kind"`
	Name string     `json:"name"`
}

// Ticket is an operator's numbered change: the whole new state of each object
// that it touches, applied all or nothing.
type Ticket struct {
	Number    uint64      `json:"number"`
	Operator  string      `json:"operator"`
	Services  []Service   `json:"services,omitempty"`
	Searchers []Searcher  `json:"searchers,omitempty"`
	Rules     []Rule      `json:"rules,omitempty"`
	Removals  []ObjectRef `json:"removals,omitempty"`
}

// Configuration is everything that tickets have set. Version is raised by one
// with each accepted ticket and never falls.
type Configuration struct {
	Version   uint64              `json:"version"`
	Services  map[string]Service  `json:"services"`
	Searchers map[string]Searcher `json:"searchers"`
	Rules     map[string]Rule     `json:"rules"`
}

// ConfigDelta carries a configuration forward from one version to another:
// the tickets accepted after From, or the whole configuration when From is too
// old for that.
type ConfigDelta struct {
	From    uint64         `json:"from"`
	To      uint64         `json:"to"`
	Tickets []Ticket       `json:"tickets,omitempty"`
	Whole   *Configuration `json:"whole,omitempty"`
}

// TicketOutcome is how the control group answered a ticket.
type TicketOutcome string

// Outcomes of a ticket.
const (
	TicketAccepted TicketOutcome = "accepted"
	// TicketConflict is another content under a number already used.
	TicketConflict TicketOutcome = "conflict"
	// TicketStale is a number below the last one of an object it touches.
	TicketStale   TicketOutcome = "stale"
	TicketInvalid TicketOutcome = "invalid"
)

// TicketReply is the control group's answer to a ticket. A resent ticket gets
// the first reply again.
type TicketReply struct {
	Number  uint64        `json:"number"`
	Outcome TicketOutcome `json:"outcome"`
	// Version is the configuration's version with the ticket applied.
	Version uint64 `json:"version"`
	// Winner is the operator whose ticket stands, for a refused ticket.
	Winner string `json:"winner,omitempty"`
	// WinnerNumber is the number of the ticket that stands.
	WinnerNumber uint64 `json:"winner_number,omitempty"`
	Detail       string `json:"detail,omitempty"`
}
