// Package controlrpc defines the net/rpc methods that a control process
// offers to entry nodes and to wigeonctl, with their arguments and replies.
// The messages between control replicas themselves are not part of it.
package controlrpc

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/wire"
)

// Names of the methods, for wire.Client.Call.
const (
	MethodApply   = "Control.Apply"
	MethodFetch   = "Control.Fetch"
	MethodHistory = "Control.History"
	MethodClaim   = "Control.Claim"
	MethodRecord  = "Control.Record"
	MethodStatus  = "Control.Status"
	MethodReplace = "Control.Replace"
)

// ErrorCode says why a control process did not carry out a call.
type ErrorCode string

// Codes of refused calls. With CodeNoQuorum the call's effect is in doubt
// unless NotApplied is set in the reply.
const (
	CodeOK        ErrorCode = ""
	CodeNotLeader ErrorCode = "not_leader"
	CodeNoQuorum  ErrorCode = "no_quorum"
	CodeStopping  ErrorCode = "stopping"
	CodeInvalid   ErrorCode = "invalid"
)

// Result heads every reply.
type Result struct {
	Code ErrorCode
	// Leader is the address of the leader, when known, for CodeNotLeader.
	Leader string
	// NotApplied tells that the call certainly had and will have no effect.
	NotApplied bool
	Detail     string
}

// ApplyArgs carries a ticket.
type ApplyArgs struct {
	Envelope wire.Envelope
	Ticket   api.Ticket
}

// ApplyReply answers a ticket; Reply holds only with CodeOK.
type ApplyReply struct {
	Result Result
	Reply  api.TicketReply
}

// FetchArgs asks for the configuration after a version. With WaitMS above 0
// the call is held until there is something newer, for at most that long.
type FetchArgs struct {
	Envelope wire.Envelope
	Since    uint64
	WaitMS   int64
	// Confirmed asks that a quorum confirm the reply as current; without it
	// the replica answers with what it has applied.
	Confirmed bool
}

// FetchReply brings the configuration forward.
type FetchReply struct {
	Result Result
	Delta  api.ConfigDelta
	// Applied is the version that the replica has applied.
	Applied uint64
	// QuorumAgeMS is the time in milliseconds since the replica last knew
	// itself to be current with a quorum; -1 means never.
	QuorumAgeMS int64
}

// HistoryArgs asks for the accepted tickets that touched an object.
type HistoryArgs struct {
	Envelope wire.Envelope
	// Object limits the history; nil means every ticket kept.
	Object *api.ObjectRef
}

// HistoryEntry is one accepted ticket.
type HistoryEntry struct {
	Ticket  api.Ticket
	Version uint64
	// AcceptedUnixMS is the leader's clock at acceptance, in milliseconds.
	AcceptedUnixMS int64
}

// HistoryReply lists accepted tickets, oldest first.
type HistoryReply struct {
	Result  Result
	Entries []HistoryEntry
}

// ClaimState is the state of a key in the ledger.
type ClaimState string

// States of a key.
const (
	// ClaimHeld is a claimed key whose outcome is not recorded.
	ClaimHeld ClaimState = "held"
	// ClaimRan is a key whose request ran; its outcome is recorded.
	ClaimRan ClaimState = "ran"
	// ClaimNotRun is a key whose request is proved not to have run.
	ClaimNotRun ClaimState = "not_run"
)

// ClaimVerdict is the ledger's decision about a claim.
type ClaimVerdict string

// Verdicts on a claim.
const (
	// ClaimGranted lets the claimant dispatch, once.
	ClaimGranted ClaimVerdict = "granted"
	// ClaimTaken is a key held by another claim, or by this one's twin.
	ClaimTaken ClaimVerdict = "taken"
	// ClaimRecorded is a key with a recorded outcome.
	ClaimRecorded ClaimVerdict = "recorded"
	// ClaimMismatch is a key used for another body or service.
	ClaimMismatch ClaimVerdict = "mismatch"
	// ClaimExpired is a key older than the ledger's retention.
	ClaimExpired ClaimVerdict = "expired"
	// ClaimAbandoned is a claim whose claimant gave it up before it committed.
	ClaimAbandoned ClaimVerdict = "abandoned"
)

// Outcome is the recorded outcome of a non-idempotent request.
type Outcome struct {
	// Status is the HTTP status that the caller got.
	Status int
	Result string
}

// ClaimArgs claims a key for one dispatch.
type ClaimArgs struct {
	Envelope wire.Envelope
	Key      string
	// KeyTimeUnixMS is the time that the key carries, in milliseconds.
	KeyTimeUnixMS int64
	// Claim is unique to this attempt of this claimant; repeating the call
	// with the same Claim is idempotent.
	Claim    uint64
	Claimant string
	Service  string
	// Fingerprint is a hash of the service and the body.
	Fingerprint uint64
}

// ClaimReply is the ledger's decision. It holds only with CodeOK.
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
	// KeyTimeUnixMS is the time that the key carries, in milliseconds.
	KeyTimeUnixMS int64
}

// RecordReply acknowledges a committed record.
type RecordReply struct {
	Result Result
}

// StatusArgs asks a control process for its own view.
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

// Member is a replica as the control group's membership names it.
type Member struct {
	ID          string
	Incarnation string
	Address     string
	DataCentre  string
	Role        MemberRole
	// MatchIndex is the last log index that the leader knows the replica to
	// hold; 0 unless the asked replica is the leader.
	MatchIndex uint64
	// LastHeardMS is the time in milliseconds since the leader heard from the
	// replica; -1 when unknown.
	LastHeardMS int64
}

// StatusReply is one replica's view of the control group.
type StatusReply struct {
	ID          string
	Incarnation string
	State       string // follower, candidate, leader or learner
	Term        uint64
	Leader      string
	LastIndex   uint64
	Commit      uint64
	Applied     uint64
	Version     uint64
	Members     []Member
	// QuorumAgeMS is as in FetchReply.
	QuorumAgeMS int64
	LogBytes    int64
	Claims      int
}

// ReplaceArgs brings a VM into the group in place of another, or back with an
// empty data folder.
type ReplaceArgs struct {
	Envelope wire.Envelope
	// Old is the id of the replica that leaves; equal to New after a lost disk.
	Old        string
	New        string
	Address    string
	DataCentre string
}

// ReplaceReply reports the replacement's progress. Repaired is set only once
// the new replica holds everything committed and is a committed voter.
type ReplaceReply struct {
	Result   Result
	Stage    string // "learner", "catching_up", "promoting" or "repaired"
	Repaired bool
	Match    uint64
	Commit   uint64
}

// DefaultCallTimeout bounds a call whose caller names no deadline.
const DefaultCallTimeout = 2 * time.Second
