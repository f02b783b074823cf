package forwarder

import (
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/entry/forward"
	"wigeonbay/internal/telemetry"
)

// step passes an event to the state machine and executes its effects. Effects do not
// block; requests run in their own goroutines.
func (n *Node) step(ev forward.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stepLocked(ev)
}

// stepLocked is step for callers that hold mu.
func (n *Node) stepLocked(ev forward.Event) {
	if n.state.HasQuotas() {
		n.state.SetSinceBoot(n.sinceBoot())
	}
	for _, effect := range n.state.Reduce(time.Now(), ev) {
		n.execute(effect)
	}
}

func (n *Node) execute(effect forward.Effect) {
	switch e := effect.(type) {
	case forward.Send:
		n.send(e)
	case forward.Cancel:
		if cancel := n.cancels[e.Attempt]; cancel != nil {
			cancel()
		}
	case forward.Discard:
		delete(n.replies, e.Attempt)
	case forward.Relay:
		n.relay(e)
	case forward.Merge:
		n.merge(e)
	case forward.Delegate:
		n.peers.delegate(e)
	case forward.CancelDelegation:
		n.peers.cancel(e.Delegation)
	case forward.PassOn:
		n.finish(e.Request, answer{passedOn: n.peers.responses[e.Delegation]}, e.Status, "", &e.Summary)
	case forward.Refuse:
		n.finish(e.Request, answer{refusal: &e}, e.Status, string(e.Reason), &e.Summary)
	case forward.Abandon:
		n.finish(e.Request, answer{}, 0, "caller_gone", &e.Summary)
	case forward.SetTimer:
		n.setTimer(e)
	case forward.Connect:
		n.pool.Configure(e.Target, e.Address, e.Connections, e.Preopen)
		n.pool.SetMaxIdle(e.Target, e.MaxIdle)
		n.pool.Suspend(e.Target, e.Suspended)
	case forward.Forget:
		n.pool.Forget(e.Target)
	case forward.Probe:
		n.probe(e)
	case forward.HoldBack:
		n.holdBack(e)
	case forward.ReportLeaving:
		go n.reportLeaving(e) // it applies an event, which needs the lock held here
	case forward.ReportCrash:
		n.reportCrash(e)
	case forward.VerdictChanged:
		n.logVerdict(e)
	case forward.RateLimitChanged:
		n.logRateLimit(e)
	case forward.AcquireQuota:
		n.acquireQuota(e)
	case forward.SetQuotaTimer:
		n.setQuotaTimer(e)
	case forward.QuotaExceeded:
		n.logQuotaExceeded(e)
	case forward.WarmupChanged:
		n.logWarmup(e)
	case forward.ReachabilityChanged:
		n.logReachability(e)
	case forward.TargetDisplaced:
		n.logDisplaced(e)
	case forward.TargetRestored:
		n.logRestored(e)
	case forward.RegionsExcluded:
		telemetry.ForwardRegionsExcluded.Log(n.logger,
			zap.String("route", e.Route), zap.Bool("everyone", e.Everyone), zap.Int("accounts", e.Accounts))
	case forward.ImpairmentChanged:
		n.logImpairment(e)
	case forward.IsolationChanged:
		n.logIsolation(e)
	default:
		panic(fmt.Sprintf("forwarder: effect of unknown type %T", effect))
	}
}

func (n *Node) relay(e forward.Relay) {
	reply := n.replies[e.Attempt]
	delete(n.replies, e.Attempt)
	n.finish(e.Request, answer{reply: reply, target: &e.Target}, reply.Status, "", &e.Summary)
}

func (n *Node) merge(e forward.Merge) {
	a := answer{merged: &e}
	for _, id := range e.Attempts {
		a.parts = append(a.parts, n.replies[id])
		delete(n.replies, id)
	}
	n.finish(e.Request, a, http.StatusOK, "", &e.Summary)
}

// finish answers a request, stops its timer and logs it.
func (n *Node) finish(request forward.RequestID, a answer, status int, reason string, s *forward.Summary) {
	p := n.requests[request]
	if p == nil {
		return
	}
	delete(n.requests, request)
	if timer := n.timers[request]; timer != nil {
		timer.Stop()
		delete(n.timers, request)
	}
	n.logRequest(p, status, reason, s)
	p.done <- a
}

// setTimer sets or resets a request's timer.
func (n *Node) setTimer(e forward.SetTimer) {
	delay := time.Until(e.At)
	if timer := n.timers[e.Request]; timer != nil {
		timer.Reset(delay)
		return
	}
	n.timers[e.Request] = time.AfterFunc(delay, func() { n.fireTimer(e.Request) })
}

// fireTimer passes a request's expired timer to the state machine. If the request has
// been answered, the timer is removed first.
func (n *Node) fireTimer(request forward.RequestID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.requests[request] == nil {
		delete(n.timers, request)
	}
	n.stepLocked(forward.TimerFired{Request: request})
}

func (n *Node) logReachability(e forward.ReachabilityChanged) {
	event := telemetry.ForwardTargetUnreachable
	if e.NewState == forward.TargetReachable {
		event = telemetry.ForwardTargetReachable
	}
	event.Log(n.logger,
		zap.String("target", string(e.Target)),
		zap.String("service", e.Pool),
		zap.Int("failures", e.Failures),
		zap.Float64("slowdown", e.Slowdown))
}

func (n *Node) logDisplaced(e forward.TargetDisplaced) {
	telemetry.ForwardTargetDisplaced.Log(n.logger,
		zap.String("target", string(e.Announcement.Target)),
		zap.String("service", e.Announcement.Service),
		zap.Uint64("incarnation", e.Announcement.Incarnation),
		zap.String("address", e.Announcement.Address),
		zap.String("by_target", string(e.By.Target)),
		zap.String("by_service", e.By.Service),
		zap.Uint64("by_incarnation", e.By.Incarnation))
}

func (n *Node) logRestored(e forward.TargetRestored) {
	telemetry.ForwardTargetRestored.Log(n.logger,
		zap.String("target", string(e.Announcement.Target)),
		zap.String("service", e.Announcement.Service),
		zap.Uint64("incarnation", e.Announcement.Incarnation),
		zap.String("address", e.Announcement.Address))
}
