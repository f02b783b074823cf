package membership

import "time"

// TickInterval is the interval at which the driver sends Tick events.
const TickInterval = 100 * time.Millisecond

// purgeInterval is the time between two scans for records past their retention.
const purgeInterval = time.Minute

// Timing holds the intervals, timeouts and limits of the protocol.
type Timing struct {
	// ProbeInterval is the time between two probes by one node. The local
	// health score lengthens it.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe waits before indirect ones start.
	// The local health score lengthens it.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members asked to probe on behalf of this
	// node.
	IndirectProbes int
	// SuspicionTimeout is how long a member has to refute a suspicion, for each
	// decimal digit of the number of members in its data centre.
	SuspicionTimeout time.Duration
	// Fanout is the number of peers that rumours are pushed to in one round. A
	// data centre of up to twice as many members counts as small: its nodes
	// push to all of its members.
	Fanout int
	// Contacts is the number of members that a node probes and pushes to in a
	// data centre of more than twice as many. Each costs a connection.
	Contacts int
	// GossipInterval is the time between two rounds of pushing the same rumour.
	GossipInterval time.Duration
	// GossipRounds bounds the rounds for one rumour.
	GossipRounds int
	// DuplicateLimit is the number of receivers that already had a record after
	// which a node in a large data centre stops pushing it.
	DuplicateLimit int
	// DrainDuplicateLimit is the same for the record of a target in a state that
	// accepts no work, which must reach every node soon.
	DrainDuplicateLimit int
	// SyncInterval is the time between two digest comparisons with a member of
	// the same data centre.
	SyncInterval time.Duration
	// MinPause is the shortest time since the last tick that a node takes for a
	// pause of its process.
	MinPause time.Duration
	// SettleTime is how long after a pause a node suspects nobody and declares
	// nobody dead.
	SettleTime time.Duration
	// IsolatedAfter is the silence of all peers after which a node considers
	// itself isolated.
	IsolatedAfter time.Duration
	// Bridges is the number of nodes of a data centre that keep contact with
	// each other data centre.
	Bridges int
	// BridgeInterval is the time between two contacts of a bridge with each
	// other data centre.
	BridgeInterval time.Duration
	// UnreachedAfter is the silence of another data centre after which a bridge
	// reports it as unreached.
	UnreachedAfter time.Duration
	// RejoinInterval is the time between two attempts to reach a dead member or
	// a seed that is not a member.
	RejoinInterval time.Duration
	// Owners is the number of nodes that own a target's lease.
	Owners int
	// LeaseCheck is how long an owner waits for peers to report a renewal that
	// it missed before it expires a lease.
	LeaseCheck time.Duration
	// LeaseScan is the time between two scans of the leases.
	LeaseScan time.Duration
	// AnnounceWait bounds the wait for another node to acknowledge an
	// announcement before the target gets its reply.
	AnnounceWait time.Duration
	// SilentAfter is the silence of all peers after which a node asks targets
	// to renew sooner, so that their renewals reach another node.
	SilentAfter time.Duration
	// SilentRenewInterval is the time until the next renewal that such a node
	// asks for.
	SilentRenewInterval time.Duration
	// Retention is how long the records of dead or departed members and of gone
	// targets are kept, so that stale records from peers don't restore them.
	Retention time.Duration
	// LeaveTimeout bounds the wait for a leave to be acknowledged.
	LeaveTimeout time.Duration
}

// DefaultTiming returns the timing that the entry nodes use.
func DefaultTiming() Timing {
	return Timing{
		ProbeInterval:       time.Second,
		ProbeTimeout:        300 * time.Millisecond,
		IndirectProbes:      3,
		SuspicionTimeout:    4 * time.Second,
		Fanout:              4,
		Contacts:            32,
		GossipInterval:      200 * time.Millisecond,
		GossipRounds:        25,
		DuplicateLimit:      2,
		DrainDuplicateLimit: 10,
		SyncInterval:        time.Second,
		MinPause:            time.Second,
		SettleTime:          2 * time.Second,
		IsolatedAfter:       4 * time.Second,
		Bridges:             2,
		BridgeInterval:      time.Second,
		UnreachedAfter:      5 * time.Second,
		RejoinInterval:      3 * time.Second,
		Owners:              2,
		LeaseCheck:          500 * time.Millisecond,
		LeaseScan:           500 * time.Millisecond,
		AnnounceWait:        300 * time.Millisecond,
		SilentAfter:         2 * time.Second,
		SilentRenewInterval: 500 * time.Millisecond,
		Retention:           24 * time.Hour,
		LeaveTimeout:        time.Second,
	}
}
