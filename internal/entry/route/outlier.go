package route

import (
	"slices"
	"time"
)

// Constants of outlier ejection.
const (
	// outlierFactor times the median latency of the service's targets is the
	// latency above which a target is ejected.
	outlierFactor = 3.0
	// readmitFactor times that median is the latency up to which a trial of an
	// ejected target succeeds.
	readmitFactor = 2.0
	// minOutlierLatency is the lowest value of both thresholds: differences
	// among targets that are all fast must not eject any.
	minOutlierLatency = 2 * time.Millisecond
	// minReplies is the number of replies that a target must have sent before
	// it can be ejected: the first requests open connections and fill caches.
	minReplies = 10
	// maxEjectedFraction bounds the fraction of a service's targets that are
	// ejected at the same time.
	maxEjectedFraction = 0.34
	// trialInterval is the minimum time between two trials of an ejected or
	// unreachable target.
	trialInterval = time.Second
	// trialsToReadmit is the number of consecutive successful trials after
	// which an ejected target gets work again.
	trialsToReadmit = 3
)

// Eject ejects the targets whose latency is far above the median of the
// service's targets and returns the newly ejected ones.
func Eject(targets []*Target, now time.Time) []*Target {
	median := medianLatency(targets)
	if median == 0 {
		return nil
	}
	threshold := max(minOutlierLatency, time.Duration(outlierFactor*float64(median)))
	maxEjected := int(maxEjectedFraction*float64(len(targets)) + 0.5)
	remaining := maxEjected - countEjected(targets)
	var ejected []*Target
	for _, t := range targets {
		if len(ejected) >= remaining {
			break
		}
		if t.ejected || t.replies < minReplies || max(t.latency, t.OldestRequestAge(now)) <= threshold {
			continue
		}
		t.ejected = true
		t.successfulTrials = 0
		t.nextTrial = now.Add(trialInterval)
		ejected = append(ejected, t)
	}
	return ejected
}

// DueTrial returns the position of an ejected or unreachable replica in g that
// is due for a trial, or -1. A trial duplicates a request that another replica
// gets as well, so that no caller has to wait for the trial.
func DueTrial(g *Group, c Criteria) int {
	for i, t := range g.Replicas {
		if !t.ejected && !t.unreachable || c.Now.Before(t.nextTrial) {
			continue
		}
		if t.AcceptsWork() && t.Holds(c.Snapshot) && t.HasCapacity() && !c.Tried.Has(i) {
			return i
		}
	}
	return -1
}

// RecordTrialSent records that a trial was sent to t.
func (t *Target) RecordTrialSent(now time.Time) {
	t.nextTrial = now.Add(trialInterval)
}

// RecordTrialReply records a trial as successful if its time per shard is at
// most readmitFactor times the median latency of peers. It reports whether the
// trial readmits t.
func (t *Target) RecordTrialReply(peers []*Target, took time.Duration, shards int) bool {
	if !t.ejected {
		return false
	}
	took /= time.Duration(max(1, shards))
	maxLatency := max(minOutlierLatency, time.Duration(readmitFactor*float64(medianLatency(peers))))
	if took > maxLatency {
		t.successfulTrials = 0
		return false
	}
	t.successfulTrials++
	if t.successfulTrials < trialsToReadmit {
		return false
	}
	t.ejected = false
	t.latency = took
	return true
}

func medianLatency(targets []*Target) time.Duration {
	known := make([]time.Duration, 0, len(targets))
	for _, t := range targets {
		if t.latency > 0 && t.AcceptsWork() {
			known = append(known, t.latency)
		}
	}
	if len(known) < 2 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

func countEjected(targets []*Target) int {
	n := 0
	for _, t := range targets {
		if t.ejected {
			n++
		}
	}
	return n
}
