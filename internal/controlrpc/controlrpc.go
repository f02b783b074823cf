// Package controlrpc defines the net/rpc methods that a control process serves
// to entry nodes and to wigeonctl, with their arguments and replies. The
// methods that control replicas call on each other are in package driver.
package controlrpc

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/wire"
)

// Names of the methods about the configuration, the ledger and the group, for
// wire.Client.Call.
const (
	MethodApply   = "Control.Apply"
	MethodFetch   = "Control.Fetch"
	MethodHistory = "Control.History"
	MethodClaim   = "Control.Claim"
	MethodRecord  = "Control.Record"
	MethodStatus  = "Control.Status"
	MethodReplace = "Control.Replace"
)

// ErrorCode tells why a control process did not execute a call.
type ErrorCode string

// CodeOK is success; the others are errors. With CodeNoQuorum and CodeStopping
// it is unknown whether the call took effect, unless NotApplied is set in the
// reply.
const (
	CodeOK        ErrorCode = ""
	CodeNotLeader ErrorCode = "not_leader"
	CodeNoQuorum  ErrorCode = "no_quorum"
	CodeStopping  ErrorCode = "stopping"
	CodeInvalid   ErrorCode = "invalid"
)

// Result is the status of a call. Every reply except StatusReply has one.
type Result struct {
	Code ErrorCode
	// Leader is the address of the leader, if known. It is set for
	// CodeNotLeader.
	Leader string
	// NotApplied is set if the call has not taken effect and never will.
	NotApplied bool
	Detail     string
}

// ApplyArgs submits a ticket.
type ApplyArgs struct {
	Envelope wire.Envelope
	Ticket   api.Ticket
}

// ApplyReply is the reply to a ticket. Reply is valid only with CodeOK.
type ApplyReply struct {
	Result Result
	Reply  api.TicketReply
}

// FetchArgs requests the configuration changes after version Since. If WaitMS
// is above 0, the call is held until there is a newer version, but no longer
// than WaitMS milliseconds.
type FetchArgs struct {
	Envelope wire.Envelope
	Since    uint64
	WaitMS   int64
	// Confirmed requires a quorum to confirm that the reply is current.
	// Otherwise the replica returns what it has applied.
	Confirmed bool
}

// FetchReply holds the configuration changes since the requested version.
type FetchReply struct {
	Result Result
	Delta  api.ConfigDelta
	// Applied is the version that the replica has applied.
	Applied uint64
	// QuorumAgeMS is the time in milliseconds since a quorum last confirmed
	// that the replica was current; -1 means never.
	QuorumAgeMS int64
}

// HistoryArgs requests the accepted tickets that changed an object.
type HistoryArgs struct {
	Envelope wire.Envelope
	// Object selects an object; nil selects every retained ticket.
	Object *api.ObjectRef
}

// HistoryEntry is one accepted ticket.
type HistoryEntry struct {
	Ticket  api.Ticket
	Version uint64
	// AcceptedUnixMS is the leader's clock when it accepted the ticket, in Unix
	// milliseconds.
	AcceptedUnixMS int64
}

// HistoryReply lists accepted tickets, oldest first.
type HistoryReply struct {
	Result  Result
	Entries []HistoryEntry
}

// ClaimState is the state of an idempotency key in the ledger.
type ClaimState string

// States of a key.
const (
	// ClaimHeld means that the key is claimed and has no recorded outcome.
	ClaimHeld ClaimState = "held"
	// ClaimRan means that the request was executed; its outcome is recorded.
	ClaimRan ClaimState = "ran"
	// ClaimNotRun means that the request is known not to have been executed.
	ClaimNotRun ClaimState = "not_run"
)

// ClaimVerdict is the ledger's decision about a claim.
type ClaimVerdict string

// Verdicts on a claim.
const (
	// ClaimGranted allows the claimant to dispatch the request once.
	ClaimGranted ClaimVerdict = "granted"
	// ClaimTaken means that another claim or claimant holds the key.
	ClaimTaken ClaimVerdict = "taken"
	// ClaimRecorded means that the key has a recorded outcome.
	ClaimRecorded ClaimVerdict = "recorded"
	// ClaimMismatch means that the key was used for another body or service.
	ClaimMismatch ClaimVerdict = "mismatch"
	// ClaimExpired means that the key is older than the ledger's retention.
	ClaimExpired ClaimVerdict = "expired"
	// ClaimAbandoned means that the claimant gave up the claim before it was
	// committed.
	ClaimAbandoned ClaimVerdict = "abandoned"
)

// Outcome is the recorded outcome of a non-idempotent request.
type Outcome struct {
	// Status is the HTTP status that was returned to the caller.
	Status int
	Result string
}

// ClaimArgs claims a key for one dispatch.
type ClaimArgs struct {
	Envelope wire.Envelope
	Key      string
	// KeyTimeUnixMS is the time that the key carries, in Unix milliseconds.
	KeyTimeUnixMS int64
	// Claim identifies this attempt of this claimant. Repeating the call with
	// the same Claim is idempotent.
	Claim    uint64
	Claimant string
	Service  string
	// Fingerprint is a hash of the service and the body.
	Fingerprint uint64
}

// ClaimReply is the ledger's decision. It is valid only with CodeOK.
type ClaimReply struct {
	Result  Result
	Verdict ClaimVerdict
	Outcome Outcome
}

// RecordArgs records the outcome of a claim.
type RecordArgs struct {
	Envelope wire.Envelope
	Key      string
	Claim    uint64
	// State is ClaimRan or ClaimNotRun.
	State   ClaimState
	Outcome Outcome
	// KeyTimeUnixMS is the time that the key carries, in Unix milliseconds.
	KeyTimeUnixMS int64
}

// RecordReply acknowledges that the outcome is committed.
type RecordReply struct {
	Result Result
}

// StatusArgs requests a control process's own view of the group.
type StatusArgs struct {
	Envelope wire.Envelope
}

// MemberRole is the role of a replica in the control group.
type MemberRole string

// Roles of a replica.
const (
	RoleVoter   MemberRole = "voter"
	RoleLearner MemberRole = "learner"
)

// Member is a replica in the membership of the control group.
type Member struct {
	ID          string
	Incarnation string
	Address     string
	DataCentre  string
	Role        MemberRole
	// MatchIndex is the last log index that the leader knows to be replicated
	// to this replica; 0 unless the replying replica is the leader.
	MatchIndex uint64
	// LastHeardMS is the time in milliseconds since the leader last received a
	// message from this replica; -1 if unknown.
	LastHeardMS int64
}

// StatusReply is one replica's view of the control group.
type StatusReply struct {
	ID          string
	Incarnation string
	State       string // follower, candidate, leader or learner
	Term        uint64
	Leader      string // the leader's ID, empty if unknown
	// LastIndex, Commit and Applied are the log indexes of the last entry, the
	// last committed entry and the last one passed to the state machine.
	LastIndex uint64
	Commit    uint64
	Applied   uint64
	// Version is the configuration version that the replica has applied.
	Version uint64
	Members []Member
	// QuorumAgeMS is as in FetchReply.
	QuorumAgeMS int64
	LogBytes    int64
	// Claims is the number of keys in the ledger.
	Claims int
}

// ReplaceArgs requests that a VM replace another member of the group, or rejoin
// with an empty data folder.
type ReplaceArgs struct {
	Envelope wire.Envelope
	// Old is the ID of the replica to remove; equal to New after a lost disk.
	Old        string
	New        string
	Address    string
	DataCentre string
}

// ReplaceReply reports the progress of a replacement. Repaired is set only when
// the new replica holds everything committed and its promotion to voter is
// committed.
type ReplaceReply struct {
	Result   Result
	Stage    string // "learner", "catching_up", "promoting" or "repaired"
	Repaired bool
	// Match is the last log index that the new replica is known to hold, Commit
	// the leader's last committed one.
	Match  uint64
	Commit uint64
}

// DefaultCallTimeout bounds a call whose caller sets no deadline.
const DefaultCallTimeout = 2 * time.Second
