package forward

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/capacity"
	"wigeonbay/internal/entry/isolation"
)

const (
	// replyWeight is the weight of the newest reply in a target's slowdown. That of a
	// late reply is lateReplyWeight times the late streak. When a target pauses, many
	// replies are late together, so only one in lateReplyInterval counts.
	replyWeight       = 0.08
	lateReplyWeight   = 0.15
	lateReplyInterval = 300 * time.Millisecond
	// reportedSlowdownWeight is the weight of a slowdown that the target reports
	// itself. The target shares its VM with others, so one report may reflect only a
	// moment.
	reportedSlowdownWeight = 0.5
	// slowdownHalfLife is the half-life of the measured slowdown without further
	// replies. It makes sure that a slow target is eventually tried again.
	slowdownHalfLife = 1500 * time.Millisecond
	// maxLateStreak limits the count of consecutive late replies, which multiplies the
	// half-life: a target that is slow, and not just pausing, is tried again less
	// often.
	maxLateStreak = 4
	// slowerTolerance and fasterTolerance are the deviations from the usual speed that
	// are ignored, as work varies that much from request to request.
	slowerTolerance = 0.25
	fasterTolerance = 0.15
	// errorWeight is the weight of the newest outcome in a target's error fraction.
	errorWeight = 0.2
	// errorHalfLife is the half-life of the error fraction without further outcomes.
	errorHalfLife = 4 * time.Second
	// coldSlowdown is the initial slowdown of a target that is warming up.
	coldSlowdown = 1.6
	// maxSlowdown limits each slowdown sample, so that one stuck reply does not
	// exclude a target for long.
	maxSlowdown = 8.0
	// loadReportLifetime is how long a target's load report is taken into account.
	loadReportLifetime = 250 * time.Millisecond
	// stallFactor times the expected work of a request, adjusted by the target's
	// slowdown, is the age beyond the round trip above which the target counts as
	// stalled. It is also the slowdown sample above which a reply counts as late.
	stallFactor = 2.5
	// minStall is the shortest such age. It allows for scheduling delays and a lost
	// packet.
	minStall = 12 * time.Millisecond
	// minStallTime is the time that a stalled target is expected to need at least. Usual
	// pauses are 120 to 250 ms long and are noticed in the first 50 ms.
	minStallTime = 80 * time.Millisecond
	// failuresToUnreachable is the number of consecutive failures after which a target
	// gets health checks instead of requests.
	failuresToUnreachable = 2
	// minProbeInterval and maxProbeInterval are the bounds of the time between health
	// checks of an unreachable target, which doubles with each failed check.
	minProbeInterval = 250 * time.Millisecond
	maxProbeInterval = 2 * time.Second
)

// target is this node's view of a target.
type target struct {
	announcement api.Announcement
	registration *registration
	pool         *pool
	local        bool
	// share is the number of connections that this node may hold to the target.
	share       int
	outstanding []*attempt
	connections

	// slowdown is how many times as long as usual the target took, as of slowdownAt.
	slowdown   float64
	slowdownAt time.Time
	lateAt     time.Time
	// lateStreak is the number of consecutive late replies counted, at most
	// maxLateStreak. lateAt is the time of the last one.
	lateStreak int
	// learned is what the target's replies say about how many requests it handles well.
	learned capacity.Estimate
	// errorFraction is the moving average of failed requests, as of errorFractionAt.
	errorFraction   float64
	errorFractionAt time.Time
	// othersLoad is the number of other nodes' requests at the target, computed from
	// the load that it reported at othersLoadAt.
	othersLoad   int
	othersLoadAt time.Time
	// atLimitUntil is the time until which the target counts as being at its
	// connection limit.
	atLimitUntil time.Time
	// blockedUntil is the time until which nothing is sent to the target because it is
	// at its connection limit and this node had no connection to it.
	blockedUntil time.Time
	demands
	warmup warmup
	// suspicions are the requests that the target may have crashed on, oldest first.
	suspicions []suspicion
	// lastReply is when the target last answered a request.
	lastReply    time.Time
	unansweredIn isolation.Marker

	// leavingSince is when this node learned that the target, which accepted work, leaves.
	leavingSince time.Time
	// drained is set once its drain time is nearly over.
	drained bool

	// evacuated is set while the target's data centre is evacuated.
	evacuated bool

	failures      int
	unreachable   bool
	probing       bool
	nextProbe     time.Time
	probeInterval time.Duration
}

// connections estimates how many connections to a target are open.
type connections struct {
	// preopened and kept are the numbers opened in advance and kept while idle.
	preopened, kept int
	// open is the number that was in use together when a reply came at openAt.
	open   int
	openAt time.Time
}

const (
	// trimTime is the time after which the driver closes idle connections that are not
	// to be kept.
	trimTime = 1500 * time.Millisecond
	// newConnectionWork is the time in a slot that a target is assumed to need for
	// accepting a connection, beside the round trip.
	newConnectionWork = 6 * time.Millisecond
)

// observeReply records a reply that came while inUse connections were in use.
func (c *connections) observeReply(now time.Time, inUse int) {
	if inUse >= c.open || now.Sub(c.openAt) > trimTime {
		c.open, c.openAt = inUse, now
	}
}

// usable returns the number of connections that are probably open.
func (c *connections) usable(now time.Time) int {
	if now.Sub(c.openAt) > trimTime {
		return max(c.preopened, min(c.open, c.kept))
	}
	return max(c.preopened, c.open)
}

// demands are what a target has said in its replies. Nothing that is announced about its
// incarnation resets them.
type demands struct {
	// leaving is set once the target has said that it leaves.
	leaving bool
	// retryAt is the time until which nothing is sent to the target because it has
	// refused a request with a retry time.
	retryAt time.Time
	// recovering is set with retryAt, until the target runs a request again.
	recovering bool
	limit      targetLimit
}

// pastDemands are the demands of an incarnation that is not in use, as long as another
// registration outranks its own or a departure is believed.
type pastDemands struct {
	incarnation uint64
	demands
}

// pastDemands returns what is to be kept of the target's demands, nil for nothing.
func (t *target) pastDemands() *pastDemands {
	if t.demands == (demands{}) {
		return nil
	}
	return &pastDemands{incarnation: t.announcement.Incarnation, demands: t.demands}
}

// newTarget returns the state of a target that has just become known.
func newTarget(a api.Announcement, now time.Time) *target {
	t := &target{announcement: a, slowdown: 1, slowdownAt: now, errorFractionAt: now}
	if a.State == api.TargetWarming {
		t.slowdown = coldSlowdown
	}
	return t
}

func (t *target) id() api.TargetID { return t.announcement.Target }

func (t *target) acceptsWork() bool {
	return !t.leaving && !t.evacuated && t.announcement.State.AcceptsWork()
}

// heldUntil returns the time until which nothing may be sent to the target; it may be
// in the past.
func (t *target) heldUntil(now time.Time) time.Time {
	return later(t.blockedUntil, t.demandedUntil(now))
}

// demandedUntil returns the time until which the target wants no request from this node;
// it may be in the past.
func (t *target) demandedUntil(now time.Time) time.Time {
	return later(later(t.retryAt, t.limit.allowsAt()), t.warmupAllowsAt(now))
}

// hasRoom reports whether one more request may be sent to the target now. One that is
// full or at its connection limit gets one request of this node at a time, since a
// connection opened before stays usable. So does one whose retry time has just passed,
// as all parts together could overload it again, and one whose rate limit may be over.
func (t *target) hasRoom(now time.Time) bool {
	if now.Before(t.heldUntil(now)) {
		return false
	}
	if t.recovering || t.limit.hasExpired(now) || now.Before(t.atLimitUntil) || t.load(now) >= maxLoadPerSlot*t.capacity(now) {
		return len(t.outstanding) == 0
	}
	return len(t.outstanding) < t.share
}

// markOvertaken marks the attempts sent before a that are still in flight, now that the
// target has answered a. The delay of those is due to their connection or their own
// work, not to the target.
func (t *target) markOvertaken(a *attempt) {
	for _, other := range t.outstanding {
		if other.sent.Before(a.sent) {
			other.overtaken = true
		}
	}
}

func (t *target) remove(a *attempt) {
	for i, other := range t.outstanding {
		if other == a {
			t.outstanding = append(t.outstanding[:i], t.outstanding[i+1:]...)
			return
		}
	}
}

// expectedSlowdown returns the slowdown expected now. It is the measured one less the
// tolerance for usual deviations.
func (t *target) expectedSlowdown(now time.Time) float64 {
	deviation := t.measuredSlowdown(now) - 1
	switch {
	case deviation > slowerTolerance:
		return 1 + deviation - slowerTolerance
	case deviation < -fasterTolerance:
		return 1 + deviation + fasterTolerance
	default:
		return 1
	}
}

// measuredSlowdown returns the slowdown, which decays towards 1 with the time since it
// was measured.
func (t *target) measuredSlowdown(now time.Time) float64 {
	halfLife := slowdownHalfLife * time.Duration(max(1, t.lateStreak))
	return 1 + (t.slowdown-1)*decay(now.Sub(t.slowdownAt), halfLife)
}

// errorRate returns the fraction of requests that is expected to fail now.
func (t *target) errorRate(now time.Time) float64 {
	return t.errorFraction * decay(now.Sub(t.errorFractionAt), errorHalfLife)
}

// decay returns what remains of 1 after the elapsed time, interpolated linearly between
// half-lives and 0 below 1/64.
func decay(elapsed, halfLife time.Duration) float64 {
	left := 1.0
	for elapsed >= halfLife {
		left /= 2
		elapsed -= halfLife
		if left < 1.0/64 {
			return 0
		}
	}
	return left * (1 - 0.5*float64(elapsed)/float64(halfLife))
}

// observeReply updates the slowdown with a reply that took work where usual was
// expected.
func (t *target) observeReply(now time.Time, work, usual time.Duration) {
	if usual <= 0 {
		return
	}
	sample := min(max(float64(work)/float64(usual), 0), maxSlowdown)
	weight := replyWeight
	before := t.measuredSlowdown(now)
	if sample <= stallFactor {
		t.lateStreak = 0
	} else {
		if now.Sub(t.lateAt) < lateReplyInterval {
			return
		}
		t.lateAt = now
		t.lateStreak = min(t.lateStreak+1, maxLateStreak)
		if t.lateStreak == 1 {
			sample = stallFactor // perhaps a pause, which is over now
		} else {
			weight = lateReplyWeight * float64(t.lateStreak)
		}
	}
	t.slowdown = before + weight*(sample-before)
	t.slowdownAt = now
}

// observeError updates the error fraction with the outcome of a request.
func (t *target) observeError(now time.Time, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	t.errorFraction = t.errorRate(now) + errorWeight*(sample-t.errorRate(now))
	t.errorFractionAt = now
}

// observeLoad records a load report that came with a reply.
func (t *target) observeLoad(now time.Time, report LoadReport) {
	if !report.Known {
		return
	}
	t.othersLoad = max(0, report.Running+report.Waiting-len(t.outstanding))
	t.othersLoadAt = now
	t.observeSlowdown(now, report.Slowdown)
}

// observeSlowdown raises the slowdown after a report by the target that its work takes
// longer. A report that is within the tolerance or not above the measured slowdown is
// ignored: it does not outweigh late replies.
func (t *target) observeSlowdown(now time.Time, reported float64) {
	before := t.measuredSlowdown(now)
	if reported = min(reported, maxSlowdown); reported <= max(before, 1+slowerTolerance) {
		return
	}
	t.slowdown = before + reportedSlowdownWeight*(reported-before)
	t.slowdownAt = now
}

// capacity returns how many requests at a time the target handles well, at most its slots.
func (t *target) capacity(now time.Time) float64 {
	return t.learned.Slots(now, t.announcement.Slots)
}

// observeCapacity learns from a reply to an attempt and reports whether it has lowered the
// capacity. The load is the greater one of those at the send and at the reply.
func (t *target) observeCapacity(now time.Time, a *attempt, work, usual time.Duration, report LoadReport) bool {
	load := a.load
	if report.Known {
		load = max(load, float64(report.Running+report.Waiting))
	}
	return t.learned.Observe(now, capacity.Reply{
		Work: work, Usual: usual, Load: load, Slots: t.announcement.Slots, Seed: a.part.request.seed ^ uint64(a.id),
	})
}

// load estimates the number of requests at the target. The reported requests of other
// nodes count linearly less until loadReportLifetime has passed.
func (t *target) load(now time.Time) float64 {
	age := now.Sub(t.othersLoadAt)
	others := 0.0
	if age < loadReportLifetime {
		others = float64(t.othersLoad) * (1 - float64(age)/float64(loadReportLifetime))
	}
	return float64(len(t.outstanding)) + others
}

// stallTime returns how long the target is expected to go on pausing, 0 if no request in
// flight takes far longer than expected. Targets pause now and then, and everything sent
// to one in the meantime waits. The longer a pause has lasted, the longer it may last.
func (t *target) stallTime(now time.Time, roundTrip time.Duration) time.Duration {
	oldest := time.Duration(0)
	for _, a := range t.outstanding {
		if a.overtaken {
			continue
		}
		age := now.Sub(a.sent)
		limit := max(minStall, time.Duration(stallFactor*float64(a.expectedWork)*t.expectedSlowdown(now)))
		if age > limit+roundTrip {
			oldest = max(oldest, age, minStallTime)
		}
	}
	return oldest
}
