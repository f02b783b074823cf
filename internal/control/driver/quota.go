package driver

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/api"
	"wigeonbay/internal/bootclock"
	"wigeonbay/internal/control/quota"
	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/telemetry"
)

const (
	// quotaLease is how long after a majority has confirmed it a leader grants tokens. With
	// the usual heartbeat of 100 ms it is rarely needed to ask for a confirmation.
	quotaLease = 150 * time.Millisecond
	// quotaFillDelay is how long after its election a leader's buckets stay as they are. By
	// then the lease of the leader before has ended: no majority confirms it after the
	// election. The difference allows for clocks that run at different rates.
	quotaFillDelay = 200 * time.Millisecond
)

// quotas grants tokens for client accounts while this replica leads. Nothing of it is stored.
type quotas struct {
	mu     sync.Mutex
	leader *quota.Leader
	// decodedVersion is the version of the newest routing table that was looked at.
	decodedVersion uint64
	limits         map[string]quota.Limit
	suspension     suspension
	// confirmedAt is when the last read was requested that a majority has confirmed to this
	// replica as leader of a term.
	confirmedTerm uint64
	confirmedAt   time.Duration
	counters      QuotaCounters
}

// QuotaCounters counts calls for tokens. Unconfirmed counts those to which a leader without a
// recent confirmation of a majority granted nothing.
type QuotaCounters struct {
	Calls       uint64 `json:"calls"`
	Accounts    uint64 `json:"accounts"`
	Unconfirmed uint64 `json:"unconfirmed"`
}

func newQuotas() *quotas { return &quotas{leader: quota.NewLeader()} }

// suspension tells when the machine was last suspended, on a clock that doesn't count the time
// of it. The replication protocol uses such a clock: to it, a confirmation from before seems
// recent.
type suspension struct {
	known bool
	// offset bounds the difference of the two clocks from above.
	offset time.Duration
	// endedBy is the time by which the last suspension had ended.
	endedBy time.Duration
}

// observe updates s from a reading of the clock that counts suspension, taken between two
// readings of the other one.
func (s *suspension) observe(before, boot, after time.Duration) {
	if !s.known || boot-after > s.offset {
		s.endedBy = after
		s.offset = boot - before
	}
	s.known = true
	s.offset = min(s.offset, boot-before)
}

// AcquireQuota grants tokens for the requests of client accounts.
func (c *controlService) AcquireQuota(args *controlrpc.AcquireQuotaArgs, reply *controlrpc.AcquireQuotaReply) error {
	c.n.serveCall(args.Envelope, 0, &reply.Result, func(ctx context.Context) {
		*reply = callLeader(ctx, c.n, leaderCall[controlrpc.AcquireQuotaReply]{
			local:  func() controlrpc.AcquireQuotaReply { return c.n.acquireQuotaLocal(ctx, args) },
			method: methodAcquireQuota,
			args:   args,
			result: func(r *controlrpc.AcquireQuotaReply) *controlrpc.Result { return &r.Result },
		})
	})
	return nil
}

// AcquireQuota is Control.AcquireQuota, called by a replica that considers this one the
// leader.
func (p *peerService) AcquireQuota(args *controlrpc.AcquireQuotaArgs, reply *controlrpc.AcquireQuotaReply) error {
	p.n.serveCall(args.Envelope, 0, &reply.Result, func(ctx context.Context) {
		*reply = p.n.acquireQuotaLocal(ctx, args)
	})
	return nil
}

// acquireQuotaLocal grants tokens if this replica leads and a majority has confirmed that
// recently, or does so now.
func (n *Node) acquireQuotaLocal(ctx context.Context, args *controlrpc.AcquireQuotaArgs) controlrpc.AcquireQuotaReply {
	v := n.view.Load()
	if v.role != replica.RoleLeader {
		return controlrpc.AcquireQuotaReply{Result: n.notLeader()}
	}
	if !n.mayGrantQuota(v) {
		asked := n.now()
		if result := n.confirmRead(ctx); result.Code != controlrpc.CodeOK {
			return controlrpc.AcquireQuotaReply{Result: result}
		}
		n.recordQuotaConfirmation(v, asked)
	}
	q := n.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.counters.Calls++
	q.counters.Accounts += uint64(len(args.Wants))
	now := bootclock.Now()
	if !n.mayGrantQuotaLocked(v) {
		q.counters.Unconfirmed++
		return controlrpc.AcquireQuotaReply{Result: n.notLeader()}
	}
	if !n.configureQuotas(now, v) {
		return controlrpc.AcquireQuotaReply{Result: invalidResult("no routing table could be decoded")}
	}
	reply := controlrpc.AcquireQuotaReply{
		Leader: n.Address(),
		Epoch:  v.term,
		Grants: q.leader.Grant(now, args),
	}
	// Checked after the grant: the process may have been stopped at any time before.
	if !n.mayGrantQuotaLocked(v) {
		q.counters.Unconfirmed++
		return controlrpc.AcquireQuotaReply{Result: n.notLeader()}
	}
	return reply
}

// recordQuotaConfirmation records that a majority has confirmed a read which was requested at a
// time, while this replica leads as in a view.
func (n *Node) recordQuotaConfirmation(v *view, at time.Duration) {
	current := n.view.Load()
	if current.role != replica.RoleLeader || current.term != v.term {
		return
	}
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	n.quotas.confirmedTerm, n.quotas.confirmedAt = v.term, at
}

// mayGrantQuota reports whether this replica still leads as in a view, and a majority has
// confirmed that within quotaLease.
func (n *Node) mayGrantQuota(v *view) bool {
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	return n.mayGrantQuotaLocked(v)
}

func (n *Node) mayGrantQuotaLocked(v *view) bool {
	current := n.view.Load()
	if current.role != replica.RoleLeader || current.term != v.term {
		return false
	}
	confirmed := time.Duration(n.applier.currentAt.Load())
	if n.quotas.confirmedTerm == v.term {
		confirmed = max(confirmed, n.quotas.confirmedAt)
	}
	before, boot, after := n.now(), bootclock.Now(), n.now()
	n.quotas.suspension.observe(before, boot, after)
	// A confirmation from before the election was one of another leader.
	return confirmed > v.since && confirmed > n.quotas.suspension.endedBy && after-confirmed <= quotaLease
}

// configureQuotas starts the time in office of a view and adopts the quotas of the routing table
// that this replica has applied. It returns false if no table could be decoded: its accounts
// would seem to have no quotas.
func (n *Node) configureQuotas(now time.Duration, v *view) bool {
	q := n.quotas
	if q.leader.Epoch() != v.term {
		q.leader.Elected(v.term, v.sinceBoot+quotaFillDelay)
	}
	document := n.appliedTable()
	if document.Version != q.decodedVersion {
		q.decodedVersion = document.Version
		table, err := n.opts.DecodeTable(document.Packed)
		if err != nil {
			// Entry nodes can't decode it either, and keep the one before.
			telemetry.ControlQuotasInvalid.Log(n.logger, zap.Uint64("version", document.Version), zap.Error(err))
		} else {
			q.limits = quotaLimits(table)
		}
	}
	if q.limits != nil && q.leader.Version() != document.Version {
		q.leader.Configure(now, document.Version, q.limits)
	}
	return q.limits != nil || document.Version == 0
}

func quotaLimits(table *api.RoutingTable) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	for i := range table.Accounts {
		if a := &table.Accounts[i]; a.Rate > 0 {
			limits[a.Name] = quota.Limit{Rate: a.Rate, Burst: a.Burst}
		}
	}
	return limits
}
