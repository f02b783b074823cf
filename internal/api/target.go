package api

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"
)

// TargetID is the name of a target, unique in the system.
type TargetID string

// TargetState is the state that a target announces.
type TargetState string

// States of a target. Only ready and warming targets receive work.
const (
	TargetStarting TargetState = "starting"
	// TargetWarming is the state after a cold start: the target serves, but slowly.
	TargetWarming  TargetState = "warming"
	TargetReady    TargetState = "ready"
	TargetDraining TargetState = "draining"
	TargetGone     TargetState = "gone"
)

// AcceptsWork reports whether new requests may be sent to a target in state s.
func (s TargetState) AcceptsWork() bool {
	return s == TargetReady || s == TargetWarming
}

// Withdrawn reports whether a target in state s accepts no more work, whatever it
// announces later within its incarnation.
func (s TargetState) Withdrawn() bool {
	return s == TargetDraining || s == TargetGone
}

// Holding lists the shards of a snapshot that a target holds.
type Holding struct {
	Snapshot Snapshot `json:"snapshot"`
	// LayoutShards is the number of shards in the snapshot's layout.
	LayoutShards int       `json:"layout_shards"`
	Shards       []ShardID `json:"shards"`
	// Warm means that the version is loaded and searches run at full speed.
	Warm bool `json:"warm"`
}

// Announcement describes a target and its state. The target posts it to
// /v1/targets/announce of any entry node when it starts, when its state changes,
// and to renew its lease.
type Announcement struct {
	Target TargetID `json:"target"`
	// Incarnation is increased by each start of the target's process.
	Incarnation uint64 `json:"incarnation"`
	// Sequence is increased by each change of state within an incarnation. A
	// renewal repeats the sequence of the state that it renews.
	Sequence   uint64      `json:"sequence"`
	Service    string      `json:"service"`
	Address    string      `json:"address"`
	DataCentre string      `json:"data_centre"`
	State      TargetState `json:"state"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts.
	Connections int       `json:"connections"`
	Holdings    []Holding `json:"holdings"`
	// LeaseMS is the time in milliseconds after which the target is considered
	// gone unless it renews its lease.
	LeaseMS int64 `json:"lease_ms"`
	// WarmupMS is the time in milliseconds for which a warming target expects to
	// remain slow; 0 if unknown.
	WarmupMS int64 `json:"warmup_ms,omitempty"`
	// Confirmed is set in a departure that named the incarnation. Reinstated counts how
	// often it was found that this incarnation goes on, after another departure of it or the
	// announcement of a later one in another service.
	// Both are set by control processes only.
	Confirmed  bool   `json:"confirmed,omitempty"`
	Reinstated uint32 `json:"reinstated,omitempty"`
}

// FinalSequence is the sequence of an announcement that no other one of the same
// incarnation supersedes. Targets send lower ones.
const FinalSequence = math.MaxUint64

// Supersedes reports whether a is newer than b, an announcement of the same
// target.
func (a Announcement) Supersedes(b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Validate returns an error for the first invalid field of an announcement.
func (a Announcement) Validate() error {
	if a.Target == "" {
		return errors.New("announcement has no target name")
	}
	if a.Service == "" {
		return fmt.Errorf("target %q names no service", a.Target)
	}
	if a.DataCentre == "" {
		return fmt.Errorf("target %q names no data centre", a.Target)
	}
	if err := CheckTargetAddress(a.Address); err != nil {
		return fmt.Errorf("target %q: %w", a.Target, err)
	}
	if a.Slots < 1 || a.Connections < 1 || a.LeaseMS < 1 {
		return fmt.Errorf("target %q: slots, connections and lease must be positive", a.Target)
	}
	if a.Slots > MaxTargetCapacity || a.Connections > MaxTargetCapacity || a.LeaseMS > MaxLease.Milliseconds() {
		return fmt.Errorf("target %q: at most %d slots, as many connections and a lease of %v are allowed",
			a.Target, MaxTargetCapacity, MaxLease)
	}
	return validateHoldings(a)
}

// Greatest numbers in an announcement. Entry nodes use memory and compute times in
// proportion to them.
const (
	// MaxTargetCapacity bounds the slots and the connections of a target.
	MaxTargetCapacity = 1 << 20
	// MaxLease bounds the lease of a target.
	MaxLease = 24 * time.Hour
	// MaxHoldings bounds the snapshots that a target holds.
	MaxHoldings = 16
	// MaxLayoutShards bounds the shards of a snapshot's layout.
	MaxLayoutShards = 1 << 14
)

// maxAddressBytes limits how much of an invalid address an error shows.
const maxAddressBytes = 64

// CheckTargetAddress returns an error if an address is not IP:port of a host that can be
// connected to.
func CheckTargetAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast() ||
		parsed.Addr().Zone() != "" {
		return fmt.Errorf("address %.*q is not IP:port", maxAddressBytes, address)
	}
	return nil
}

func validateHoldings(a Announcement) error {
	if len(a.Holdings) > MaxHoldings {
		return fmt.Errorf("target %q: %d snapshots; at most %d are allowed", a.Target, len(a.Holdings), MaxHoldings)
	}
	for _, h := range a.Holdings {
		if h.LayoutShards < 1 {
			return fmt.Errorf("target %q: snapshot %s has no shards", a.Target, h.Snapshot)
		}
		if h.LayoutShards > MaxLayoutShards || len(h.Shards) > h.LayoutShards {
			return fmt.Errorf("target %q: snapshot %s has %d shards in a layout of %d; at most %d are allowed",
				a.Target, h.Snapshot, len(h.Shards), h.LayoutShards, MaxLayoutShards)
		}
		for _, shard := range h.Shards {
			if int(shard) >= h.LayoutShards {
				return fmt.Errorf("target %q: shard %d is outside layout of %d shards", a.Target, shard, h.LayoutShards)
			}
		}
	}
	return nil
}

// AnnounceReply acknowledges an announcement.
type AnnounceReply struct {
	// Sequence is the highest sequence that the node has seen for the target's
	// incarnation; 0 if the node knows a newer incarnation.
	Sequence uint64 `json:"sequence"`
	// RenewMS is the time in milliseconds after which to renew the lease.
	RenewMS int64 `json:"renew_ms"`
}

// ShardRequest asks a target to search some shards of a snapshot. It is posted to
// the target's /v1/search.
type ShardRequest struct {
	RequestID string `json:"request_id"`
	// Attempt is the entry node's number of this attempt; the reply repeats it.
	Attempt  uint64    `json:"attempt"`
	Service  string    `json:"service"`
	Snapshot Snapshot  `json:"snapshot"`
	Shards   []ShardID `json:"shards"`
	Query    string    `json:"query"`
	Limit    int       `json:"limit,omitempty"`
}

// ShardReply is a target's reply to a ShardRequest. RequestID, Attempt and
// Snapshot must equal those of the request: other replies are not merged.
type ShardReply struct {
	RequestID string    `json:"request_id"`
	Attempt   uint64    `json:"attempt"`
	Snapshot  Snapshot  `json:"snapshot"`
	Shards    []ShardID `json:"shards"`
	// Totals holds the number of hits in each of Shards before the limit was
	// applied.
	Totals []int `json:"totals"`
	Hits   []Hit `json:"hits"`
}

// TargetSubmit carries a non-idempotent request to a target's /v1/submit.
type TargetSubmit struct {
	RequestID string `json:"request_id"`
	Key       string `json:"key"`
	// Claim identifies the entry node's claim of Key in the control group's ledger.
	Claim   uint64        `json:"claim"`
	Service string        `json:"service"`
	Request SubmitRequest `json:"request"`
}

// TargetSubmitReply is the outcome of a TargetSubmit that ran.
type TargetSubmitReply struct {
	Key    string `json:"key"`
	Result string `json:"result"`
}

// TargetError is the body of every refusal by a target.
type TargetError struct {
	Code TargetErrorCode `json:"code"`
	// NotRun means that the target certainly did not run the request.
	NotRun bool   `json:"not_run"`
	Detail string `json:"detail"`
	// RequestID is that of the refused request. A refusal that names another request
	// proves nothing; one without an ID is from a target that doesn't send it yet.
	RequestID string `json:"request_id,omitempty"`
}

// TargetErrorCode is the reason of a refusal by a target.
type TargetErrorCode string

// Values of TargetErrorCode. The HTTP status is 503, except for TargetNoSnapshot
// (409), TargetDeadline (504) and TargetBadRequest (400).
const (
	TargetShed       TargetErrorCode = "shed"
	TargetDrain      TargetErrorCode = "draining"
	TargetNotStarted TargetErrorCode = "starting"
	TargetNoSnapshot TargetErrorCode = "no_snapshot"
	TargetDeadline   TargetErrorCode = "deadline"
	TargetBadRequest TargetErrorCode = "bad_request"
)

// LoadReport is the load that a target reports at /load. It can be stale or wrong;
// entry nodes use their own observations instead.
type LoadReport struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	Slots    int `json:"slots"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS int64 `json:"age_ms"`
}
