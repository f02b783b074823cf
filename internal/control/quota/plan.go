package quota

import (
	"time"

	"wigeonbay/internal/controlrpc"
)

// Limit is the quota of an account: requests per second, and a number in addition. A Rate of 0
// means no limit.
type Limit struct {
	Rate  float64
	Burst float64
}

// plan holds what follows from a limit and the rules.
type plan struct {
	rate     float64
	capacity float64
	// start is what the bucket holds when a leader takes office.
	start    float64
	validity time.Duration
}

const (
	// maxValidity is shorter than the time in which a changed table must be in force
	// (4 s), so that no token granted under an earlier limit is left by then.
	maxValidity = 3500 * time.Millisecond
	// enoughValidity lets a node ask about twice a second.
	enoughValidity = time.Second
	// minValidity is a few round trips between regions. Tokens that last less would expire
	// before nodes use them.
	minValidity = 200 * time.Millisecond
	// useDelay bounds the usual time between the use of a token and the arrival of the
	// request at a target: queues, the network and another node that it is passed on to.
	useDelay = 80 * time.Millisecond
	// fillTime is the time between calls of a node for which a bucket has room to fill. With
	// less, a part of the rate would be lost.
	fillTime = 140 * time.Millisecond

	// reservePart of the excess that the rules allow is for clocks that run at different rates
	// and for requests that take longer than useDelay.
	reservePart = 0.1
	// leaderChanges is how many times a window may see the start allowance of a new leader:
	// startPart of the excess, or leastStart if that isn't more than mostStartPart of it.
	leaderChanges = 2
	startPart     = 0.04
	leastStart    = 1
	mostStartPart = 0.1
	// A bucket holds tokens beyond the burst for those that nodes keep for expected requests:
	// leastFloat, or floatPart of the excess, but not more than mostFloatPart of it.
	leastFloat     = 2
	floatPart      = 0.06
	mostFloatPart  = 0.15
	minBucketLevel = 1
	// leastRatePart of its rate is what an account gets in any case. Rules that allow less
	// than two requests in a window can't be kept and serve the account as well.
	leastRatePart = 0.1
	// Of what is left beyond enoughValidity, longerPart makes tokens valid for longer,
	// roomPart makes buckets larger, and the rest the start allowance.
	longerPart = 0.3
	roomPart   = 0.5
)

// newPlan returns the plan for a limit with a rate above 0. In any window
// rate x (window + validity + useDelay) + capacity + leaderChanges x start
// is at most what the rules allow, less the reserve.
func newPlan(limit Limit, rules controlrpc.QuotaRules) plan {
	window := rules.Window.Seconds()
	excess := max(0, rules.Overshoot*(limit.Rate*window+limit.Burst)+rules.Slack)
	allowed := limit.Rate*window + limit.Burst + (1-reservePart)*excess
	p := plan{
		rate:     limit.Rate,
		start:    min(max(leastStart, startPart*excess), mostStartPart*excess),
		capacity: max(minBucketLevel, limit.Burst+min(max(leastFloat, floatPart*excess), mostFloatPart*excess)),
	}
	// left is what the rules allow beyond the plan with the least validity.
	least := (minValidity + useDelay).Seconds()
	left := allowed - leaderChanges*p.start - p.capacity - limit.Rate*(window+least)
	if left < 0 {
		// A smaller burst makes room for the least validity, then a lower rate does.
		p.validity = minValidity
		p.capacity = max(minBucketLevel, p.capacity+left)
		p.rate = (allowed - leaderChanges*p.start - p.capacity) / (window + least)
		p.rate = max(leastRatePart*limit.Rate, min(p.rate, limit.Rate))
		return p
	}
	room := min(left, max(0, fillTime.Seconds()*limit.Rate-p.capacity))
	p.capacity += room
	left -= room
	validity := minValidity.Seconds() + min(left/limit.Rate, (enoughValidity-minValidity).Seconds())
	left -= limit.Rate * (validity - minValidity.Seconds())
	longer := max(0, min(longerPart*left, limit.Rate*(maxValidity.Seconds()-validity)))
	left = max(0, left-longer)
	p.validity = time.Duration((validity + longer/limit.Rate) * float64(time.Second))
	p.capacity += roomPart * left
	p.start = min(p.capacity, p.start+(1-roomPart)*left/leaderChanges)
	return p
}
