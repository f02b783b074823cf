package experiment

import (
	"fmt"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/catalogue"
	"wigeonbay/internal/testbed"
)

// Parameters of the services and searchers.
const (
	// serviceTimeSpread is the standard deviation of the logarithm of service
	// times. With 0.25 the 99th percentile is 1.8 times the median.
	serviceTimeSpread = 0.25
	// extraLoadPercent is the budget for hedges and retries, as a percentage of
	// the load.
	extraLoadPercent = 2
	// shortLease and longLease are leases of announcements. With many searchers
	// the renewals of a short lease would add considerable load.
	shortLease = 3 * time.Second
	longLease  = 30 * time.Second
)

// lotsCatalogue and declarationsCatalogue are shared by all searchers of the
// process.
var (
	lotsCatalogue         = mustCatalogue(catalogue.Lots)
	declarationsCatalogue = mustCatalogue(catalogue.Declarations)
)

func mustCatalogue(name string) *catalogue.Catalogue {
	c, err := catalogue.New(name)
	if err != nil {
		panic(err)
	}
	return c
}

// defaultShape returns the service of most experiments: 4 shards with 3 replicas
// each, and the slots, connection limit and accept delay of the salao services in
// examples/chapeco.
func defaultShape(name string) testbed.ServiceShape {
	return testbed.ServiceShape{
		Service:           serviceConfig(name, api.PreferDeadline, 0),
		Catalogue:         lotsCatalogue,
		Shards:            4,
		Searchers:         12,
		ShardsPerSearcher: 1,
		Slots:             3,
		Queue:             3,
		Connections:       30,
		AcceptDelay:       6 * time.Millisecond,
		ServiceTime:       20 * time.Millisecond,
		Spread:            serviceTimeSpread,
		Lease:             shortLease,
	}
}

func serviceConfig(name string, prefer api.Prefer, leastCoverage float64) api.Service {
	return api.Service{
		Name:             name,
		Prefer:           prefer,
		LeastCoverage:    leastCoverage,
		DeadlineMS:       searchDeadline.Milliseconds(),
		ExtraLoadPercent: extraLoadPercent,
	}
}

// smallServices returns count services with 3 small searchers each. Each searcher
// holds two thirds of the shards.
func smallServices(prefix string, count int, prefer api.Prefer, c *catalogue.Catalogue) []testbed.ServiceShape {
	shapes := make([]testbed.ServiceShape, count)
	for i := range shapes {
		shapes[i] = defaultShape("")
		shapes[i].Service = serviceConfig(fmt.Sprintf("%s-%d", prefix, i+1), prefer, 0)
		shapes[i].Catalogue = c
		shapes[i].Shards = 3
		shapes[i].Searchers = 3
		shapes[i].ShardsPerSearcher = 2
	}
	return shapes
}

// largeService returns a service with larger searchers, which have 6 slots, the
// given connection limit and an accept delay of 1 ms. An odd number of searchers is
// reduced by one, so that every shard has two replicas.
func largeService(name string, searchers, connections int, prefer api.Prefer, c *catalogue.Catalogue) testbed.ServiceShape {
	shape := defaultShape("")
	shape.Service = serviceConfig(name, prefer, 0)
	shape.Catalogue = c
	shape.Shards = searchers / 2
	shape.Searchers = searchers / 2 * 2
	shape.Slots, shape.Queue = 6, 6
	shape.Connections = connections
	shape.AcceptDelay = time.Millisecond
	return shape
}

// chapecoServices returns services of the user Lâmina Sul, with the numbers of
// searchers, slots, connection limits and accept delays of examples/chapeco, except
// that fatura has 4 searchers instead of 5. Other parameters differ.
func chapecoServices() []testbed.ServiceShape {
	shapes := smallServices("salao", 10, api.PreferDeadline, lotsCatalogue)
	shapes = append(shapes, smallServices("patio", 15, api.PreferDeadline, lotsCatalogue)...)
	shapes = append(shapes, largeService("inspecao", 10, 100, api.PreferDeadline, lotsCatalogue))
	return append(shapes, largeService("fatura", 4, 100, api.PreferDeadline, lotsCatalogue))
}

// saryarkaServices returns services of the user Saryarka Codeworks. They correspond
// to examples/saryarka in the same way; audit-desk has 4 searchers instead of 5.
func saryarkaServices() []testbed.ServiceShape {
	shapes := smallServices("clerk-portal", 10, api.PreferCoverage, declarationsCatalogue)
	shapes = append(shapes, smallServices("broker-gate", 15, api.PreferCoverage, declarationsCatalogue)...)
	shapes = append(shapes, largeService("filing-archive", 10, 50, api.PreferCoverage, declarationsCatalogue))
	return append(shapes, largeService("audit-desk", 4, 50, api.PreferCoverage, declarationsCatalogue))
}

// wideShape returns a service of 1,200 small searchers, each with its own shard.
// They have few slots and connections, since both ends of every connection count
// towards the open file limit of this process.
func wideShape() testbed.ServiceShape {
	shape := defaultShape("wide")
	shape.Shards, shape.Searchers = 1200, 1200
	shape.Slots, shape.Queue, shape.Connections = 2, 2, 3
	shape.ServiceTime = 5 * time.Millisecond
	shape.Lease = longLease
	return shape
}
