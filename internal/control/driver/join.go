package driver

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/control/repair"
	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/telemetry"
)

const (
	// membershipInterval is the time between two checks of the membership.
	membershipInterval = 300 * time.Millisecond
	// leaderlessAfter is how long a replica must have known no leader before it
	// asks to join again: it may have been removed while it was disconnected.
	leaderlessAfter = 1500 * time.Millisecond
	// joinRequestExpiry is how long a request to join is valid.
	joinRequestExpiry = 4 * membershipInterval
)

// JoinArgs is a request to join the group.
type JoinArgs struct {
	Group  string
	Member replica.Member
}

// JoinReply acknowledges that the request was recorded. Its result shows in the
// membership.
type JoinReply struct{}

// joinRequests holds the last request of each replica that asks to join.
type joinRequests struct {
	mu         sync.Mutex
	byIdentity map[replica.Identity]joinRequest
}

type joinRequest struct {
	member replica.Member
	asked  time.Time // when the last request arrived
}

func (c *joinRequests) add(m replica.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byIdentity == nil {
		c.byIdentity = map[replica.Identity]joinRequest{}
	}
	c.byIdentity[m.Identity] = joinRequest{member: m, asked: time.Now()}
}

// recent returns the replicas whose last request has not expired.
func (c *joinRequests) recent() []replica.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []replica.Member
	for id, entry := range c.byIdentity {
		if time.Since(entry.asked) > joinRequestExpiry {
			delete(c.byIdentity, id)
			continue
		}
		out = append(out, entry.member)
	}
	return out
}

// Join records the request of a replica that wants to join.
func (p *peerService) Join(args *JoinArgs, _ *JoinReply) error {
	if err := p.checkGroup(args.Group); err != nil {
		return err
	}
	p.n.joinRequests.add(args.Member)
	return nil
}

// maintainMembership repairs the membership while this replica leads, and asks
// to join while this replica is not a member or has known no leader for
// leaderlessAfter.
func (n *Node) maintainMembership() {
	defer n.running.Done()
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	leaderSeenAt := time.Now()
	for {
		select {
		case <-n.stop.Done():
			return
		case <-ticker.C:
		}
		v := n.view.Load()
		switch {
		case v.role == replica.RoleLeader:
			leaderSeenAt = time.Now()
			n.repairMembership()
		case !v.leader.IsZero() && n.inGroup():
			leaderSeenAt = time.Now()
		case time.Since(leaderSeenAt) > leaderlessAfter || !n.inGroup():
			n.requestJoin()
		}
	}
}

func (n *Node) inGroup() bool {
	member := false
	if err := n.inspect(n.stop, func(s *replica.State) { member = isMember(s) }); err != nil {
		return false // the process is stopping, and the loop may still set member
	}
	return member
}

// repairMembership makes the next membership change that the repair policy
// requires, if any.
func (n *Node) repairMembership() {
	policy := repair.Policy{
		Voters:      2*n.cfg.Repair.ToleratedLosses + 1,
		LostAfter:   n.cfg.Repair.LostAfter,
		ForgetAfter: n.cfg.Repair.ForgetAfter,
	}
	var next replica.Change
	joining := n.joinRequests.recent()
	err := n.inspect(n.stop, func(s *replica.State) {
		_, committed := s.Membership()
		next = policy.Next(s.Members(), joining, s.Commit(), committed)
	})
	if err != nil || next == nil {
		return
	}
	ctx, cancel := context.WithTimeout(n.stop, n.cfg.Replication.ElectionTimeout)
	defer cancel()
	res := n.changeMembers(ctx, next)
	telemetry.ControlAutomaticMembershipChange.Log(n.logger,
		zap.String("change", describeChange(next)),
		zap.Bool("committed", res.outcome == outcomeApplied),
		zap.String("reason", string(res.reason)))
}

func describeChange(change replica.Change) string {
	switch c := change.(type) {
	case replica.AddLearner:
		return "learner " + c.Member.Identity.ID
	case replica.Promote:
		return "promote " + c.Identity.ID
	case replica.Remove:
		return "remove " + c.Identity.ID
	}
	return "unknown"
}

// requestJoin sends a request to join to every known control process; the
// leader acts on it.
func (n *Node) requestJoin() {
	args := &JoinArgs{Group: n.cfg.Group, Member: replica.Member{
		Identity:   n.self,
		Address:    n.Address(),
		DataCentre: n.cfg.Node.DataCentre,
	}}
	ctx, cancel := context.WithTimeout(n.stop, n.cfg.Replication.ElectionTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for _, address := range n.watcher.Addresses() {
		asked.Go(func() {
			// A process that can't be reached is asked again at the next
			// interval.
			_ = n.client.Call(ctx, address, methodJoin, args, &JoinReply{})
		})
	}
	asked.Wait()
}
