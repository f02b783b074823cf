package driver

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/telemetry"
)

// view is what other goroutines may know of the protocol's state.
type view struct {
	role          replica.Role
	term          uint64
	leader        replica.Identity
	leaderAddress string
}

// inspection runs on the loop with the protocol's state.
type inspection func(*replica.State)

// loop owns the protocol's state: it alone calls Step.
func (n *Node) loop() {
	defer n.running.Done()
	ticker := time.NewTicker(n.tickInterval())
	defer ticker.Stop()
	for {
		select {
		case <-n.stop.Done():
			n.waiters.stopAll()
			return
		case <-ticker.C:
			n.step(replica.Tick{Now: n.now(), Jitter: n.random.Float64()})
			n.leaveStuckDisk()
		case in := <-n.inbox:
			n.take(in)
		case first := <-n.proposed:
			n.proposeBatch(first)
		case first := <-n.asked:
			n.readBatch(first)
		}
		n.publish()
	}
}

// leaveStuckDisk hands the lead over while a write takes long: what the others
// commit meanwhile can't be applied here, so nobody would be answered. A replica
// whose disk is stuck can't vote, so it isn't elected again before.
func (n *Node) leaveStuckDisk() {
	patience := n.set.Replication.ElectionTimeout
	if n.state.Role() != replica.RoleLeader || n.disk.stuckFor(n.now()) < patience || n.now()-n.steppedAside < patience {
		return
	}
	n.steppedAside = n.now()
	telemetry.ControlDiskStuck.Log(n.logger, zap.Duration("for", n.disk.stuckFor(n.now())))
	n.step(replica.TransferLeadership{})
}

func (n *Node) take(in any) {
	switch in := in.(type) {
	case replica.Event:
		n.step(in)
	case inspection:
		in(n.state)
	case change:
		n.waiters.add(in.id, in.done)
		n.step(replica.ChangeMembers{ID: in.id, Change: in.change})
	}
}

// post hands an input to the loop, unless the node stops.
func (n *Node) post(in any) bool {
	select {
	case n.inbox <- in:
		return true
	case <-n.stop.Done():
		return false
	}
}

var errStopping = errors.New("the process is stopping")

// inspect runs f on the loop and waits for it.
func (n *Node) inspect(ctx context.Context, f inspection) error {
	done := make(chan struct{})
	wrapped := inspection(func(s *replica.State) {
		f(s)
		close(done)
	})
	if !n.post(wrapped) {
		return errStopping
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stop.Done():
		return errStopping
	}
}

func (n *Node) step(event replica.Event) {
	for _, effect := range n.state.Step(event) {
		n.carryOut(effect)
	}
	if at := n.state.CurrentAt(); at != n.currentAt {
		n.currentAt = at
		n.applier.add(currentSince(at))
	}
}

func (n *Node) carryOut(effect replica.Effect) {
	switch e := effect.(type) {
	case replica.Persist:
		n.disk.add(diskWork{persist: &e})
	case replica.Send:
		n.peers.send(e.Message)
	case replica.SendSnapshot:
		n.sendSnapshot(e)
	case replica.Apply:
		n.applier.add(e)
	case replica.Restore:
		n.restore(e)
	case replica.Accepted:
		n.waiters.accepted(e)
	case replica.Refused:
		n.waiters.refused(e)
	case replica.ReadReady:
		n.applier.add(e)
	case replica.ReadFailed:
		n.waiters.read(e.ID, false)
	}
}

// publish lets others see the state, and wakes them when role or leader have
// changed.
func (n *Node) publish() {
	n.noteMembers()
	s := n.state
	next := &view{
		role:   s.Role(),
		term:   s.Term(),
		leader: s.Leader(),
	}
	next.leaderAddress = n.addressOf(next.leader)
	before := n.view.Swap(next)
	if before == nil || before.role == next.role && before.leader == next.leader {
		return
	}
	if before.role == replica.RoleLeader && next.role != replica.RoleLeader {
		n.waiters.doubtAll()
	}
	telemetry.ControlRole.Log(n.logger,
		zap.Stringer("role", next.role),
		zap.Uint64("term", next.term),
		zap.String("leader", next.leader.ID))
	n.changed.signal()
}

// addressOf returns where a replica is reached. Where its own messages come
// from goes before the membership, which a moved VM makes outdated.
func (n *Node) addressOf(id replica.Identity) string {
	if address := n.peers.learned(id); address != "" {
		return address
	}
	members, _ := n.state.Membership()
	member, _ := members.Find(id)
	return member.Address
}

// quorumAge returns the time since the replica was last known to be current,
// and false for never.
func (n *Node) quorumAge() (time.Duration, bool) {
	at := time.Duration(n.applier.currentAt.Load())
	if at == 0 {
		return 0, false
	}
	return n.now() - at, true
}

// quorumAgeMS is quorumAge in milliseconds as the replies carry it, -1 for
// never.
func (n *Node) quorumAgeMS() int64 {
	age, ok := n.quorumAge()
	if !ok {
		return -1
	}
	return age.Milliseconds()
}
