package forward

import (
	"math"
	"slices"
	"time"
)

// Where a pool is short of targets, the more urgent requests come first, and among equally
// urgent ones each client account gets a share of the pool in proportion to its usual rate:
// start-time fair queueing over parts. An account that sends far more than usual gets what the
// others leave. The usual rate is learned from the parts that were sent, not from those that
// arrived, so that an account can't raise its share while the pool is short. The decisions
// here know parts as units of work and read no State.

const (
	// recentTime is the time over which the fraction of an account's parts that is sent is
	// averaged, usualTime that of its usual rate.
	recentTime = 4 * time.Second
	usualTime  = 2 * time.Minute
	// weightInterval is the time between two computations of the weights.
	weightInterval = 250 * time.Millisecond
	// leastServed is the fraction of a flow's parts that has to be sent, relative to that of the
	// other parts of the pool. The rule is a quarter; the rest covers the delay of the averages.
	leastServed = 0.3
	// minOffered is the number of recent parts of a flow from which that fraction is known.
	minOffered = 4
	// maxFlows limits the flows of a pool. Accounts beyond it share one flow.
	maxFlows = 4096
	// idleFlowTime is how long a flow is kept without parts.
	idleFlowTime = 5 * usualTime
	// progressInterval is the least time over which the progress of a class is measured,
	// progressWeight the weight of the newest measurement.
	progressInterval = 100 * time.Millisecond
	progressWeight   = 0.3
	// burstCredit is how much of its share a flow may make up for, in the virtual time in
	// which it sends its weight once. Without it an account with two requests a second has
	// every second one refused while the pool is short.
	burstCredit = 2.0
	// leastRate is the least usual rate, in parts per second.
	leastRate = 0.1
)

// flowKey identifies the parts of an account, "" for requests without one, with a priority.
type flowKey struct {
	account  string
	priority int
}

// average is an exponentially decaying sum of counts.
type average struct {
	sum float64
	at  time.Time
}

func (a *average) add(now time.Time, count float64, over time.Duration) {
	a.sum = a.value(now, over) + count
	a.at = now
}

func (a *average) value(now time.Time, over time.Duration) float64 {
	return a.sum * math.Exp(-float64(now.Sub(a.at))/float64(over))
}

// flow holds what a pool knows of the parts with one key.
type flow struct {
	flowKey
	class           *class
	since           time.Time
	offered, served average // recent
	usual           average
	// weight is the share of the pool, in parts per second.
	weight float64
	// finish is the virtual time at which the flow's last part has used up its share.
	finish float64
	// turn is the turn of the next part, as of a round of fairness.
	turn  turn
	round uint64
	// queued is the number of queued parts, as of countRound.
	queued     int
	countRound uint64
}

// class holds the progress of the flows with one priority.
type class struct {
	// virtual is the virtual time: the greatest at which a part of the class was sent.
	virtual float64
	// progress is the virtual time per second while parts were queued, 0 while unknown. It
	// was measured up to sampledAt, when the virtual time was sampled.
	progress  float64
	sampledAt time.Time
	sampled   float64
	// mean is the mean usual rate of the flows.
	mean float64
}

// fairness divides a pool among flows.
type fairness struct {
	flows map[flowKey]*flow
	// list holds the flows in the order in which they came, so that sums don't depend on the
	// order of a map.
	list            []*flow
	classes         map[int]*class
	offered, served average
	weightedAt      time.Time
	// round counts the choices among the queued parts, and the counts of them. counted holds
	// the flows that have parts in the current count.
	round   uint64
	counted []*flow
}

// flowOf returns the flow with a key.
func (f *fairness) flowOf(now time.Time, key flowKey) *flow {
	known := f.flows[key]
	if known == nil && len(f.flows) >= maxFlows && key.account != "" {
		return f.flowOf(now, flowKey{priority: key.priority})
	}
	if known != nil {
		return known
	}
	if f.flows == nil {
		f.flows, f.classes = map[flowKey]*flow{}, map[int]*class{}
	}
	if f.classes[key.priority] == nil {
		f.classes[key.priority] = &class{}
	}
	c := f.classes[key.priority]
	added := &flow{flowKey: key, class: c, since: now, weight: max(leastRate, c.mean)}
	f.flows[key] = added
	f.list = append(f.list, added)
	return added
}

// offer counts a part that has arrived.
func (f *fairness) offer(now time.Time, of *flow) {
	of.offered.add(now, 1, recentTime)
	f.offered.add(now, 1, recentTime)
	if now.Sub(f.weightedAt) >= weightInterval {
		f.weigh(now)
	}
}

// start returns the virtual time of the flow's next part. A flow that has sent less than its
// share comes before the others with its next parts, as callers don't send at even intervals.
func (of *flow) start() float64 { return max(of.class.virtual-burstCredit, of.finish) }

// serve counts a part that is sent. queued reports that other parts have to wait.
func (f *fairness) serve(now time.Time, of *flow, queued bool) {
	c := of.class
	start := of.start()
	c.virtual = max(c.virtual, start)
	of.finish = start + 1/of.weight
	c.measure(now, queued)
	of.served.add(now, 1, recentTime)
	of.usual.add(now, 1, usualTime)
	f.served.add(now, 1, recentTime)
}

// measure updates the progress of a class of which a part was sent.
func (c *class) measure(now time.Time, queued bool) {
	switch elapsed := now.Sub(c.sampledAt); {
	case !queued:
		c.progress, c.sampledAt = 0, time.Time{}
		return
	case c.sampledAt.IsZero():
	case elapsed < progressInterval:
		return
	default:
		newest := (c.virtual - c.sampled) / elapsed.Seconds()
		if c.progress == 0 {
			c.progress = newest
		}
		c.progress += progressWeight * (newest - c.progress)
	}
	c.sampledAt, c.sampled = now, c.virtual
}

// usualRate returns the parts of a flow that are usually sent, per second.
func (of *flow) usualRate(now time.Time) float64 {
	age := max(now.Sub(of.since), time.Second)
	known := usualTime.Seconds() * (1 - math.Exp(-float64(age)/float64(usualTime)))
	return max(leastRate, of.usual.value(now, usualTime)/known)
}

// weigh computes the weights. A flow's is its usual rate, at least the mean of its class: one
// that is new here, as its callers have come from another node, isn't held to a rate that is
// not known.
func (f *fairness) weigh(now time.Time) {
	f.weightedAt = now
	type total struct{ rate, flows float64 }
	totals := map[int]total{}
	f.list = slices.DeleteFunc(f.list, func(of *flow) bool {
		idle := now.Sub(later(of.since, later(of.offered.at, of.served.at))) > idleFlowTime
		if idle {
			delete(f.flows, of.flowKey)
		}
		return idle
	})
	for _, of := range f.list {
		of.weight = of.usualRate(now)
		t := totals[of.priority]
		totals[of.priority] = total{t.rate + of.weight, t.flows + 1}
	}
	for priority, c := range f.classes {
		t := totals[priority]
		if t.flows == 0 {
			delete(f.classes, priority)
			continue
		}
		c.mean = t.rate / t.flows
	}
	for _, of := range f.list {
		of.weight = max(of.weight, of.class.mean)
	}
}

// starved returns the fraction of a flow's recent parts that was sent, and whether that is too
// small beside that of the other parts.
func (f *fairness) starved(now time.Time, of *flow) (float64, bool) {
	offered, served := of.offered.value(now, recentTime), of.served.value(now, recentTime)
	if offered < minOffered {
		return 1, false
	}
	fraction := served / offered
	otherOffered, otherServed := f.offered.value(now, recentTime)-offered, f.served.value(now, recentTime)-served
	return fraction, otherOffered > 0 && fraction < leastServed*otherServed/otherOffered
}

// turn orders the parts that wait for a pool.
type turn struct {
	// late parts can't be answered in time and come last, starved ones first. Parts with last
	// set come after the others that are starved, or not starved, like them.
	late     bool
	last     bool
	starved  bool
	fraction float64
	priority int
	start    float64
	// fresh is set for callers that have not been refused before. They come after the others
	// of their account.
	fresh bool
}

// before reports whether a part with turn a is sent before one with turn b.
func (a turn) before(b turn) bool {
	switch {
	case a.late != b.late:
		return b.late
	case a.starved != b.starved:
		return a.starved
	case a.starved && a.fraction != b.fraction:
		return a.fraction < b.fraction
	case a.last != b.last:
		return b.last
	case a.priority != b.priority:
		return a.priority < b.priority
	case a.start != b.start:
		return a.start < b.start
	default:
		return !a.fresh && b.fresh
	}
}

// turnOf returns the turn of a flow's next part.
func (f *fairness) turnOf(now time.Time, of *flow) turn {
	if of.round != f.round {
		of.round, of.turn = f.round, turn{priority: of.priority, start: of.start()}
		of.turn.fraction, of.turn.starved = f.starved(now, of)
	}
	return of.turn
}

// beginCount begins to count the queued parts of the flows.
func (f *fairness) beginCount() {
	f.round++
	f.counted = f.counted[:0]
}

// count counts a queued part of a flow.
func (f *fairness) count(of *flow) {
	if of.countRound != f.round {
		of.countRound, of.queued = f.round, 0
		f.counted = append(f.counted, of)
	}
	of.queued++
}

// waitOf returns how many of the counted parts come before a further part of a flow, of which
// own are queued, and how long it takes at least by the progress of its class.
func (f *fairness) waitOf(now time.Time, of *flow, own int) (ahead int, least time.Duration) {
	if _, starved := f.starved(now, of); starved {
		// Its turn comes whenever the fraction falls, as often as it has come lately.
		if rate := of.served.value(now, recentTime) / recentTime.Seconds(); rate > 0 {
			least = time.Duration(min(float64(own)/rate, recentTime.Seconds()) * float64(time.Second))
		}
		return own, least
	}
	c := of.class
	start := of.start() + float64(own)/of.weight
	ahead = own
	for _, other := range f.counted {
		switch {
		case other == of || other.priority > of.priority:
		case other.priority < of.priority:
			ahead += other.queued
		default:
			before := (start - other.start()) * other.weight
			ahead += int(min(math.Ceil(max(0, before)), float64(other.queued)))
		}
	}
	if progress := c.currentProgress(now); progress > 0 {
		least = time.Duration(min(max(0, start-c.virtual)/progress, recentTime.Seconds()) * float64(time.Second))
	}
	return ahead, least
}

// currentProgress returns the progress of a class, which decays to what was measured last if no
// part of it is sent any more; 0 while unknown.
func (c *class) currentProgress(now time.Time) float64 {
	since := now.Sub(c.sampledAt)
	if c.progress == 0 || since <= progressInterval {
		return c.progress
	}
	newest := (c.virtual - c.sampled) / since.Seconds()
	return min(c.progress, newest+c.progress*math.Exp(-float64(since)/float64(recentTime)))
}
