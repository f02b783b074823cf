package main

import "time"

// user is one user's system.
type user struct {
	name        string
	region      string
	dataCentres []string
	// entries is the number of entry VMs, spread evenly over data centres.
	entries int
	// port is the first of the user's ports on loopback.
	port      int
	catalogue string
	// prefer and leastCoverage say what the user's services weigh most.
	prefer        string
	leastCoverage float64
	deadline      time.Duration
	groups        []group
	// previewer is a caller whose requests a rule sends elsewhere.
	previewer string
}

// group is a number of services of one kind and size.
type group struct {
	name string
	// services is the number of services; 1 leaves the name without a number.
	services    int
	searchers   int
	shards      int
	slots       int
	connections int
	acceptDelay time.Duration
	serviceTime time.Duration
}

func users() []user {
	return []user{chapeco(), saryarka()}
}

func chapeco() user {
	return user{
		name:          "chapeco",
		region:        "santa-catarina",
		dataCentres:   []string{"oeste", "serra", "litoral"},
		entries:       6,
		port:          21000,
		catalogue:     "lots",
		prefer:        "deadline",
		leastCoverage: 0.5,
		deadline:      500 * time.Millisecond,
		previewer:     "hall-preview",
		groups: []group{
			small("salao", 10),
			small("patio", 15),
			large("inspecao", 10, 100),
			large("fatura", 5, 100),
		},
	}
}

func saryarka() user {
	return user{
		name:          "saryarka",
		region:        "kazakhstan",
		dataCentres:   []string{"astana", "almaty", "aktobe"},
		entries:       9,
		port:          23000,
		catalogue:     "declarations",
		prefer:        "coverage",
		leastCoverage: 0.95,
		deadline:      2 * time.Second,
		previewer:     "clerk-preview",
		groups: []group{
			small("clerk-portal", 10),
			small("broker-gate", 15),
			large("filing-archive", 10, 50),
			large("audit-desk", 5, 50),
		},
	}
}

// small is a group of services with one searcher in each data centre.
func small(name string, services int) group {
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

// large is one service with many searchers.
func large(name string, searchers, connections int) group {
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
