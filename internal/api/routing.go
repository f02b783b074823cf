package api

import "time"

// RoutingTable is a whole configuration of forwarded requests: which requests
// go to which pools of targets, and what callers may send. An operator replaces
// it as a whole; the highest version is in force.
type RoutingTable struct {
	Version uint64  `json:"version"`
	Routes  []Route `json:"routes"`
	Pools   []Pool  `json:"pools"`
	// Limits bounds what callers may send.
	Limits CallerLimits `json:"limits"`
}

// Route says what becomes of the requests of one host below one path.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash. The longest one that begins a
	// request's path decides.
	Prefix string `json:"prefix"`
	// Idempotent tells that a request may run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration `json:"timeout"`
	// Goal is the response-time goal.
	Goal time.Duration `json:"goal"`
	// Priority ranks the route; 0 is the most urgent.
	Priority int `json:"priority"`
	// Attempts is the greatest number of targets that one request may be sent
	// to, in each pool of a gather.
	Attempts int `json:"attempts"`
	// Split holds the pools among which requests are divided by weight; a plain
	// route has one. It is empty for a gather.
	Split []WeightedPool `json:"split,omitempty"`
	// Gather holds the pools of which each request asks one target each.
	Gather []string `json:"gather,omitempty"`
	// TopK is the number of greatest records that a gather returns.
	TopK int `json:"top_k,omitempty"`
	// LeastCoverage is the fraction of Gather below which an answer fails.
	LeastCoverage float64 `json:"least_coverage,omitempty"`
}

// IsGather reports whether the route asks several pools.
func (r *Route) IsGather() bool { return len(r.Gather) > 0 }

// WeightedPool is a pool with its share of a route's requests.
type WeightedPool struct {
	Pool   string  `json:"pool"`
	Weight float64 `json:"weight"`
}

// Pool is a set of targets that answer the same requests equally well.
type Pool struct {
	Name string `json:"name"`
	// HealthPath is where a target answers health checks.
	HealthPath string `json:"health_path"`
	// MaxConnections is the number of connections that one target accepts from
	// all entry nodes together.
	MaxConnections int `json:"max_connections"`
}

// CallerLimits bounds what callers may send. A zero field sets no bound.
type CallerLimits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}
