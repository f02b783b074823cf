package membership

import "time"

// TickInterval is the time between two ticks of the driver.
const TickInterval = 100 * time.Millisecond

// forgetInterval is the time between two looks for records past their retention.
const forgetInterval = time.Minute

// Timing holds the times and counts of the protocol.
type Timing struct {
	// ProbeInterval is the time between two probes by one node.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe waits before indirect ones start.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members asked to probe for this node.
	IndirectProbes int
	// Suspicion is how long a member has to refute a suspicion, for each
	// decimal order of the number of members.
	Suspicion time.Duration
	// Fanout is the number of peers that news is pushed to in one round.
	Fanout int
	// Contacts is the number of members of a large data centre that a node
	// probes and pushes to: each costs a connection.
	Contacts int
	// GossipInterval is the time between two rounds of pushing the same news.
	GossipInterval time.Duration
	// GossipRounds bounds the rounds for one piece of news.
	GossipRounds int
	// KnownLimit is the number of receivers that had a piece of news already
	// after which a node in a large data centre stops to push it.
	KnownLimit int
	// LeavingKnownLimit is the same for news of a target that takes no more work,
	// which must reach every node soon.
	LeavingKnownLimit int
	// SyncInterval is the time between two comparisons of digests.
	SyncInterval time.Duration
	// FrozenGap is the gap between two ticks from which a node counts itself as
	// having been frozen.
	FrozenGap time.Duration
	// Settle is how long a node that was frozen accuses nobody.
	Settle time.Duration
	// IsolatedAfter is the silence of all peers after which a node counts
	// itself as cut off.
	IsolatedAfter time.Duration
	// Bridges is the number of nodes of a data centre that keep contact with
	// the others.
	Bridges int
	// BridgeInterval is the time between two contacts of a bridge with each
	// other data centre.
	BridgeInterval time.Duration
	// UnreachedAfter is the silence of another data centre after which a bridge
	// calls it unreached.
	UnreachedAfter time.Duration
	// RejoinInterval is the time between two tries at a dead member or a seed.
	RejoinInterval time.Duration
	// Owners is the number of nodes that keep a target's lease.
	Owners int
	// LeaseCheck is how long an owner waits for others to tell of a renewal
	// that it missed.
	LeaseCheck time.Duration
	// LeaseScan is the time between two scans of the leases.
	LeaseScan time.Duration
	// AnnounceWait bounds the wait for another node to hold an announcement
	// before the target gets its answer.
	AnnounceWait time.Duration
	// SilentAfter is the silence of all peers after which a node has targets
	// renew sooner, so that they find another node.
	SilentAfter time.Duration
	// SilentRenew is the time after which it has them renew.
	SilentRenew time.Duration
	// Retention is how long the records of ended members and gone targets are
	// kept, so that old news doesn't bring them back.
	Retention time.Duration
	// LeaveTimeout bounds the wait for a leave to be acknowledged.
	LeaveTimeout time.Duration
}

// DefaultTiming returns the times that the entry nodes use.
func DefaultTiming() Timing {
	return Timing{
		ProbeInterval:     time.Second,
		ProbeTimeout:      300 * time.Millisecond,
		IndirectProbes:    3,
		Suspicion:         4 * time.Second,
		Fanout:            4,
		Contacts:          32,
		GossipInterval:    200 * time.Millisecond,
		GossipRounds:      25,
		KnownLimit:        2,
		LeavingKnownLimit: 10,
		SyncInterval:      time.Second,
		FrozenGap:         time.Second,
		Settle:            2 * time.Second,
		IsolatedAfter:     4 * time.Second,
		Bridges:           2,
		BridgeInterval:    time.Second,
		UnreachedAfter:    5 * time.Second,
		RejoinInterval:    3 * time.Second,
		Owners:            2,
		LeaseCheck:        500 * time.Millisecond,
		LeaseScan:         500 * time.Millisecond,
		AnnounceWait:      300 * time.Millisecond,
		SilentAfter:       2 * time.Second,
		SilentRenew:       500 * time.Millisecond,
		Retention:         24 * time.Hour,
		LeaveTimeout:      time.Second,
	}
}
