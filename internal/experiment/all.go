package experiment

import (
	"time"

	"wigeonbay/internal/testbed"
)

// Durations, loads and deadlines of the experiments.
const (
	beforeDuration = 4 * time.Second
	duringDuration = 10 * time.Second
	searchDeadline = 500 * time.Millisecond
	// defaultLoad is the load of most experiments as a fraction of the slots'
	// capacity.
	defaultLoad = 0.5
	// overloadServiceTime is longer than the default service time, so that the
	// slots are overloaded at a rate of searches that the host can still handle.
	overloadServiceTime = 40 * time.Millisecond
	// stragglerLightLoad is the load of the straggler-light experiment.
	stragglerLightLoad = 0.25
	// defaultEntryNodes is the number of entry nodes of most experiments.
	defaultEntryNodes = 3
)

// All returns every experiment, in the order in which the bench runs them.
func All() []Experiment {
	all := []Experiment{
		defaultExperiment("steady", "no fault", Phase{}),
		defaultExperiment("straggler", "one replica runs 20 times slower", Phase{Fault: slowDownFirst, Slowdown: firstSlowdown(stragglerFactor)}),
		defaultExperiment("replica-lost", "one replica of each shard crashes", Phase{Fault: crashFirstThird, Slowdown: firstThirdSlowdown(crashedSlowdown)}),
		defaultExperiment("silent-connections", "all connections to a third of the searchers go silent", Phase{Fault: silenceFirstThird}),
		defaultExperiment("rolling-version", "the searchers load a new index version one by one", Phase{Fault: rollOutVersion}),
		defaultExperiment("repartition", "repartition from 4 to 6 shards while queries run", Phase{Fault: repartition}),
		defaultExperiment("drain-third", "a third of the searchers drains and shuts down", Phase{Fault: drainFirstThird, Slowdown: firstThirdSlowdown(crashedSlowdown)}),
		defaultExperiment("lying-load", "a third of the searchers is slow and reports no load, a third reports overload", Phase{Fault: misreportLoad, Slowdown: firstThirdSlowdown(misreportingFactor)}),
	}
	return append(all, stragglerLightExperiment(), overloadExperiment(), floodExperiment(), chapecoExperiment(), saryarkaExperiment(), wideExperiment())
}

// defaultExperiment returns an experiment on one service of 4 shards with 3
// replicas each. It sets the length and load of during.
func defaultExperiment(name, summary string, during Phase) Experiment {
	during.Length, during.Load = duringDuration, defaultLoad
	return Experiment{
		Name: name, Summary: summary, Entries: defaultEntryNodes,
		Services: []testbed.ServiceShape{defaultShape("lots")}, MeasuredServices: 1,
		Deadline: searchDeadline, ClientDelay: time.Millisecond,
		Before: Phase{Length: beforeDuration, Load: defaultLoad},
		During: during,
	}
}

// stragglerLightExperiment returns the straggler experiment at a load at which
// the shard's other two replicas have enough free slots. At the default load
// even the floor is slower than before the fault.
func stragglerLightExperiment() Experiment {
	e := defaultExperiment("straggler-light", "one replica runs 20 times slower, at a lighter load",
		Phase{Fault: slowDownFirst, Slowdown: firstSlowdown(stragglerFactor)})
	e.Before.Load, e.During.Load = stragglerLightLoad, stragglerLightLoad
	return e
}

func overloadExperiment() Experiment {
	e := defaultExperiment("overload", "twice the capacity of the slots", Phase{})
	e.Services[0].ServiceTime = overloadServiceTime
	e.During.Load = 2
	return e
}

func floodExperiment() Experiment {
	e := defaultExperiment("flood", "another service gets 4 times the capacity of its slots", Phase{})
	other := defaultShape("flooded")
	other.Searchers = other.Shards
	other.ServiceTime = 40 * time.Millisecond
	e.Services = append(e.Services, other)
	e.During.OtherLoad = 4
	return e
}

func chapecoExperiment() Experiment {
	e := defaultExperiment("chapeco", "the services of Chapecó, one searcher of each runs 20 times slower", Phase{Fault: slowDownFirst, Slowdown: firstSlowdown(stragglerFactor)})
	e.Services = chapecoServices()
	e.MeasuredServices = len(e.Services)
	e.Before.Load, e.During.Load = userLoad, userLoad
	return e
}

func saryarkaExperiment() Experiment {
	e := defaultExperiment("saryarka", "the services of Saryarka, one searcher of each crashes", Phase{Fault: crashFirst, Slowdown: firstSlowdown(crashedSlowdown)})
	e.Services = saryarkaServices()
	e.MeasuredServices = len(e.Services)
	e.ClientDelay = 3 * time.Millisecond
	e.Before.Load, e.During.Load = userLoad, userLoad
	return e
}

func wideExperiment() Experiment {
	e := defaultExperiment("wide", "each query goes to 1,200 small stand-in searchers", Phase{})
	e.Entries = 1
	e.Services = []testbed.ServiceShape{wideShape()}
	e.Deadline = time.Second
	e.EvenArrivals = true
	e.Before.Length = 0
	e.During.Load = wideQueriesPerSecond / e.Services[0].Capacity()
	return e
}

const (
	// userLoad is the load of the chapeco and saryarka experiments as a fraction
	// of the slots' capacity.
	userLoad = 0.15
	// wideQueriesPerSecond is the query rate of the wide experiment, in which
	// each query goes to 1,200 searchers.
	wideQueriesPerSecond = 4
)
