package driver

import (
	"context"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/telemetry"
)

// canBootstrap reports whether this replica takes part in founding the group: its log is
// empty, and it has held none before as far as it knows.
func (n *Node) canBootstrap() bool {
	return n.mayFound() && n.state.LastIndex() == 0
}

// mayFound reports whether this replica is configured as one of the first members, and not as
// one that joins an existing group. One that has started for the first time and ended before
// the group was founded may be configured to join now. It holds the data folder of its first
// start, unlike one whose disk was lost.
func (n *Node) mayFound() bool {
	return n.isFirstMember() && (!n.cfg.Join || n.firstStart)
}

// bootstrapGroup contacts the other first members until the group exists. The group is
// founded once all of them have replied that their logs are empty, and a majority that they
// have held none before, by the one of these with the lowest ID. Nothing can have been
// committed then, as that takes a log on a majority. Otherwise members that lost their disks
// could found a second group while others still hold the first one.
func (n *Node) bootstrapGroup() {
	defer n.running.Done()
	ticker := time.NewTicker(2 * n.cfg.Replication.Heartbeat)
	defer ticker.Stop()
	for {
		if n.tryBootstrap() {
			return
		}
		select {
		case <-n.stop.Done():
			return
		case <-ticker.C:
		}
	}
}

// tryBootstrap makes one attempt and reports whether there is nothing left to
// do.
func (n *Node) tryBootstrap() bool {
	hasLog := false
	err := n.inspect(n.stop, func(s *replica.State) { hasLog = s.LastIndex() > 0 })
	if err != nil || hasLog {
		return true
	}
	members := replica.Membership{Group: newRandomID()}
	founders, lowestID := 0, true // of the members that don't join
	for _, peer := range n.firstMembers() {
		hello, ok := n.callHello(peer)
		switch {
		case !ok:
			return false
		case hello.Founded:
			// This replica may be a first member that the leader has not
			// reached yet, or one that lost its disk.
			telemetry.ControlGroupExists.Log(n.logger, zap.String("member", peer.Address))
			return true
		}
		if !hello.Joins {
			founders++
			lowestID = lowestID && n.self.ID <= hello.Identity.ID
		}
		members.Members = append(members.Members, replica.Member{
			Identity:   hello.Identity,
			Address:    peer.Address,
			DataCentre: hello.DataCentre,
			Voter:      true,
		})
	}
	if !lowestID || 2*founders <= len(members.Members) {
		return false
	}
	telemetry.ControlGroupBootstrapped.Log(n.logger, zap.String("founding", members.Group))
	n.post(replica.Bootstrap{Membership: members})
	return true
}

// callHello asks a first member for its identity. For this replica itself it
// returns the identity without a call.
func (n *Node) callHello(peer settings.Peer) (HelloReply, bool) {
	if peer.ID == n.self.ID || peer.Address == n.Address() {
		return HelloReply{Identity: n.self, DataCentre: n.cfg.Node.DataCentre}, true
	}
	ctx, cancel := context.WithTimeout(n.stop, n.cfg.Replication.ElectionTimeout)
	defer cancel()
	var hello HelloReply
	err := n.client.Call(ctx, peer.Address, methodHello, &HelloArgs{Group: n.cfg.Group}, &hello)
	return hello, err == nil && (peer.ID == "" || hello.Identity.ID == peer.ID)
}

// firstMembers returns the voters that found the group: the members in the
// settings, or else the discovery seeds, whose IDs are not known.
func (n *Node) firstMembers() []settings.Peer {
	if len(n.cfg.Members) > 0 {
		return n.cfg.Members
	}
	var peers []settings.Peer
	for _, address := range n.cfg.Discovery.SeedAddresses() {
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
