package api

import "time"

// RoutingTable is the complete configuration of forwarded requests: which requests
// go to which pools of targets, and what callers may send. Operators replace the
// table as a whole; the highest version is in force.
type RoutingTable struct {
	Version uint64  `json:"version"`
	Routes  []Route `json:"routes"`
	Pools   []Pool  `json:"pools"`
	// Limits holds the limits for callers.
	Limits CallerLimits `json:"limits"`
}

// Route configures the handling of the requests for a host and a path prefix.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash. The route with the longest matching
	// prefix of a request's path applies.
	Prefix string `json:"prefix"`
	// Idempotent means that a request may run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout is the maximum time that a caller waits for a reply.
	Timeout time.Duration `json:"timeout"`
	// Goal is the response-time goal.
	Goal time.Duration `json:"goal"`
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int `json:"priority"`
	// Attempts is the maximum number of targets that a request is sent to, or in
	// a gather, the maximum in each pool.
	Attempts int `json:"attempts"`
	// Split holds the pools among which requests are divided by weight; a plain
	// route has one pool. It is empty for a gather.
	Split []WeightedPool `json:"split,omitempty"`
	// Gather holds the pools that each request is sent to, to one target each.
	Gather []string `json:"gather,omitempty"`
	// TopK is the maximum number of records that a gather returns: the greatest
	// ones in byte order.
	TopK int `json:"top_k,omitempty"`
	// LeastCoverage is the minimum fraction of the pools in Gather that must
	// answer for the request to succeed.
	LeastCoverage float64 `json:"least_coverage,omitempty"`
}

// IsGather reports whether the route sends each request to all pools in Gather.
func (r *Route) IsGather() bool { return len(r.Gather) > 0 }

// WeightedPool is a pool with its weight in a route's split.
type WeightedPool struct {
	Pool   string  `json:"pool"`
	Weight float64 `json:"weight"`
}

// Pool is a set of targets that answer the same requests equally well.
type Pool struct {
	Name string `json:"name"`
	// HealthPath is the path of the targets' health check.
	HealthPath string `json:"health_path"`
	// MaxConnections is the number of connections that a target accepts from all
	// entry nodes together.
	MaxConnections int `json:"max_connections"`
}

// CallerLimits limits what callers may send. Zero means no limit.
type CallerLimits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}
