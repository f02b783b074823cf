package forward

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

// The bounds on what a target with a rate limit may get: within limitWindow at most
// limitTolerance times as much, and limitSlack requests. Counted are the nodes that were
// told of the limit toldBefore or longer ago, from limitContact after it was first named.
const (
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	limitContact   = 4 * time.Second
	toldBefore     = 500 * time.Millisecond
)

// fleet runs the states of several nodes in virtual time against the targets of one pool,
// one in each of the first data centres.
type fleet struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	events  eventQueue
	nodes   []*harness
	limits  map[api.TargetID]float64
	work    time.Duration
	namedAt map[api.TargetID]time.Time
	told    map[toldNode]time.Time
	// arrivals holds when requests of told nodes reached each target, received counts all.
	arrivals map[api.TargetID][]time.Time
	received map[api.TargetID]int
	answered int
	refusals []Refuse
}

// toldNode is a node and a target that has told it of its limit.
type toldNode struct {
	node   int
	target api.TargetID
}

// newFleet returns a fleet with a number of nodes in each data centre and three targets.
func newFleet(t *testing.T, perDataCentre ...int) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(24, 1)), now: time.Unix(1_000_000, 0),
		limits: map[api.TargetID]float64{}, work: 10 * time.Millisecond,
		namedAt: map[api.TargetID]time.Time{}, told: map[toldNode]time.Time{},
		arrivals: map[api.TargetID][]time.Time{}, received: map[api.TargetID]int{},
	}
	counts := map[string]int{}
	for i, count := range perDataCentre {
		counts[fmt.Sprintf("dc%d", i)] = count
	}
	for i, count := range perDataCentre {
		for range count {
			h := newHarness(t, nil)
			h.state = New(Options{DataCentre: fmt.Sprintf("dc%d", i), Budget: testBudget})
			f.nodes = append(f.nodes, h)
			h.apply(NodesChanged{PerDataCentre: counts})
			h.apply(TableInstalled{Table: newTable(1, gatherRoute("h", "a"))})
			for target := range 3 {
				h.addTarget(fmt.Sprintf("t%d", target), "a", fmt.Sprintf("dc%d", target))
			}
		}
	}
	return f
}

func (f *fleet) schedule(d time.Duration, run func()) {
	heap.Push(&f.events, scheduledEvent{f.now.Add(d), run})
}

// run sends requests at random times and to random nodes for a while.
func (f *fleet) run(perSecond float64, d time.Duration) {
	end := f.now.Add(d)
	var next func()
	next = func() {
		node := f.random.IntN(len(f.nodes))
		h := f.nodes[node]
		h.lastRequest++
		f.handle(node, RequestArrived{
			Request: h.lastRequest, Host: "h", Path: "/a/x",
			Deadline: f.now.Add(2 * time.Second), Seed: f.random.Uint64(),
		})
		f.schedule(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
	for len(f.events) > 0 && f.events[0].at.Before(end) {
		e := heap.Pop(&f.events).(scheduledEvent)
		f.now = e.at
		e.run()
	}
	f.events, f.now = nil, end
}

// handle applies an event to a node and has targets and timers act on its effects.
func (f *fleet) handle(node int, ev Event) {
	h := f.nodes[node]
	h.now = f.now
	for _, e := range h.apply(ev) {
		switch e := e.(type) {
		case Send:
			f.receive(node, e)
		case SetTimer:
			f.schedule(max(0, e.At.Sub(f.now)), func() { f.handle(node, TimerFired{Request: e.Request}) })
		case Merge:
			f.answered++
		case Refuse:
			f.refusals = append(f.refusals, e)
		}
	}
	h.allEffects = nil
}

// receive has a target run a request. Its reply names the limit of that moment.
func (f *fleet) receive(node int, send Send) {
	f.received[send.Target]++
	edge := toldNode{node, send.Target}
	if at, told := f.told[edge]; told && f.now.Sub(at) >= toldBefore {
		f.arrivals[send.Target] = append(f.arrivals[send.Target], f.now)
	}
	f.schedule(f.work, func() {
		limit := RateLimit{Known: true}
		limit.PerSecond, limit.Named = f.limits[send.Target]
		if _, named := f.namedAt[send.Target]; limit.Named && !named {
			f.namedAt[send.Target] = f.now
		}
		if _, told := f.told[edge]; limit.Named && !told {
			f.told[edge] = f.now
		}
		f.handle(node, AttemptEnded{Attempt: send.Attempt, Outcome: OutcomeSuccess, Status: http.StatusOK, Limit: limit})
	})
}

// checkLimits checks what the targets with a limit got.
func (f *fleet) checkLimits() {
	f.t.Helper()
	for target, perSecond := range f.limits {
		allowed := int(limitTolerance*perSecond*limitWindow.Seconds() + limitSlack)
		arrivals, most, first := f.arrivals[target], 0, 0
		for i, at := range arrivals {
			for !arrivals[first].After(at.Add(-limitWindow)) {
				first++
			}
			if at.Sub(f.namedAt[target]) >= limitContact {
				most = max(most, i+1-first)
			}
		}
		assert.Check(f.t, most <= allowed, "%s got %d requests within %v, allowed are %d", target, most, limitWindow, allowed)
	}
}

// TestLimitedTargetGetsNoMoreThanItNames guards against targets that get more from all
// nodes together than the rate limit that they name.
//
// fault: overload x forward
func TestLimitedTargetGetsNoMoreThanItNames(t *testing.T) {
	cases := []struct {
		name          string
		perDataCentre []int
		perSecond     float64
		limits        map[api.TargetID]float64
	}{
		{"6 nodes, two targets limited", []int{3, 1, 2}, 180, map[api.TargetID]float64{"t0": 30, "t1": 29.3}},
		{"6 nodes, all targets limited", []int{3, 1, 2}, 180, map[api.TargetID]float64{"t0": 30, "t1": 25, "t2": 35}},
		{"6 nodes, all targets limited to little", []int{3, 1, 2}, 180, map[api.TargetID]float64{"t0": 2, "t1": 1, "t2": 0.5}},
		{"a node alone", []int{1}, 100, map[api.TargetID]float64{"t0": 20}},
		{"300 nodes, two targets limited", []int{50, 50, 50, 50, 50, 50}, 96, map[api.TargetID]float64{"t0": 16, "t1": 16}},
		{"300 nodes, all targets limited", []int{50, 50, 50, 50, 50, 50}, 96, map[api.TargetID]float64{"t0": 16, "t1": 16, "t2": 16}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, tc.perDataCentre...)
			f.run(tc.perSecond, 10*time.Second)
			f.limits = tc.limits
			f.run(tc.perSecond, time.Minute)
			f.checkLimits()
		})
	}
}
