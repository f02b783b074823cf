package experiment

import (
	"fmt"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/catalogue"
	"wigeonbay/internal/testbed"
)

// Of the searchers in the experiments.
const (
	// spread is the standard deviation of the logarithm of service times; the
	// 99th percentile is then 1.8 times the median.
	spread = 0.25
	// extraLoadPercent is the budget for hedges and retries.
	extraLoadPercent = 2
	// shortLease and longLease are leases of announcements; the long one keeps
	// the renewals of many small stand-ins from being a load of their own.
	shortLease = 3 * time.Second
	longLease  = 30 * time.Second
)

// lots and declarations are shared by all searchers of the process.
var (
	lots         = mustCatalogue(catalogue.Lots)
	declarations = mustCatalogue(catalogue.Declarations)
)

func mustCatalogue(name string) *catalogue.Catalogue {
	c, err := catalogue.New(name)
	if err != nil {
		panic(err)
	}
	return c
}

// coreShape is the service of most experiments: 4 shards of 3 replicas each,
// with the slots, connections and connection delay of salao.
func coreShape(name string) testbed.ServiceShape {
	return testbed.ServiceShape{
		Service:           service(name, api.PreferDeadline, 0),
		Catalogue:         lots,
		Shards:            4,
		Searchers:         12,
		ShardsPerSearcher: 1,
		Slots:             3,
		Queue:             3,
		Connections:       30,
		AcceptDelay:       6 * time.Millisecond,
		ServiceTime:       20 * time.Millisecond,
		Spread:            spread,
		Lease:             shortLease,
	}
}

func service(name string, prefer api.Prefer, least float64) api.Service {
	return api.Service{
		Name:             name,
		Prefer:           prefer,
		LeastCoverage:    least,
		DeadlineMS:       shortDeadline.Milliseconds(),
		ExtraLoadPercent: extraLoadPercent,
	}
}

// userServices returns the services of one user: small searchers, 3 to a
// service, each with two thirds of the shards.
func userServices(prefix string, count int, prefer api.Prefer, c *catalogue.Catalogue) []testbed.ServiceShape {
	shapes := make([]testbed.ServiceShape, count)
	for i := range shapes {
		shapes[i] = coreShape("")
		shapes[i].Service = service(fmt.Sprintf("%s-%d", prefix, i+1), prefer, 0)
		shapes[i].Catalogue = c
		shapes[i].Shards = 3
		shapes[i].Searchers = 3
		shapes[i].ShardsPerSearcher = 2
	}
	return shapes
}

// archiveService returns a service of larger searchers: 6 slots and the given
// number of connections, which take 1 ms.
func archiveService(name string, searchers, connections int, prefer api.Prefer, c *catalogue.Catalogue) testbed.ServiceShape {
	shape := coreShape("")
	shape.Service = service(name, prefer, 0)
	shape.Catalogue = c
	shape.Shards = searchers / 2
	shape.Searchers = searchers / 2 * 2
	shape.Slots, shape.Queue = 6, 6
	shape.Connections = connections
	shape.AcceptDelay = time.Millisecond
	return shape
}

// chapeco has the sizes and delays of Lâmina Sul.
func chapeco() []testbed.ServiceShape {
	shapes := userServices("salao", 10, api.PreferDeadline, lots)
	shapes = append(shapes, userServices("patio", 15, api.PreferDeadline, lots)...)
	shapes = append(shapes, archiveService("inspecao", 10, 100, api.PreferDeadline, lots))
	return append(shapes, archiveService("fatura", 4, 100, api.PreferDeadline, lots))
}

// saryarka has the sizes and delays of Saryarka Codeworks.
func saryarka() []testbed.ServiceShape {
	shapes := userServices("clerk-portal", 10, api.PreferCoverage, declarations)
	shapes = append(shapes, userServices("broker-gate", 15, api.PreferCoverage, declarations)...)
	shapes = append(shapes, archiveService("filing-archive", 10, 50, api.PreferCoverage, declarations))
	return append(shapes, archiveService("audit-desk", 4, 50, api.PreferCoverage, declarations))
}

// wideShape is one service of 1,200 small stand-ins, each with its own shard.
// They have few slots and connections, since both ends of every connection
// count against this one process's limit of open files.
func wideShape() testbed.ServiceShape {
	shape := coreShape("wide")
	shape.Shards, shape.Searchers = 1200, 1200
	shape.Slots, shape.Queue, shape.Connections = 2, 2, 3
	shape.ServiceTime = 5 * time.Millisecond
	shape.Lease = longLease
	return shape
}
