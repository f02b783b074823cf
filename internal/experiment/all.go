package experiment

import (
	"time"

	"wigeonbay/internal/testbed"
)

// Lengths, loads and deadlines of the experiments.
const (
	beforeLength  = 4 * time.Second
	duringLength  = 10 * time.Second
	shortDeadline = 500 * time.Millisecond
	// commonLoad is the load of most experiments as a share of the slots.
	commonLoad = 0.5
	// overloadServiceTime keeps the number of searches in an overload small
	// enough for the machine.
	overloadServiceTime = 40 * time.Millisecond
	// lightLoad is the load of straggler-light.
	lightLoad = 0.25
	// nodes is the number of entry nodes of most experiments.
	nodes = 3
)

// All returns every experiment, in the order of the bench.
func All() []Experiment {
	all := []Experiment{
		common("steady", "nothing happens", Part{}),
		common("straggler", "one replica runs 20 times slower", Part{Fault: straggle, Slow: slowFirst(stragglerFactor)}),
		common("replica-lost", "one replica of each shard crashes", Part{Fault: loseThird, Slow: slowThird(gone)}),
		common("silent-connections", "all connections to a third of the searchers go silent", Part{Fault: silenceThird}),
		common("rolling-version", "searcher by searcher takes up a new index version", Part{Fault: rollVersion}),
		common("repartition", "4 shards become 6 while queries run", Part{Fault: repartition}),
		common("drain-third", "a third of the searchers drains and leaves", Part{Fault: drainThird, Slow: slowThird(gone)}),
		common("lying-load", "a third straggles and reports no load, a third reports to be busy", Part{Fault: lie, Slow: slowThird(liarFactor)}),
	}
	return append(all, lightStraggler(), overload(), flood(), chapecoSizes(), saryarkaSizes(), wide())
}

// common is an experiment on one service of 4 shards with 3 replicas each.
func common(name, about string, during Part) Experiment {
	during.Length, during.Load = duringLength, commonLoad
	return Experiment{
		Name: name, About: about, Entries: nodes,
		Services: []testbed.ServiceShape{coreShape("lots")}, Measured: 1,
		Deadline: shortDeadline, ClientDelay: time.Millisecond,
		Before: Part{Length: beforeLength, Load: commonLoad},
		During: during,
	}
}

// lightStraggler is the straggler at a load at which the shard's other two
// replicas are far from full: at half of the slots even the floor is slower
// than before the fault.
func lightStraggler() Experiment {
	e := common("straggler-light", "one replica runs 20 times slower, at a lighter load",
		Part{Fault: straggle, Slow: slowFirst(stragglerFactor)})
	e.Before.Load, e.During.Load = lightLoad, lightLoad
	return e
}

func overload() Experiment {
	e := common("overload", "twice the load that the slots carry", Part{})
	e.Services[0].ServiceTime = overloadServiceTime
	e.During.Load = 2
	return e
}

func flood() Experiment {
	e := common("flood", "another service gets 4 times what its slots carry", Part{})
	other := coreShape("flooded")
	other.Searchers = other.Shards
	other.ServiceTime = 40 * time.Millisecond
	e.Services = append(e.Services, other)
	e.During.Others = 4
	return e
}

func chapecoSizes() Experiment {
	e := common("chapeco", "the sizes of Chapecó, one searcher of each service runs 20 times slower", Part{Fault: straggle, Slow: slowFirst(stragglerFactor)})
	e.Services = chapeco()
	e.Measured = len(e.Services)
	e.Before.Load, e.During.Load = userLoad, userLoad
	return e
}

func saryarkaSizes() Experiment {
	e := common("saryarka", "the sizes of Saryarka, one searcher in each service crashes", Part{Fault: loseFirst, Slow: slowFirst(gone)})
	e.Services = saryarka()
	e.Measured = len(e.Services)
	e.ClientDelay = 3 * time.Millisecond
	e.Before.Load, e.During.Load = userLoad, userLoad
	return e
}

func wide() Experiment {
	e := common("wide", "each query goes to 1,200 small stand-ins", Part{})
	e.Entries = 1
	e.Services = []testbed.ServiceShape{wideShape()}
	e.Deadline = time.Second
	e.Even = true
	e.Before.Length = 0
	e.During.Load = wideRate / e.Services[0].Capacity()
	return e
}

const (
	// userLoad is the load of the users' sizes as a share of the slots.
	userLoad = 0.15
	// wideRate is the number of queries a second to 1,200 stand-ins.
	wideRate = 4
)
