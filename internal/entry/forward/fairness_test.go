package forward

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/quarantine"
)

// crowd is a number of accounts whose callers all behave alike.
type crowd struct {
	name     string
	accounts int
	host     string
	// usual and overload are the requests per second of each account in the two phases.
	usual, overload float64
	// hasty callers send again at once when they are refused.
	hasty bool
	// as is the number of the crowd whose accounts this one uses.
	as int
}

// outcome counts the requests of a crowd that began during the overload.
type outcome struct {
	asked, served, late int
	// refusals counts refused attempts, lateRefusals those after more than a quarter of the
	// goal, and slowest is the longest time until one.
	refusals, lateRefusals int
	slowest                time.Duration
}

func (o outcome) fraction() float64 { return float64(o.served) / float64(max(1, o.asked)) }

func (o outcome) String() string {
	return fmt.Sprintf("%d asked, %.1f%% served (%.1f%% late), %d refusals, the slowest after %v, %d late",
		o.asked, 100*o.fraction(), 100*float64(o.late)/float64(max(1, o.asked)), o.refusals, o.slowest, o.lateRefusals)
}

// play is a pool of targets that is given load in virtual time.
type play struct {
	*harness
	random   *rand.Rand
	fair     bool
	crowds   []crowd
	outcomes []outcome
	queue    playQueue
	number   int
	callers  map[RequestID]*playCaller
	timers   map[RequestID]time.Time
	slots    map[api.TargetID]*playTarget
	began    time.Time // of the overload
}

type playCaller struct {
	crowd, account int
	started, sent  time.Time
	content        int
}

type playTarget struct {
	busy    int
	waiting []Send
}

type playEvent struct {
	at     time.Time
	number int
	run    func()
}

type playQueue []playEvent

func (q playQueue) Len() int { return len(q) }
func (q playQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].number < q[j].number
}
func (q playQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *playQueue) Push(e any)   { *q = append(*q, e.(playEvent)) }
func (q *playQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	playTimeout = 2500 * time.Millisecond
	playGoal    = 400 * time.Millisecond
	playWork    = 30 * time.Millisecond
	playUsual   = 15 * time.Second
	playLength  = 20 * time.Second
)

func newPlay(t *testing.T, fair bool, targets int, routes []api.Route, crowds ...crowd) *play {
	table := newTable(1, routes...)
	if fair {
		for i, c := range crowds {
			for j := range c.accounts {
				if c.as != i {
					continue
				}
				table = withAccounts(table, api.ClientAccount{Name: fmt.Sprint(i, "-", j)})
			}
		}
	}
	p := &play{
		harness: newHarness(t, table), random: rand.New(rand.NewPCG(1, 2)), fair: fair, crowds: crowds, outcomes: make([]outcome, len(crowds)),
		callers: map[RequestID]*playCaller{}, timers: map[RequestID]time.Time{}, slots: map[api.TargetID]*playTarget{},
	}
	for _, pool := range table.Pools {
		for i := range targets {
			id := fmt.Sprint(pool.Name, i)
			p.addTarget(id, pool.Name, home)
			p.slots[api.TargetID(id)] = &playTarget{}
		}
	}
	return p
}

func (p *play) after(d time.Duration, run func()) {
	p.number++
	heap.Push(&p.queue, playEvent{p.now.Add(d), p.number, run})
}

// arriveNext has an account send its next request after a random time.
func (p *play) arriveNext(c, account int) {
	rate := p.crowds[c].usual
	if !p.now.Before(p.began) {
		rate = p.crowds[c].overload
	}
	p.after(time.Duration(p.random.ExpFloat64()/rate*float64(time.Second)), func() {
		p.number++
		caller := &playCaller{crowd: c, account: account, started: p.now, content: p.number}
		if p.counts(caller) {
			p.outcomes[c].asked++
		}
		p.attempt(caller)
		p.arriveNext(c, account)
	})
}

func (p *play) counts(c *playCaller) bool {
	return !c.started.Before(p.began) && c.started.Before(p.began.Add(playLength-playTimeout))
}

func (p *play) attempt(c *playCaller) {
	left := c.started.Add(playTimeout).Sub(p.now)
	if left <= 20*time.Millisecond {
		return
	}
	p.lastRequest++
	c.sent = p.now
	p.callers[p.lastRequest] = c
	ev := RequestArrived{
		Request: p.lastRequest, Host: p.crowds[c.crowd].host, Path: "/a/x", Deadline: p.now.Add(left), Seed: p.random.Uint64(),
		Fingerprint: quarantine.NewFingerprint("GET", "h", fmt.Sprint(c.content), nil),
	}
	if p.fair {
		digest := api.DigestKey(fmt.Sprint(p.crowds[c.crowd].as, "-", c.account))
		ev.Key = &digest
	}
	p.step(ev)
}

func (p *play) step(ev Event) {
	for _, e := range append([]Effect(nil), p.state.Reduce(p.now, ev)...) {
		switch e := e.(type) {
		case Send:
			p.work(e)
		case SetTimer:
			p.timers[e.Request] = e.At
			p.after(e.At.Sub(p.now), func() {
				if p.timers[e.Request].Equal(e.At) {
					p.step(TimerFired{Request: e.Request})
				}
			})
		case Relay:
			p.answer(e.Request)
		case Merge:
			p.answer(e.Request)
		case Refuse:
			p.refuse(e)
		}
	}
}

// work runs a request at its target, which has three slots and a queue.
func (p *play) work(e Send) {
	t := p.slots[e.Target]
	if t.busy == 3 {
		t.waiting = append(t.waiting, e)
		return
	}
	t.busy++
	p.after(time.Duration((0.8+0.4*p.random.Float64())*float64(playWork)), func() {
		t.busy--
		if len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			p.work(next)
		}
		p.step(AttemptEnded{Attempt: e.Attempt, Outcome: OutcomeSuccess, Status: 200})
	})
}

func (p *play) answer(id RequestID) {
	c := p.callers[id]
	delete(p.callers, id)
	if !p.counts(c) {
		return
	}
	p.outcomes[c.crowd].served++
	if p.now.Sub(c.started) > playGoal {
		p.outcomes[c.crowd].late++
	}
}

func (p *play) refuse(e Refuse) {
	c := p.callers[e.Request]
	delete(p.callers, e.Request)
	if p.counts(c) {
		o, took := &p.outcomes[c.crowd], p.now.Sub(c.sent)
		o.refusals++
		o.slowest = max(o.slowest, took)
		if took > playGoal/4 {
			o.lateRefusals++
		}
	}
	wait := e.RetryAfter
	if p.crowds[c.crowd].hasty {
		wait = 20 * time.Millisecond
	}
	p.after(wait, func() { p.attempt(c) })
}

// run plays the usual load and then the overload, and returns what became of each crowd and
// of all requests.
func (p *play) run() (outcomes []outcome, all outcome) {
	p.began = p.now.Add(playUsual)
	for c := range p.crowds {
		for account := range p.crowds[c].accounts {
			p.arriveNext(c, account)
		}
	}
	for end := p.began.Add(playLength); p.queue[0].at.Before(end); {
		e := heap.Pop(&p.queue).(playEvent)
		p.now = e.at
		e.run()
	}
	for c, o := range p.outcomes {
		p.t.Logf("%s: %v", p.crowds[c].name, o)
		all.asked += o.asked
		all.served += o.served
	}
	return p.outcomes, all
}

func playRoute(host string, priority int) api.Route {
	r := plainRoute(host, "p", true)
	r.Timeout, r.Goal, r.Priority, r.Attempts = playTimeout, playGoal, priority, 1
	return r
}

// TestOneAccountFarAboveItsRate plays one account at nine times its rate beside eighty small
// ones at targets that can serve about 200 requests a second, before with one queue for all
// and with fair shares: the small ones must be served as if it weren't there.
//
// fault: greedy-account x forward
func TestOneAccountFarAboveItsRate(t *testing.T) {
	for _, c := range []struct {
		targets int
		least   float64 // the fraction of the small accounts' requests that must be served
	}{{2, 0.97}, {1, 0.4}} {
		for _, fair := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d targets, fair %v", c.targets, fair), func(t *testing.T) {
				p := newPlay(t, fair, c.targets, []api.Route{playRoute("h", 1)},
					crowd{name: "small", accounts: 80, host: "h", usual: 2, overload: 2},
					crowd{name: "greedy", accounts: 1, as: 1, host: "h", usual: 20, overload: 180})
				outcomes, all := p.run()
				if !fair {
					return
				}
				small, greedy := outcomes[0], outcomes[1]
				assert.Assert(t, small.fraction() >= c.least)
				assert.Assert(t, small.fraction() >= all.fraction())
				assert.Assert(t, greedy.fraction() >= all.fraction()/4)
				assert.Assert(t, float64(small.lateRefusals) <= 0.02*float64(small.refusals)+5)
			})
		}
	}
}

// TestGreedyGathers has the account far above its rate send gathers over the pool that small
// accounts read: each part must count.
//
// fault: greedy-account x forward
func TestGreedyGathers(t *testing.T) {
	for _, fair := range []bool{false, true} {
		t.Run(fmt.Sprint("fair ", fair), func(t *testing.T) {
			wide := gatherRoute("wide", "p", "q", "r", "s")
			wide.Timeout, wide.Goal, wide.Priority, wide.Attempts = playTimeout, playGoal, 1, 1
			p := newPlay(t, fair, 1, []api.Route{playRoute("h", 1), wide},
				crowd{name: "small", accounts: 20, host: "h", usual: 2, overload: 2},
				crowd{name: "small gathers", accounts: 10, as: 1, host: "wide", usual: 2, overload: 2},
				crowd{name: "greedy gathers", accounts: 1, as: 2, host: "wide", usual: 10, overload: 90})
			outcomes, all := p.run()
			if !fair {
				return
			}
			for _, o := range outcomes[:2] {
				assert.Assert(t, o.fraction() >= 0.95)
				assert.Assert(t, float64(o.lateRefusals) <= 0.02*float64(o.refusals)+5)
			}
			assert.Assert(t, outcomes[2].fraction() >= all.fraction()/4)
		})
	}
}

// TestFlowsAreLimited: accounts that come and go must not fill the memory, and an account that
// has just come must not wait for others' past.
func TestFlowsAreLimited(t *testing.T) {
	var f fairness
	now := time.Unix(1_000_000, 0)
	for i := range 2 * maxFlows {
		of := f.flowOf(now, flowKey{fmt.Sprint(i), 1})
		f.offer(now, of)
		f.serve(now, of, false)
	}
	assert.Equal(t, len(f.flows), maxFlows+1)
	f.serve(now, f.flowOf(now, flowKey{"0", 1}), true)
	now = now.Add(idleFlowTime + time.Second)
	late := f.flowOf(now, flowKey{"late", 2})
	f.offer(now, late)
	assert.Equal(t, len(f.flows), 1)
	assert.Equal(t, len(f.list), 1)
	assert.Equal(t, len(f.classes), 1)
	ahead, least := f.waitOf(now, late, 0)
	assert.Assert(t, ahead == 0 && least == 0)
}

// TestUrgentRequestsUnderOverload: the more urgent ones are served first, and the others at
// least a quarter as often as all.
func TestUrgentRequestsUnderOverload(t *testing.T) {
	p := newPlay(t, true, 1, []api.Route{playRoute("urgent", 0), playRoute("other", 3)},
		crowd{name: "urgent", accounts: 20, host: "urgent", usual: 2, overload: 6},
		crowd{name: "other", accounts: 20, as: 1, host: "other", usual: 2, overload: 6})
	outcomes, all := p.run()
	assert.Assert(t, outcomes[0].fraction() > outcomes[1].fraction())
	assert.Assert(t, outcomes[1].fraction() >= all.fraction()/4)
}

// TestHastyCallers: those that retry at once must not be served more often than those of the
// same account that wait as they are told.
func TestHastyCallers(t *testing.T) {
	for _, fair := range []bool{false, true} {
		t.Run(fmt.Sprint("fair ", fair), func(t *testing.T) {
			p := newPlay(t, fair, 1, []api.Route{playRoute("h", 1)},
				crowd{name: "patient", accounts: 5, host: "h", usual: 8, overload: 16},
				crowd{name: "hasty", accounts: 5, host: "h", usual: 8, overload: 16, hasty: true})
			outcomes, _ := p.run()
			if fair {
				assert.Assert(t, outcomes[0].fraction() >= outcomes[1].fraction())
			}
		})
	}
}

// TestOrderWithoutAccounts: a deployment without accounts queues parts by the latest time at
// which sending them is of use, then by priority.
func TestOrderWithoutAccounts(t *testing.T) {
	h := newHarness(t, newTable(1, playRoute("a", 2), playRoute("b", 1)))
	h.addTarget("t1", "p", home)
	for len(h.state.pools["p"].waiting) == 0 {
		h.arrive("a")
	}
	h.arrive("b")
	h.arrive("a")
	var order []string
	for _, w := range h.state.pools["p"].waiting {
		order = append(order, fmt.Sprint(w.request.route.config.Host, w.request.id))
	}
	assert.Equal(t, strings.Join(order, " "), "b7 a6 a8")
	assert.Equal(t, len(h.state.pools["p"].fairness.flows), 0)
}
