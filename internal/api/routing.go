package api

import (
	"crypto/sha256"
	"time"
)

// RoutingTable is the complete configuration of forwarded requests: which requests
// go to which pools of targets, and what callers may send. Operators replace the
// table as a whole; the highest version is in force.
type RoutingTable struct {
	Version uint64  `json:"version"`
	Routes  []Route `json:"routes"`
	Pools   []Pool  `json:"pools"`
	// Accounts holds the client accounts. If there are any, callers of routes that are not
	// public need the key of one.
	Accounts []ClientAccount `json:"accounts,omitempty"`
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
	// Regions holds the regions whose targets may get the requests; empty means all.
	Regions []string `json:"regions,omitempty"`
	// Public means that callers need no key.
	Public bool `json:"public,omitempty"`
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
	// WarmupTime is how long a target is cold after its start.
	WarmupTime time.Duration `json:"warmup_time,omitempty"`
	// WarmupRate is the number of requests per second that a cold target takes from all
	// entry nodes together; 0 means no limit.
	WarmupRate float64 `json:"warmup_rate,omitempty"`
}

// ClientAccount is an organisation or program whose callers identify themselves by a key.
type ClientAccount struct {
	Name string `json:"name"`
	// Keys holds the digests of the account's keys.
	Keys []KeyDigest `json:"-"`
	// Regions holds the regions whose targets may get the account's requests; empty means
	// all.
	Regions []string `json:"regions,omitempty"`
	// Priority takes precedence over that of the route if it is set; 0 is the most urgent.
	Priority *int `json:"priority,omitempty"`
	// Rate is the number of requests per second that the account may send to all entry nodes
	// together, and Burst the number in addition. A rate of 0 means no limit.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// KeyDigest is the SHA-256 digest of a key. Keys themselves are not kept in decoded
// configuration, so that no log or status can hold them.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// CallerLimits limits what callers may send. Zero means no limit.
type CallerLimits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}
