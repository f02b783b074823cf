package replica

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Identity identifies a replica by the ID from its settings and the incarnation
// stored on its disk. Without the incarnation, a replica that lost its disk
// could vote a second time in a term, or be counted as holding entries that it
// lost.
type Identity struct {
	ID          string
	Incarnation string
}

// IsZero reports whether i is the zero Identity, which identifies no replica.
func (i Identity) IsZero() bool { return i == Identity{} }

// compare orders identities by ID and then by incarnation.
func (i Identity) compare(other Identity) int {
	return cmp.Or(strings.Compare(i.ID, other.ID), strings.Compare(i.Incarnation, other.Incarnation))
}

// Member is a replica in the group's membership. A member that is not a voter
// is a learner: it receives the log but does not count towards a quorum.
type Member struct {
	Identity   Identity
	Address    string
	DataCentre string
	Voter      bool
	// Replaces is the ID of the replica that this one was added to replace. It
	// distinguishes a replacement in progress from a request that names an
	// existing voter by mistake.
	Replaces string
}

// Membership is the set of replicas of one group. Group is generated when the
// group is bootstrapped and never changes.
type Membership struct {
	Group   string
	Members []Member
}

// Find returns the member with the given identity.
func (m Membership) Find(id Identity) (Member, bool) {
	for _, member := range m.Members {
		if member.Identity == id {
			return member, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id Identity) bool {
	member, ok := m.Find(id)
	return ok && member.Voter
}

// Voters returns the identities of the voters.
func (m Membership) Voters() []Identity {
	var out []Identity
	for _, member := range m.Members {
		if member.Voter {
			out = append(out, member.Identity)
		}
	}
	return out
}

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int { return len(m.Voters())/2 + 1 }

// with returns a copy that contains member, in place of any member of the same
// identity.
func (m Membership) with(member Member) Membership {
	out := m.without(member.Identity)
	out.Members = append(out.Members, member)
	return out
}

// without returns a copy that does not contain id.
func (m Membership) without(id Identity) Membership {
	members := slices.DeleteFunc(slices.Clone(m.Members), func(other Member) bool {
		return other.Identity == id
	})
	return Membership{Group: m.Group, Members: members}
}

// EntryKind is the kind of content that a log entry carries.
type EntryKind uint8

// Kinds of log entries.
const (
	// EntryNoop has no content; a new leader begins its term with one.
	EntryNoop EntryKind = iota + 1
	// EntryCommand carries a command for the state machine.
	EntryCommand
	// EntryMembership carries the group's new membership.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index      uint64
	Term       uint64
	Kind       EntryKind
	Data       []byte
	Membership *Membership
}

// HardState is the election state that must survive a restart. A replica that
// lost its vote could vote twice in a term, so that two leaders are elected.
type HardState struct {
	Term uint64
	Vote Identity
}

// SnapshotMeta describes the part of the log that a snapshot replaces.
type SnapshotMeta struct {
	Index      uint64
	Term       uint64
	Membership Membership
}

// Snapshot is the state machine's state after the entry at Meta.Index.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// Role is a replica's role in its current term.
type Role uint8

// Roles of a replica.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the role as shown to operators, who see both kinds of
// candidate under one name.
func (r Role) String() string {
	return [...]string{"follower", "candidate", "candidate", "leader"}[r]
}

// bootstrapTerm is the term of the entry that bootstraps a group.
const bootstrapTerm = 1

// Config holds the settings of one replica.
type Config struct {
	Self Identity
	// Boot is a random number that identifies this process start. Times and
	// read IDs of an earlier start have no meaning in this one.
	Boot uint64
	// Heartbeat is the interval between a leader's messages to each member.
	Heartbeat time.Duration
	// ElectionTimeout is how long a follower waits for a leader, before jitter,
	// and how long a leader stays leader without contact with a quorum.
	ElectionTimeout time.Duration
	// FirstElectionTimeout is how long a replica that has heard from no leader
	// since its start waits for one, before jitter; 0 means ElectionTimeout.
	// After all replicas were stopped, nothing can be committed until one of
	// them campaigns. A short value is safe: a pre-vote that comes too early
	// does not disrupt a working leader.
	FirstElectionTimeout time.Duration
	// MaxBatchEntries and MaxBatchBytes limit the size of one AppendRequest.
	MaxBatchEntries int
	MaxBatchBytes   int
	// MaxInflight limits the AppendRequests with entries that a member has not
	// yet answered; without it, a slow member would fill the leader's memory.
	MaxInflight int
}

// Defaults of the limits in Config.
const (
	DefaultMaxBatchEntries = 256
	DefaultMaxBatchBytes   = 1 << 20
	DefaultMaxInflight     = 16
)
