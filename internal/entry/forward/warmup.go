package forward

import (
	"hash/fnv"
	"math"
	"time"

	"wigeonbay/internal/api"
)

// A cold target takes few requests per second from all nodes together, and crashes well above
// that rate. Nodes don't tell each other what they send, and one that is cut off or has just
// started counts like any other. So only few nodes, chosen by their rank and a hash of the
// target, send to a cold target, each at a fixed rate; for the others it has no room until it
// is warm. The load answered is that of a data centre whose targets come back together.

const (
	// warmupViews is the number of different views of which nodes share a cold target that
	// may be in use at the same time without exceeding its limit: nodes learn of each other
	// at different times.
	warmupViews = 2
	// warmupSettleTime is how long after its start a node sends nothing to cold targets: it
	// may not know yet which other nodes there are.
	warmupSettleTime = 4 * time.Second
	// warmupProbeSpread is the time over which nodes that don't share a target spread the
	// health checks by which they learn that it is warm.
	warmupProbeSpread = time.Second
)

// WarmupRule says how far the requests to a cold target may exceed its rate: within any second
// all nodes together may send Overshoot times the rate, plus Slack.
type WarmupRule struct {
	Overshoot float64
	Slack     float64
}

// warmup is what a node knows of whether a target is cold, and its share of what the target
// then takes.
type warmup struct {
	// unverified is set while the target may be cold although it is announced as ready: it
	// has restarted or its data centre has come back. A health check decides at probeAt.
	unverified bool
	probeAt    time.Time
	// verified is set once a health check has said that the target is warm, in spite of the
	// announcement of announcedSequence.
	verified         bool
	verifiedSequence uint64
	// share is in requests per second, tokens the requests that could be sent at refilledAt.
	share      float64
	tokens     float64
	refilledAt time.Time
}

// hasWarmupRate reports whether the target's pool limits what a cold target takes.
func (t *target) hasWarmupRate() bool { return t.pool != nil && t.pool.config.WarmupRate > 0 }

// isCold reports whether the target counts as cold: until it has said that it is warm.
func (t *target) isCold() bool {
	if !t.hasWarmupRate() {
		return false
	}
	w := &t.warmup
	announced := t.announcement.State == api.TargetWarming && !(w.verified && w.verifiedSequence == t.announcement.Sequence)
	return announced || w.unverified
}

// warmupAllowsAt returns when the next request may be sent to a cold target; it may be in the
// past. For a node without a share that is far ahead.
func (t *target) warmupAllowsAt(now time.Time) time.Time {
	if !t.isCold() {
		return time.Time{}
	}
	w := &t.warmup
	missing := 1 - w.tokens
	switch {
	case missing <= 0:
		return w.refilledAt
	case w.share <= 0:
		return now.Add(maxWarmupWait)
	}
	return w.refilledAt.Add(min(maxWarmupWait, time.Duration(missing/w.share*float64(time.Second))))
}

// CountCold returns the number of targets that count as cold.
func (s *State) CountCold() int {
	count := 0
	for _, t := range s.targets {
		if t.isCold() {
			count++
		}
	}
	return count
}

// maxWarmupWait is the longest time for which a node plans to wait for a cold target.
const maxWarmupWait = time.Minute

// warmupAllowedUntil returns how many requests a cold target takes from this node until a time.
func (t *target) warmupAllowedUntil(at time.Time) int {
	if !t.isCold() {
		return maxAllowed
	}
	w := &t.warmup
	if w.share <= 0 {
		return 0
	}
	return int(min(w.tokens+w.share*max(0, at.Sub(w.refilledAt).Seconds()), maxAllowed))
}

// recordSend takes the token for a request.
func (w *warmup) recordSend(now time.Time) {
	w.refill(now)
	w.tokens = max(0, w.tokens-1)
}

func (w *warmup) refill(now time.Time) {
	if elapsed := now.Sub(w.refilledAt); elapsed > 0 {
		w.tokens = min(1, w.tokens+w.share*elapsed.Seconds())
		w.refilledAt = now
	}
}

// shareWarmup computes this node's share of what a cold target takes. The nodes that share it
// may each send one request at any moment, and their rates add up to the rest of the limit.
// A token is never given with a share: a change of the number of nodes would give each of them
// a request more.
func (s *State) shareWarmup(t *target) {
	if !t.isCold() {
		return
	}
	w := &t.warmup
	w.refill(s.now)
	w.share = 0
	if s.nodesKnown && s.now.Sub(s.started) >= warmupSettleTime {
		rule, rate := s.options.Warmup, t.pool.config.WarmupRate
		allowed := (rule.Overshoot*rate + rule.Slack) / warmupViews
		sharers := int(min(allowed/2, math.MaxInt32))
		if sharers < 1 {
			return
		}
		w.share = s.shareAmong(t, min(rate, allowed-float64(sharers)), sharers)
	}
}

// markUnverified makes a target count as cold until it has said otherwise.
func (s *State) markUnverified(t *target) {
	if !t.hasWarmupRate() || t.warmup.unverified {
		return
	}
	w := &t.warmup
	w.unverified, w.verified = true, false
	w.tokens, w.refilledAt = 0, s.now
	s.shareWarmup(t)
	w.probeAt = s.now
	if w.share <= 0 {
		w.probeAt = s.now.Add(s.warmupJitter(t))
	}
	t.slowdown, t.slowdownAt = max(t.slowdown, coldSlowdown), s.now
	s.emit(WarmupChanged{Target: t.id(), Cold: true, Share: w.share})
}

// markDataCentreUnverified makes the targets of a data centre that has come back count as cold
// until they have said otherwise.
func (s *State) markDataCentreUnverified(dataCentre string) {
	for _, t := range s.targets {
		if t.announcement.DataCentre == dataCentre {
			s.markUnverified(t)
		}
	}
}

// warmupJitter spreads the health checks that nodes send to a target.
func (s *State) warmupJitter(t *target) time.Duration {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(t.id()))
	_, _ = hash.Write([]byte(s.options.DataCentre))
	position := hash.Sum64() + uint64(s.rank)*0x9e3779b97f4a7c15 // spreads consecutive ranks
	return time.Duration(position % uint64(warmupProbeSpread))
}

// needsWarmupProbe reports whether a health check is due that tells whether a target is warm.
func (t *target) needsWarmupProbe(now time.Time) bool {
	return t.warmup.unverified && t.hasWarmupRate() && !now.Before(t.warmup.probeAt)
}

// observeWarmup applies what the reply to a health check says about how long the target is
// still cold; 0 means that it is warm.
func (s *State) observeWarmup(t *target, left time.Duration) {
	if !t.hasWarmupRate() {
		return
	}
	w := &t.warmup
	if left > 0 {
		s.markUnverified(t)
		w.probeAt = s.now.Add(left + s.warmupJitter(t))
		return
	}
	if t.isCold() {
		s.emit(WarmupChanged{Target: t.id()})
	}
	w.unverified = false
	w.verified, w.verifiedSequence = true, t.announcement.Sequence
	s.sendWaiting(t.pool)
}
