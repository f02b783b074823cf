// Package isolation detects that an entry node has lost its way to all targets, from what
// it sends to them and what they answer.
package isolation

import "time"

const (
	// minTargets is the number of targets that must leave requests unanswered before the
	// node counts as isolated, or all targets if there are fewer.
	minTargets = 3
	// Silence is how long each of them must do so at least. Targets pause for up to 300 ms,
	// but not all at the same time.
	Silence = 500 * time.Millisecond
	// workFactor times the expected work is the same for requests that take long.
	workFactor = 3
	// maxGap is the time between two calls of Advance above which the process is taken to
	// have been paused. Replies may be waiting to be read then.
	maxGap = 500 * time.Millisecond
)

// Marker notes for one target in which period it was last sent a request. A period is the
// time between two replies of any target.
type Marker uint64

// Detector tracks whether any target answers. Its zero value has seen nothing.
type Detector struct {
	now time.Time
	// lastReply is when a target last replied, or the time of the first call.
	lastReply time.Time
	period    Marker
	// silent is the number of targets that were sent requests in this period, at most
	// minTargets, and overdueAt when all of them should have answered.
	silent    int
	overdueAt time.Time
	isolated  bool
}

// Advance sets the time of the next calls. It must be called at least every maxGap, and
// with times that don't decrease.
func (d *Detector) Advance(now time.Time) {
	if d.now.IsZero() {
		d.now, d.lastReply, d.period = now, now, 1
	}
	if gap := now.Sub(d.now); gap > maxGap && d.silent > 0 {
		d.overdueAt = d.overdueAt.Add(gap)
	}
	d.now = now
}

// RecordSend records a request to the target with the given marker, which is unanswered
// until the next reply of any target.
func (d *Detector) RecordSend(target *Marker, expectedWork time.Duration) {
	if *target == d.period || d.silent == minTargets {
		return
	}
	*target = d.period
	d.silent++
	if overdue := d.now.Add(max(Silence, workFactor*expectedWork)); overdue.After(d.overdueAt) {
		d.overdueAt = overdue
	}
}

// RecordReply records that a target has replied to a request or a health check. It returns
// the time since the last reply, and whether the node was isolated.
func (d *Detector) RecordReply() (sinceReply time.Duration, wasIsolated bool) {
	sinceReply, wasIsolated = d.now.Sub(d.lastReply), d.isolated
	d.lastReply = d.now
	d.period++
	d.silent, d.overdueAt, d.isolated = 0, time.Time{}, false
	return sinceReply, wasIsolated
}

// Check detects that the node has become isolated, if it has the given number of targets.
// It returns the time since the last reply, and whether the node is isolated since this
// call.
func (d *Detector) Check(targets int) (sinceReply time.Duration, isIsolated bool) {
	if d.isolated || d.silent == 0 || d.silent < min(minTargets, targets) || d.now.Before(d.overdueAt) {
		return 0, false
	}
	d.isolated = true
	return d.now.Sub(d.lastReply), true
}

// Isolated reports whether no target answers the node.
func (d *Detector) Isolated() bool { return d.isolated }

// LastReply returns when a target last replied, or the time of the first call if none has.
func (d *Detector) LastReply() time.Time { return d.lastReply }
