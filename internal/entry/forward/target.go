package forward

import (
	"time"

	"wigeonbay/internal/api"
)

const (
	// replyWeight is the weight of the newest reply in a target's slowdown, and
	// lateWeight times the streak that of a late one. Late replies come in bunches
	// when a target pauses, so only one in lateInterval counts.
	replyWeight       = 0.08
	lateReplyWeight   = 0.15
	lateReplyInterval = 300 * time.Millisecond
	// reportedSlowdownWeight is that of a target's own word that it is slow: it shares its
	// VM with others, and one report may be of a moment.
	reportedSlowdownWeight = 0.5
	// slowdownHalfLife is the time in which half of what is known of a target's
	// speed is forgotten while it gets no requests: a target that was slow is
	// tried again in the end.
	slowdownHalfLife = 1500 * time.Millisecond
	// maxLateStreak bounds how often late replies in a row, without a usual one
	// between them, lengthen the half-life: a target that is slow, and not just
	// pausing, is tried again less often.
	maxLateStreak = 4
	// slowerTolerance and fasterBand are the deviations from the usual speed that
	// count as none: work differs from request to request by as much.
	slowerTolerance = 0.25
	fasterTolerance = 0.15
	// errorWeight is the weight of the newest outcome in the part of errors.
	errorWeight = 0.2
	// errorHalfLife is the same for the part of failed requests.
	errorHalfLife = 4 * time.Second
	// coldSlowdown is what a target that has just started is expected to take.
	coldSlowdown = 1.6
	// maxSlowdown bounds the measured slowdown, so that one stuck reply does not
	// keep a target out for long.
	maxSlowdown = 8.0
	// loadReportLifetime is how long a target's report of its load counts.
	loadReportLifetime = 250 * time.Millisecond
	// stallFactor times the expected time of a request is the age from which
	// its target counts as stalled.
	stallFactor = 2.5
	// minStall is the shortest such age: scheduling and a lost packet.
	minStall = 12 * time.Millisecond
	// failuresToUnreachable is the number of failures in a row after which a
	// target gets health checks in place of requests.
	failuresToUnreachable = 2
	// minProbeInterval and maxProbeInterval bound the time between health checks
	// of an unreachable target; it doubles with each one that fails.
	minProbeInterval = 250 * time.Millisecond
	maxProbeInterval = 2 * time.Second
)

// target is what this node knows of one target.
type target struct {
	announcement api.Announcement
	pool         *pool
	local        bool
	// share is the number of connections that this node may hold to it.
	share       int
	outstanding []*attempt

	// slowdown is its speed against the pool's, 1 for the usual one, as of
	// speedAt.
	slowdown   float64
	slowdownAt time.Time
	lateAt     time.Time
	// lateStreak is the number of late replies counted in a row.
	lateStreak int
	// errorFraction is the moving part of failed requests, as of errorsAt.
	errorFraction   float64
	errorFractionAt time.Time
	// othersLoad is how many requests of others it reported, at reportedAt.
	othersLoad   int
	othersLoadAt time.Time
	// atLimitUntil is until when it takes no further connections.
	atLimitUntil time.Time
	// blockedUntil is the same for a target to which no connection was kept: until
	// then nothing can be sent to it.
	blockedUntil time.Time
	// lastReply is when it last answered a request.
	lastReply time.Time

	failures      int
	unreachable   bool
	probing       bool
	nextProbe     time.Time
	probeInterval time.Duration
}

func newTarget(a api.Announcement, now time.Time) *target {
	t := &target{announcement: a, slowdown: 1, slowdownAt: now, errorFractionAt: now}
	if a.State == api.TargetWarming {
		t.slowdown = coldSlowdown
	}
	return t
}

func (t *target) id() api.TargetID { return t.announcement.Target }

func (t *target) acceptsWork() bool { return t.announcement.State.AcceptsWork() }

// hasRoom reports whether one more request may be sent now. A target at its
// limit of connections keeps those that it has.
func (t *target) hasRoom(now time.Time) bool {
	if now.Before(t.blockedUntil) {
		return false
	}
	if now.Before(t.atLimitUntil) || t.load(now) >= float64(maxLoadPerSlot*t.announcement.Slots) {
		return len(t.outstanding) == 0
	}
	return len(t.outstanding) < t.share
}

// markOvertaken notes that the target answered a while requests sent earlier
// stayed unanswered: not the target is late with those, but their connection or
// their own work.
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

// expectedSlowdown returns the slowdown that is expected now: what was measured fades
// towards the usual.
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

func (t *target) measuredSlowdown(now time.Time) float64 {
	halfLife := slowdownHalfLife * time.Duration(max(1, t.lateStreak))
	return 1 + (t.slowdown-1)*decay(now.Sub(t.slowdownAt), halfLife)
}

// errorRate returns the part of requests that is expected to fail now.
func (t *target) errorRate(now time.Time) float64 {
	return t.errorFraction * decay(now.Sub(t.errorFractionAt), errorHalfLife)
}

// decay returns what is left of 1 after a time.
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

// observeReply notes how much longer than usual a reply took.
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
		weight = lateReplyWeight * float64(t.lateStreak)
	}
	t.slowdown = before + weight*(sample-before)
	t.slowdownAt = now
}

func (t *target) observeError(now time.Time, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	t.errorFraction = t.errorRate(now) + errorWeight*(sample-t.errorRate(now))
	t.errorFractionAt = now
}

func (t *target) observeLoad(now time.Time, report LoadReport) {
	if !report.Known {
		return
	}
	t.othersLoad = max(0, report.Running+report.Waiting-len(t.outstanding))
	t.othersLoadAt = now
	t.observeSlowdown(now, report.Slowdown)
}

// observeSlowdown takes a target's own word that its work takes longer. That it
// says nothing of the kind does not outweigh late replies.
func (t *target) observeSlowdown(now time.Time, reported float64) {
	before := t.measuredSlowdown(now)
	if reported = min(reported, maxSlowdown); reported <= max(before, 1+slowerTolerance) {
		return
	}
	t.slowdown = before + reportedSlowdownWeight*(reported-before)
	t.slowdownAt = now
}

// load returns how many requests the target is held to have now. What it
// reported of others' requests fades within loadReportAge.
func (t *target) load(now time.Time) float64 {
	age := now.Sub(t.othersLoadAt)
	others := 0.0
	if age < loadReportLifetime {
		others = float64(t.othersLoad) * (1 - float64(age)/float64(loadReportLifetime))
	}
	return float64(len(t.outstanding)) + others
}

// stallTime returns the age of the oldest request that takes far longer than
// expected, 0 when there is none. Searchers pause now and then, and all that is
// sent to one meanwhile waits.
func (t *target) stallTime(now time.Time, roundTrip time.Duration) time.Duration {
	oldest := time.Duration(0)
	for _, a := range t.outstanding {
		if a.overtaken {
			continue
		}
		age := now.Sub(a.sent)
		limit := max(minStall, time.Duration(stallFactor*float64(a.expectedWork)*t.expectedSlowdown(now)))
		if age > limit+roundTrip {
			oldest = max(oldest, age)
		}
	}
	return oldest
}
