package driver

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/bootclock"
	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/telemetry"
)

// view is the part of the protocol state that other goroutines can read.
type view struct {
	role          replica.Role
	term          uint64
	leader        replica.Identity
	leaderAddress string
	// since is the time from which the role and the term are known to be these, and sinceBoot
	// the same on the clock of package bootclock.
	since     time.Duration
	sinceBoot time.Duration
}

// loopFunc is a function that the loop calls with the protocol state.
type loopFunc func(*replica.State)

// loop owns the protocol state. Only this goroutine calls Step.
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
			n.transferOnStuckDisk()
		case in := <-n.inbox:
			n.handleInput(in)
		case first := <-n.proposals:
			n.proposeBatch(first)
		case first := <-n.readRequests:
			n.readBatch(first)
		}
		n.publishView()
	}
}

// transferOnStuckDisk transfers leadership while a write takes longer than an
// election timeout. Entries committed by the others could not be applied here,
// so callers would get no answer. A replica whose disk is stuck can't vote, so
// it isn't elected again until the write finishes.
func (n *Node) transferOnStuckDisk() {
	timeout := n.cfg.Replication.ElectionTimeout
	if n.state.Role() != replica.RoleLeader || n.disk.writeDuration(n.now()) < timeout || n.now()-n.lastTransfer < timeout {
		return
	}
	n.lastTransfer = n.now()
	telemetry.ControlSlowDiskTransfer.Log(n.logger, zap.Duration("for", n.disk.writeDuration(n.now())))
	n.step(replica.TransferLeadership{})
}

func (n *Node) handleInput(in any) {
	switch in := in.(type) {
	case replica.Event:
		n.step(in)
	case loopFunc:
		in(n.state)
	case change:
		n.waiters.add(in.id, in.done)
		n.step(replica.ChangeMembers{ID: in.id, Change: in.change})
	}
}

// post passes an input to the loop. It returns false if the node is stopping.
func (n *Node) post(in any) bool {
	select {
	case n.inbox <- in:
		return true
	case <-n.stop.Done():
		return false
	}
}

var errStopping = errors.New("the process is stopping")

// inspect runs f on the loop and waits until it has run.
func (n *Node) inspect(ctx context.Context, f loopFunc) error {
	done := make(chan struct{})
	wrapped := loopFunc(func(s *replica.State) {
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
		n.execute(effect)
	}
	if at := n.state.CurrentAt(); at != n.currentAt {
		n.currentAt = at
		n.applier.add(currentAtChanged(at))
	}
}

func (n *Node) execute(effect replica.Effect) {
	switch e := effect.(type) {
	case replica.Persist:
		n.disk.add(diskTask{persist: &e})
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
		n.waiters.readDone(e.ID, false)
	}
}

// publishView makes the current state visible to other goroutines, and wakes
// those that wait for a change of the role or the leader.
func (n *Node) publishView() {
	n.publishMemberAddresses()
	s := n.state
	next := &view{
		role:   s.Role(),
		term:   s.Term(),
		leader: s.Leader(),
	}
	next.leaderAddress = n.addressOf(next.leader)
	if last := n.view.Load(); last != nil && last.role == next.role && last.term == next.term {
		next.since, next.sinceBoot = last.since, last.sinceBoot
	} else {
		next.since, next.sinceBoot = n.now(), bootclock.Now()
	}
	before := n.view.Swap(next)
	if before == nil || before.role == next.role && before.leader == next.leader {
		return
	}
	if before.role == replica.RoleLeader && next.role != replica.RoleLeader {
		n.waiters.markAllUnknown()
	}
	telemetry.ControlRoleChanged.Log(n.logger,
		zap.Stringer("role", next.role),
		zap.Uint64("term", next.term),
		zap.String("leader", next.leader.ID))
	n.leaderChanged.signal()
}

// addressOf returns a replica's address. The address in its own messages takes
// precedence over the one in the membership, which is outdated once a VM has
// moved.
func (n *Node) addressOf(id replica.Identity) string {
	if address := n.peers.advertisedAddress(id); address != "" {
		return address
	}
	members, _ := n.state.Membership()
	member, _ := members.Find(id)
	return member.Address
}

// quorumAge returns the time since this replica was last known to be current;
// false means never.
func (n *Node) quorumAge() (time.Duration, bool) {
	at := time.Duration(n.applier.currentAt.Load())
	if at == 0 {
		return 0, false
	}
	return n.now() - at, true
}

// quorumAgeMS returns quorumAge in milliseconds as replies contain it; -1 means
// never.
func (n *Node) quorumAgeMS() int64 {
	age, ok := n.quorumAge()
	if !ok {
		return -1
	}
	return age.Milliseconds()
}
