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
	// membershipInterval is the time between two looks at the membership.
	membershipInterval = 300 * time.Millisecond
	// leaderlessAfter is how long a replica must know no leader before it asks
	// to be taken in again: it may have been removed while it was cut off.
	leaderlessAfter = 1500 * time.Millisecond
	// candidateExpiry is how long a request to join counts.
	candidateExpiry = 4 * membershipInterval
)

// JoinArgs asks to be taken into the group.
type JoinArgs struct {
	Group  string
	Member replica.Member
}

// JoinReply acknowledges that the request was noted. The membership itself tells
// what became of it.
type JoinReply struct{}

// candidates are the replicas that ask to be taken in, with the time of their
// last request.
type candidates struct {
	mu sync.Mutex
	by map[replica.Identity]candidate
}

type candidate struct {
	member replica.Member
	asked  time.Time
}

func (c *candidates) add(m replica.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.by == nil {
		c.by = map[replica.Identity]candidate{}
	}
	c.by[m.Identity] = candidate{member: m, asked: time.Now()}
}

// live returns those that have asked lately.
func (c *candidates) live() []replica.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []replica.Member
	for id, known := range c.by {
		if time.Since(known.asked) > candidateExpiry {
			delete(c.by, id)
			continue
		}
		out = append(out, known.member)
	}
	return out
}

// Join notes a replica that asks to be taken in.
func (p *peerService) Join(args *JoinArgs, _ *JoinReply) error {
	if err := p.sameGroup(args.Group); err != nil {
		return err
	}
	p.n.candidates.add(args.Member)
	return nil
}

// keepMembership mends the group while this replica leads, and asks to be taken
// in while it is outside.
func (n *Node) keepMembership() {
	defer n.running.Done()
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	ledAt := time.Now()
	for {
		select {
		case <-n.stop.Done():
			return
		case <-ticker.C:
		}
		v := n.view.Load()
		switch {
		case v.role == replica.RoleLeader:
			ledAt = time.Now()
			n.mend()
		case !v.leader.IsZero() && n.belongs():
			ledAt = time.Now()
		case time.Since(ledAt) > leaderlessAfter || !n.belongs():
			n.askToJoin()
		}
	}
}

func (n *Node) belongs() bool {
	member := false
	// An error means that the process stops.
	_ = n.inspect(n.stop, func(s *replica.State) { member = isMember(s) })
	return member
}

// mend makes the next change that the group needs, if there is one.
func (n *Node) mend() {
	policy := repair.Policy{
		Voters:      2*n.set.Repair.ToleratedLosses + 1,
		LostAfter:   n.set.Repair.LostAfter,
		ForgetAfter: n.set.Repair.ForgetAfter,
	}
	var next replica.Change
	joining := n.candidates.live()
	err := n.inspect(n.stop, func(s *replica.State) {
		_, committed := s.Membership()
		next = policy.Next(s.Members(), joining, s.Commit(), committed)
	})
	if err != nil || next == nil {
		return
	}
	ctx, cancel := context.WithTimeout(n.stop, n.set.Replication.ElectionTimeout)
	defer cancel()
	d := n.changeMembers(ctx, next)
	telemetry.ControlMended.Log(n.logger,
		zap.String("change", describe(next)),
		zap.Bool("committed", d.fate == fateApplied),
		zap.String("reason", string(d.reason)))
}

func describe(change replica.Change) string {
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

// askToJoin asks every control process that is known; the one that leads acts.
func (n *Node) askToJoin() {
	args := &JoinArgs{Group: n.set.Group, Member: replica.Member{
		Identity:   n.self,
		Address:    n.Address(),
		DataCentre: n.set.Node.DataCentre,
	}}
	ctx, cancel := context.WithTimeout(n.stop, n.set.Replication.ElectionTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for _, address := range n.watcher.Addresses() {
		asked.Go(func() {
			// A process that can't be reached is asked again in a moment.
			_ = n.client.Call(ctx, address, methodJoin, args, &JoinReply{})
		})
	}
	asked.Wait()
}
