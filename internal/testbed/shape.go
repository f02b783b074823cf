package testbed

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/catalogue"
	"wigeonbay/internal/searcher"
)

// ServiceShape describes a service and its searchers.
type ServiceShape struct {
	// Service is the configuration of the service. Its name is also the prefix of
	// the searchers' names.
	Service api.Service
	// Catalogue is the data that the searchers search.
	Catalogue *catalogue.Catalogue
	// Shards is the number of shards in the first layout.
	Shards int
	// Searchers is the number of searchers.
	Searchers int
	// ShardsPerSearcher is the number of shards that each searcher holds. They
	// are assigned round robin, which gives a shard
	// Searchers*ShardsPerSearcher/Shards replicas if Searchers is a multiple of
	// Shards.
	ShardsPerSearcher int
	// Slots, Queue and Connections are the limits of each searcher.
	Slots       int
	Queue       int
	Connections int
	// AcceptDelay is the delay before a new connection is served.
	AcceptDelay time.Duration
	// NetworkDelay is the one-way delay between a searcher and the entry nodes.
	NetworkDelay time.Duration
	// ServiceTime is the median of the log-normal service time of one shard, and
	// Spread the standard deviation of its logarithm.
	ServiceTime time.Duration
	Spread      float64
	// Lease is the lease of the searchers' announcements.
	Lease time.Duration
}

// ShardsOf returns the shards that a searcher holds. The searchers of a service are
// numbered from 0.
func (s ServiceShape) ShardsOf(number int) []api.ShardID {
	shards := make([]api.ShardID, s.ShardsPerSearcher)
	for i := range shards {
		shards[i] = api.ShardID((number + i) % s.Shards)
	}
	return shards
}

// Holding returns the holding of a searcher for a version in the first layout.
func (s ServiceShape) Holding(number int, version uint64, warm bool) api.Holding {
	return api.Holding{
		Snapshot:     api.Snapshot{Layout: 1, Version: version},
		LayoutShards: s.Shards,
		Shards:       s.ShardsOf(number),
		Warm:         warm,
	}
}

// Capacity returns the number of searches of all shards per second that the slots
// of all searchers can run.
func (s ServiceShape) Capacity() float64 {
	slots := float64(s.Searchers * s.Slots)
	return slots / s.MeanServiceTime().Seconds() / float64(s.Shards)
}

// MeanServiceTime returns the mean service time of one shard.
func (s ServiceShape) MeanServiceTime() time.Duration {
	return searcher.MeanServiceTime(s.ServiceTime, s.Spread)
}
