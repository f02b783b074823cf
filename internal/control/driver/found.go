package driver

import (
	"context"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/telemetry"
)

// mayFound reports whether this replica takes part in founding the group: it
// holds nothing and its settings name it as one of the first members.
func (n *Node) mayFound() bool {
	return n.isFirstMember() && !n.set.Join && n.state.LastIndex() == 0
}

// foundGroup asks the other first members who they are until the group exists.
// The one with the lowest id founds it, once every one of them has answered
// that it holds nothing: a member whose disk was lost else founds a second
// group beside the one that the others still hold.
func (n *Node) foundGroup() {
	defer n.running.Done()
	ticker := time.NewTicker(2 * n.set.Replication.Heartbeat)
	defer ticker.Stop()
	for {
		if n.foundingDone() {
			return
		}
		select {
		case <-n.stop.Done():
			return
		case <-ticker.C:
		}
	}
}

// foundingDone makes one try and reports whether there is nothing left to do.
func (n *Node) foundingDone() bool {
	held := false
	err := n.inspect(n.stop, func(s *replica.State) { held = s.LastIndex() > 0 })
	if err != nil || held {
		return true
	}
	members := replica.Membership{Group: newUnique()}
	first := true
	for _, peer := range n.firstMembers() {
		hello, ok := n.greet(peer)
		switch {
		case !ok:
			return false
		case hello.Founded:
			// The replica may be one of the first members that the leader has
			// not reached yet, or one whose disk was lost.
			telemetry.ControlGroupExists.Log(n.logger, zap.String("member", peer.Address))
			return true
		}
		first = first && n.self.ID <= hello.Identity.ID
		members.Members = append(members.Members, replica.Member{
			Identity:   hello.Identity,
			Address:    peer.Address,
			DataCentre: hello.DataCentre,
			Voter:      true,
		})
	}
	if first {
		telemetry.ControlFounded.Log(n.logger, zap.String("founding", members.Group))
		n.post(replica.Bootstrap{Membership: members})
	}
	return first
}

// greet asks a first member who it is.
func (n *Node) greet(peer settings.Peer) (HelloReply, bool) {
	if peer.ID == n.self.ID || peer.Address == n.Address() {
		return HelloReply{Identity: n.self, DataCentre: n.set.Node.DataCentre}, true
	}
	ctx, cancel := context.WithTimeout(n.stop, n.set.Replication.ElectionTimeout)
	defer cancel()
	var hello HelloReply
	err := n.client.Call(ctx, peer.Address, methodHello, &HelloArgs{Group: n.set.Group}, &hello)
	return hello, err == nil && (peer.ID == "" || hello.Identity.ID == peer.ID)
}

// firstMembers returns the voters that found the group: those of the settings,
// or the control processes that discovery begins with, whose ids are not known.
func (n *Node) firstMembers() []settings.Peer {
	if len(n.set.Members) > 0 {
		return n.set.Members
	}
	var peers []settings.Peer
	for _, address := range n.set.Discovery.SeedAddresses() {
		peers = append(peers, settings.Peer{Address: address})
	}
	return peers
}

func (n *Node) isFirstMember() bool {
	for _, peer := range n.firstMembers() {
		if peer.ID == n.self.ID || peer.Address == n.Address() {
			return true
		}
	}
	return false
}
