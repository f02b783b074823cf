// Package route chooses the snapshot that a search is pinned to and the replica
// that serves each of its shards. Replicas are ranked primarily by the latencies
// and failures that the entry node itself observes, and only secondarily by what
// the targets report. The package does no I/O and has no clock: callers pass in
// the current time.
package route

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/limit"
)

// Constants for evaluating replies and failures of a target.
const (
	// latencyWeight is the weight of the newest sample in the exponentially
	// weighted moving average of a target's latency.
	latencyWeight = 0.1
	// failuresToUnreachable is the number of consecutive failures after which a
	// target counts as unreachable.
	failuresToUnreachable = 3
	// minOvertakes is the number of later requests that must be answered
	// before the delay of an unanswered one is attributed to a silent connection
	// instead of to the target.
	minOvertakes = 2
	// stalledFactor times a target's latency is the age per shard above which a
	// request's connection can be considered silent.
	stalledFactor = 4
)

// Target holds an entry node's information about one target.
type Target struct {
	Announced api.Announcement
	// Local is set if the target is in the node's own data centre.
	Local bool
	// Drained is set if the configuration excludes the target from new work.
	Drained bool
	// Slots is the target's number of slots, limited by the configuration.
	Slots int
	// Connections is the number of connections that this node may hold to the
	// target.
	Connections limit.Share
	// Limit bounds this node's requests in flight at the target.
	Limit limit.Concurrency
	// InFlight is the number of this node's requests at the target.
	InFlight int

	// latency is the moving average of the time per shard, or 0 before the
	// first sample.
	latency time.Duration
	// replies counts the replies of the target's current incarnation.
	replies int
	// failures counts the failures since the last reply or shed request.
	failures    int
	unreachable bool
	ejected     bool
	nextTrial   time.Time
	// successfulTrials counts the consecutive successful trials while ejected.
	successfulTrials int
	// outstanding lists the unanswered requests in the order of sending.
	outstanding []outstanding
	// lost holds the snapshots that the target refused as not held since its
	// last announcement.
	lost    map[api.Snapshot]struct{}
	planned plan
}

// outstanding is one of this node's unanswered requests at a target.
type outstanding struct {
	attempt uint64
	started time.Time
	shards  int
	// overtakes counts the requests sent later that have been answered.
	overtakes int
}

// NewTarget returns a target without latency samples or failures.
func NewTarget(a api.Announcement, local bool) *Target {
	return &Target{Announced: a, Local: local, Slots: a.Slots, lost: map[api.Snapshot]struct{}{}}
}

// ID returns the target's name.
func (t *Target) ID() api.TargetID {
	return t.Announced.Target
}

// Latency returns the moving average of the target's time per shard, or 0 if
// there is no sample yet.
func (t *Target) Latency() time.Duration {
	return t.latency
}

// AcceptsWork reports whether new requests may be sent to the target.
func (t *Target) AcceptsWork() bool {
	return t.Announced.State.AcceptsWork() && !t.Drained
}

// Reachable reports whether the target accepts work and doesn't count as
// unreachable after consecutive failures.
func (t *Target) Reachable() bool {
	return t.AcceptsWork() && !t.unreachable
}

// Ejected reports whether the target is ejected as an outlier.
func (t *Target) Ejected() bool {
	return t.ejected
}

// HasCapacity reports whether the concurrency limit allows another request now.
func (t *Target) HasCapacity() bool {
	return t.InFlight < t.Limit.MaxInFlight()
}

// Holds reports whether the target is known to hold s. A target that refused s
// after its last announcement does not hold it, whatever it announced.
func (t *Target) Holds(s api.Snapshot) bool {
	if _, lost := t.lost[s]; lost {
		return false
	}
	for _, h := range t.Announced.Holdings {
		if h.Snapshot == s {
			return true
		}
	}
	return false
}

// UpdateAnnouncement replaces the target's announcement with a newer one. It
// resets the latency and failure data if the incarnation has changed.
func (t *Target) UpdateAnnouncement(a api.Announcement) {
	if a.Incarnation != t.Announced.Incarnation {
		t.latency = 0
		t.replies = 0
		t.failures = 0
		t.unreachable = false
		t.ejected = false
	}
	t.Announced = a
	clear(t.lost)
}

// RecordSent records that a request for a number of shards was sent to the
// target.
func (t *Target) RecordSent(attempt uint64, now time.Time, shards int) {
	t.InFlight++
	t.outstanding = append(t.outstanding, outstanding{attempt: attempt, started: now, shards: max(1, shards)})
}

// RecordReply records a reply to attempt. The target reports reportedInFlight
// requests in progress; more than its slots mean that requests queue there.
func (t *Target) RecordReply(attempt uint64, now time.Time, reportedInFlight int) {
	done, ok := t.removeOutstanding(attempt)
	if !ok {
		return
	}
	t.failures = 0
	t.unreachable = false
	t.replies++
	took := done.agePerShard(now)
	t.updateLatency(took)
	t.countOvertakes(done.started)
	if reportedInFlight > t.Slots {
		t.Limit.RecordOverload(now)
		return
	}
	t.Limit.RecordSuccess(t.InFlight + 1)
}

// RecordShed records that the target shed attempt because of overload.
func (t *Target) RecordShed(attempt uint64, now time.Time) {
	if _, ok := t.removeOutstanding(attempt); ok {
		t.failures = 0
		t.Limit.RecordOverload(now)
	}
}

// Release removes an attempt whose result says nothing about the target's
// latency or health.
func (t *Target) Release(attempt uint64) {
	t.removeOutstanding(attempt)
}

// RecordFailure records a failure of attempt that is attributed to the target.
// It reports whether this failure made the target unreachable.
func (t *Target) RecordFailure(attempt uint64, now time.Time) bool {
	done, ok := t.removeOutstanding(attempt)
	if !ok {
		return false
	}
	t.failures++
	t.updateLatency(done.agePerShard(now))
	if t.failures < failuresToUnreachable || t.unreachable {
		return false
	}
	t.unreachable = true
	return true
}

// RecordLostSnapshot records that the target refused a request because it does
// not hold snapshot s.
func (t *Target) RecordLostSnapshot(s api.Snapshot) {
	t.lost[s] = struct{}{}
}

// SilentConnection reports whether the delay of attempt is attributed to its
// connection instead of to the target: the attempt is unanswered for long while
// requests sent later have been answered. Without this rule a connection whose
// state a middlebox has dropped would make a healthy target look slow.
func (t *Target) SilentConnection(attempt uint64, now time.Time) bool {
	for _, o := range t.outstanding {
		if o.attempt == attempt {
			return o.overtakes >= minOvertakes && o.agePerShard(now) > stalledFactor*t.latency
		}
	}
	return false
}

// OldestRequestAge returns the age per shard of the oldest outstanding request
// that fewer than minOvertakes later ones have overtaken, or 0 without one.
func (t *Target) OldestRequestAge(now time.Time) time.Duration {
	for _, o := range t.outstanding {
		if o.overtakes < minOvertakes {
			return o.agePerShard(now)
		}
	}
	return 0
}

// agePerShard returns the time since the request was sent, divided by its
// number of shards.
func (o outstanding) agePerShard(now time.Time) time.Duration {
	return now.Sub(o.started) / time.Duration(o.shards)
}

func (t *Target) removeOutstanding(attempt uint64) (outstanding, bool) {
	for i, o := range t.outstanding {
		if o.attempt == attempt {
			t.outstanding = append(t.outstanding[:i], t.outstanding[i+1:]...)
			t.InFlight--
			return o, true
		}
	}
	return outstanding{}, false
}

func (t *Target) countOvertakes(started time.Time) {
	for i := range t.outstanding {
		if t.outstanding[i].started.Before(started) {
			t.outstanding[i].overtakes++
		}
	}
}

func (t *Target) updateLatency(latency time.Duration) {
	if t.latency == 0 {
		t.latency = latency
		return
	}
	t.latency += time.Duration(latencyWeight * float64(latency-t.latency))
}
