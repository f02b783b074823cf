package forwarder

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/forward"
	"wigeonbay/internal/entry/pool"
	"wigeonbay/internal/telemetry"
)

// maxRetryAfter limits the time for which a target is held back.
const maxRetryAfter = time.Hour

// saysLeaving reports whether a target's reply says that the target leaves.
func (n *Node) saysLeaving(reply pool.Reply) bool {
	return strings.TrimSpace(reply.Header.Get(n.cfg.Headers.Leaving)) == "1"
}

// demandOf returns what a target demands in a reply. request is the ID of the caller's
// request for the log, empty for a health check.
func (n *Node) demandOf(request string, reply pool.Reply) forward.Demand {
	names := n.cfg.Headers
	demand := forward.Demand{Leaving: n.saysLeaving(reply)}
	value := reply.Header.Get(names.RetryAfter)
	refused := reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests
	if value == "" || !refused {
		return demand
	}
	var ok bool
	if demand.RetryAfter, ok = parseRetryAfter(value); !ok {
		n.logMalformedHeader(request, names.RetryAfter, value)
	}
	return demand
}

// parseRetryAfter parses a number of seconds, which may have a fraction. ok is false if
// the value is not a positive number or 0; dates are not supported.
func parseRetryAfter(value string) (after time.Duration, ok bool) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil && !math.IsInf(seconds, 1) || math.IsNaN(seconds) || seconds < 0 {
		return 0, false
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)), true
}

// warmupOf returns for how long a target says in its reply to a health check that it is cold.
// Longer times than maxRetryAfter are shortened to it.
func (n *Node) warmupOf(reply pool.Reply) time.Duration {
	name := n.cfg.Headers.Warmup
	value := reply.Header.Get(name)
	if name == "" || value == "" {
		return 0
	}
	left, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(left) || left < 0 {
		n.logMalformedHeader("", name, value)
		return 0
	}
	return time.Duration(min(left, float64(maxRetryAfter/time.Millisecond)) * float64(time.Millisecond))
}

// rateLimitOf returns what a reply to a request says about the target's rate limit. A
// malformed header says nothing, since the target does not say that it has no limit.
func (n *Node) rateLimitOf(request string, reply pool.Reply) forward.RateLimit {
	name := n.cfg.Headers.RateLimit
	value := reply.Header.Get(name)
	if value == "" {
		return forward.RateLimit{Known: true}
	}
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		n.logMalformedHeader(request, name, value)
		return forward.RateLimit{}
	}
	return forward.RateLimit{Known: true, Named: true, PerSecond: perSecond}
}

func (n *Node) logRateLimit(e forward.RateLimitChanged) {
	if !e.Limit.Named {
		telemetry.ForwardTargetLimitLifted.Log(n.logger,
			zap.String("target", string(e.Target)), zap.Uint64("sent", e.Sent), zap.Duration("for", e.For))
		return
	}
	telemetry.ForwardTargetLimited.Log(n.logger,
		zap.String("target", string(e.Target)), zap.Float64("per_second", e.Limit.PerSecond), zap.Float64("share", e.Share),
		zap.Uint64("sent", e.Sent), zap.Duration("for", e.For))
}

func (n *Node) logWarmup(e forward.WarmupChanged) {
	event := telemetry.ForwardTargetWarm
	if e.Cold {
		event = telemetry.ForwardTargetCold
	}
	event.Log(n.logger, zap.String("target", string(e.Target)), zap.Float64("share", e.Share))
}

// holdBack keeps what waits for a connection to a target from being sent.
func (n *Node) holdBack(e forward.HoldBack) {
	n.pool.HoldBack(e.Target, e.Until)
	telemetry.ForwardTargetHeldBack.Log(n.logger, zap.String("target", string(e.Target)), zap.Duration("for", e.For))
}

// reportLeaving records that a target leaves as an announcement that no other one of the
// same incarnation supersedes, for this node and for the control processes.
func (n *Node) reportLeaving(e forward.ReportLeaving) {
	leaving := e.Announcement
	leaving.State, leaving.Sequence = api.TargetDraining, api.FinalSequence
	telemetry.ForwardTargetLeaving.Log(n.logger,
		zap.String("target", string(leaving.Target)),
		zap.String("service", leaving.Service),
		zap.Uint64("incarnation", leaving.Incarnation))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mergeAnnouncement(leaving, "reply", 0)
	n.withdrawals.Add(leaving)
}

// withdrawalsSince returns the withdrawals to report to a control process: those added
// after a number, or with restarted set all that this node knows. It also returns the
// number of the last one.
func (n *Node) withdrawalsSince(number uint64, restarted bool) ([]api.Announcement, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	since, last := n.withdrawals.Since(number)
	if restarted {
		since = n.targets.Withdrawn(maxReportedWithdrawals)
	}
	return since, last
}

// maxReportedWithdrawals limits the records in one report. A record has about 200 bytes.
const maxReportedWithdrawals = 256
