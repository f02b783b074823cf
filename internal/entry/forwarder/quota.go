package forwarder

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/api"
	"wigeonbay/internal/bootclock"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/entry/forward"
	"wigeonbay/internal/entry/quota"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/telemetry"
	"wigeonbay/internal/wire"
)

const (
	// quotaCallTimeout bounds a call for tokens. It is about the time for which tokens of an
	// account with a high rate are valid.
	quotaCallTimeout = 300 * time.Millisecond
	// quotaTries is the number of control processes that are asked in one call: the leader
	// known last, the one that it names, and another.
	quotaTries = 3
)

// quotaCalls asks control processes for tokens. There is one call at a time, so it needs no
// lock.
type quotaCalls struct {
	// leader is the address of the leader, "" if unknown. next counts the control processes
	// that were asked because of that.
	leader string
	next   int
	// lost is set while no leader replies.
	lost  bool
	timer *time.Timer
}

func quotaRules(f settings.Forward) quota.Rules {
	return quota.Rules{Window: f.QuotaWindow, Overshoot: f.QuotaOvershoot, Slack: f.QuotaSlack}
}

// sinceBoot returns the time on a clock that counts suspension, or else the time since the
// node was created.
func (n *Node) sinceBoot() time.Duration {
	if now := bootclock.Now(); now > 0 {
		return now
	}
	return time.Since(n.created)
}

// acquireQuota calls the leader in a goroutine of its own.
func (n *Node) acquireQuota(e forward.AcquireQuota) {
	go func() {
		reply := n.callForQuota(e.Ask)
		if n.ctx.Err() != nil {
			return // the node has stopped, and asks no more
		}
		n.step(forward.QuotaAnswered{Reply: reply, Seed: rand.Uint64()})
	}()
}

// callForQuota asks control processes until one of them has an answer of the leader. It returns
// nil if none has in time.
func (n *Node) callForQuota(ask *quota.Ask) *quota.Reply {
	ctx, cancel := context.WithTimeout(n.ctx, quotaCallTimeout)
	defer cancel()
	q := &n.quotaCalls
	var err error
	var result controlrpc.Result
	for range quotaTries {
		address := q.leader
		if address == "" {
			if address = n.nextControl(); address == "" {
				break
			}
		}
		ask.Envelope = wire.NewEnvelope(ctx)
		reply := &quota.Reply{}
		err = n.client.Call(ctx, address, controlrpc.MethodAcquireQuota, ask, reply)
		result = reply.Result
		switch {
		case err == nil && result.Code == controlrpc.CodeOK:
			q.leader = reply.Leader
			n.logQuotaLeader(false, address, nil, result)
			return reply
		case err == nil && result.Leader != "" && result.Leader != address:
			q.leader = result.Leader
		default:
			q.leader = ""
		}
		if ctx.Err() != nil {
			break
		}
	}
	n.logQuotaLeader(true, "", err, result)
	return nil
}

// nextControl returns the address of the control process to ask, each time another one.
func (n *Node) nextControl() string {
	addresses := n.watcher.Addresses()
	if len(addresses) == 0 {
		return ""
	}
	slices.Sort(addresses)
	q := &n.quotaCalls
	if q.next == 0 {
		q.next = rand.IntN(len(addresses)) // so that nodes don't all ask the same one
	}
	q.next++
	return addresses[q.next%len(addresses)]
}

// logQuotaLeader logs that the leader stops or begins to answer.
func (n *Node) logQuotaLeader(lost bool, control string, err error, result controlrpc.Result) {
	if lost == n.quotaCalls.lost || n.ctx.Err() != nil {
		return
	}
	n.quotaCalls.lost = lost
	if !lost {
		telemetry.ForwardQuotaGranted.Log(n.logger, zap.String("control", control))
		return
	}
	telemetry.ForwardQuotaUnknown.Log(n.logger,
		zap.String("code", string(result.Code)), zap.String("detail", result.Detail), zap.Error(err))
}

// setQuotaTimer sets the timer of the next call. The caller holds mu.
func (n *Node) setQuotaTimer(e forward.SetQuotaTimer) {
	if n.quotaCalls.timer != nil {
		n.quotaCalls.timer.Stop()
	}
	n.quotaCalls.timer = time.AfterFunc(e.After, func() { n.step(forward.QuotaDue{}) })
}

func (n *Node) logQuotaExceeded(e forward.QuotaExceeded) {
	telemetry.ForwardAccountOverQuota.Log(n.logger, zap.String("account", e.Account))
}

// accountStatus describes the accounts with quotas for operators. The caller holds mu.
func (n *Node) accountStatus() []api.AccountStatus {
	n.state.SetSinceBoot(n.sinceBoot())
	uses := n.state.QuotaUses()
	accounts := make([]api.AccountStatus, 0, len(uses))
	for _, u := range uses {
		rate, burst := n.state.QuotaOf(u.Account)
		accounts = append(accounts, api.AccountStatus{
			Name: u.Account, Rate: rate, Burst: burst, Tokens: u.Held, PerSecond: u.Demand, Used: u.Used,
			OverQuota: u.Over, NoLeader: u.NoLeader, OverForMS: u.OverFor.Milliseconds(),
		})
	}
	return accounts
}

// quotaGauges reports the counts of requests and calls. The caller holds mu.
func (n *Node) quotaGauges(set func(string, float64)) {
	c := n.state.QuotaCounters()
	set(telemetry.Series(metricQuotaRequests, "outcome", "granted"), float64(c.Used))
	set(telemetry.Series(metricQuotaRequests, "outcome", "over_quota"), float64(c.Over))
	set(telemetry.Series(metricQuotaRequests, "outcome", "no_leader"), float64(c.NoLeader))
	set(telemetry.Series(metricQuotaTokens, "outcome", "expired"), float64(c.Expired))
	set(telemetry.Series(metricQuotaTokens, "outcome", "returned"), float64(c.Returned))
	set(telemetry.Series(metricQuotaCalls, "outcome", "answered"), float64(c.Calls-c.Failed))
	set(telemetry.Series(metricQuotaCalls, "outcome", "failed"), float64(c.Failed))
	set(metricQuotaWaited, float64(c.Waited))
}

// Names of the metrics of quotas.
const (
	metricQuotaRequests = "wigeonbay_forward_quota_requests_total"
	metricQuotaTokens   = "wigeonbay_forward_quota_tokens_unused_total"
	metricQuotaCalls    = "wigeonbay_forward_quota_calls_total"
	metricQuotaWaited   = "wigeonbay_forward_quota_waited_total"
)
