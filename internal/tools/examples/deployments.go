package main

import "time"

// deployment describes the system of one user.
type deployment struct {
	name        string
	region      string
	dataCentres []string
	// entryNodes is the number of entry nodes, distributed evenly over the data
	// centres.
	entryNodes int
	// basePort is the first of the deployment's ports on loopback.
	basePort  int
	catalogue string
	// prefer and leastCoverage are the settings of the same names of each
	// service.
	prefer        string
	leastCoverage float64
	deadline      time.Duration
	serviceGroups []group
	// previewCaller is a caller whose requests a rule routes to another service.
	previewCaller string
}

// group is a set of services of the same kind and size.
type group struct {
	name string
	// services is the number of services. A single service is named after the
	// group without a number.
	services    int
	searchers   int
	shards      int
	slots       int
	connections int
	acceptDelay time.Duration
	serviceTime time.Duration
}

func deployments() []deployment {
	return []deployment{chapeco(), saryarka()}
}

func chapeco() deployment {
	return deployment{
		name:          "chapeco",
		region:        "santa-catarina",
		dataCentres:   []string{"oeste", "serra", "litoral"},
		entryNodes:    6,
		basePort:      21000,
		catalogue:     "lots",
		prefer:        "deadline",
		leastCoverage: 0.5,
		deadline:      500 * time.Millisecond,
		previewCaller: "hall-preview",
		serviceGroups: []group{
			smallServices("salao", 10),
			smallServices("patio", 15),
			largeService("inspecao", 10, 100),
			largeService("fatura", 5, 100),
		},
	}
}

func saryarka() deployment {
	return deployment{
		name:          "saryarka",
		region:        "kazakhstan",
		dataCentres:   []string{"astana", "almaty", "aktobe"},
		entryNodes:    9,
		basePort:      23000,
		catalogue:     "declarations",
		prefer:        "coverage",
		leastCoverage: 0.95,
		deadline:      2 * time.Second,
		previewCaller: "clerk-preview",
		serviceGroups: []group{
			smallServices("clerk-portal", 10),
			smallServices("broker-gate", 15),
			largeService("filing-archive", 10, 50),
			largeService("audit-desk", 5, 50),
		},
	}
}

// smallServices returns a group of services with one searcher in each data
// centre.
func smallServices(name string, services int) group {
	return group{
		name:        name,
		services:    services,
		searchers:   3,
		shards:      6,
		slots:       3,
		connections: 30,
		acceptDelay: 6 * time.Millisecond,
		serviceTime: 4 * time.Millisecond,
	}
}

// largeService returns a group with a single service with many searchers.
func largeService(name string, searchers, connections int) group {
	return group{
		name:        name,
		services:    1,
		searchers:   searchers,
		shards:      2 * searchers,
		slots:       6,
		connections: connections,
		acceptDelay: time.Millisecond,
		serviceTime: 4 * time.Millisecond,
	}
}
