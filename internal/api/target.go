package api

import (
	"errors"
	"fmt"
	"net/netip"
)

// TargetID is the name of a target, unique within an operator's system.
type TargetID string

// TargetState is the state that a target announces of itself.
type TargetState string

// States of a target. Only ready and warming targets receive work.
const (
	TargetStarting TargetState = "starting"
	// TargetWarming is a target after a cold start: it serves, but slowly.
	TargetWarming  TargetState = "warming"
	TargetReady    TargetState = "ready"
	TargetDraining TargetState = "draining"
	TargetGone     TargetState = "gone"
)

// AcceptsWork reports whether new requests may be sent to a target in state s.
func (s TargetState) AcceptsWork() bool {
	return s == TargetReady || s == TargetWarming
}

// Holding says that a target holds some shards of one snapshot.
type Holding struct {
	Snapshot Snapshot `json:"snapshot"`
	// LayoutShards is the number of shards in the snapshot's layout.
	LayoutShards int       `json:"layout_shards"`
	Shards       []ShardID `json:"shards"`
	// Warm tells that the version is loaded and serves at full speed.
	Warm bool `json:"warm"`
}

// Announcement is what a target posts to /v1/targets/announce of any entry
// node, at its start, whenever its state changes and as a renewal.
type Announcement struct {
	Target TargetID `json:"target"`
	// Incarnation is raised by each start of the target's process.
	Incarnation uint64 `json:"incarnation"`
	// Sequence is raised by each change of state within an incarnation.
	// A renewal repeats the sequence of the state that it renews.
	Sequence   uint64      `json:"sequence"`
	Service    string      `json:"service"`
	Address    string      `json:"address"`
	DataCentre string      `json:"data_centre"`
	State      TargetState `json:"state"`
	// Slots is the number of requests that the target runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts.
	Connections int       `json:"connections"`
	Holdings    []Holding `json:"holdings"`
	// LeaseMS is the time in milliseconds after which the target counts as
	// gone unless it renews.
	LeaseMS int64 `json:"lease_ms"`
	// WarmupMS is how much longer a warming target expects to be slow, in
	// milliseconds; 0 when it doesn't say.
	WarmupMS int64 `json:"warmup_ms,omitempty"`
}

// Supersedes reports whether a carries newer news of its target than b.
func (a Announcement) Supersedes(b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Validate reports the first thing wrong with an announcement.
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
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return fmt.Errorf("target %q: address %q is not IP:port", a.Target, a.Address)
	}
	if a.Slots < 1 || a.Connections < 1 || a.LeaseMS < 1 {
		return fmt.Errorf("target %q: slots, connections and lease must be positive", a.Target)
	}
	return validateHoldings(a)
}

func validateHoldings(a Announcement) error {
	for _, h := range a.Holdings {
		if h.LayoutShards < 1 {
			return fmt.Errorf("target %q: snapshot %s has no shards", a.Target, h.Snapshot)
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
	// Sequence is the newest sequence that the node has seen of the target's
	// incarnation.
	Sequence uint64 `json:"sequence"`
	// RenewMS is the time in milliseconds after which to renew.
	RenewMS int64 `json:"renew_ms"`
}

// ShardRequest asks one target to search some shards of one snapshot; posted
// to the target's /v1/search.
type ShardRequest struct {
	RequestID string    `json:"request_id"`
	Attempt   uint64    `json:"attempt"`
	Service   string    `json:"service"`
	Snapshot  Snapshot  `json:"snapshot"`
	Shards    []ShardID `json:"shards"`
	Query     string    `json:"query"`
	Limit     int       `json:"limit,omitempty"`
}

// ShardReply is a target's answer to a ShardRequest. RequestID, Attempt and
// Snapshot repeat the request's: a reply with others is never merged.
type ShardReply struct {
	RequestID string    `json:"request_id"`
	Attempt   uint64    `json:"attempt"`
	Snapshot  Snapshot  `json:"snapshot"`
	Shards    []ShardID `json:"shards"`
	// Totals counts the hits of each of Shards before the limit was applied.
	Totals []int `json:"totals"`
	Hits   []Hit `json:"hits"`
}

// TargetSubmit carries a non-idempotent request to a target's /v1/submit.
type TargetSubmit struct {
	RequestID string        `json:"request_id"`
	Key       string        `json:"key"`
	Claim     uint64        `json:"claim"`
	Service   string        `json:"service"`
	Request   SubmitRequest `json:"request"`
}

// TargetSubmitReply is the outcome of a TargetSubmit that ran.
type TargetSubmitReply struct {
	Key    string `json:"key"`
	Result string `json:"result"`
}

// TargetError is the body of every refusal by a target.
type TargetError struct {
	Code TargetErrorCode `json:"code"`
	// NotRun tells that the target has proof that it did not run the request.
	NotRun bool   `json:"not_run"`
	Detail string `json:"detail"`
}

// TargetErrorCode names a kind of refusal by a target.
type TargetErrorCode string

// Codes of a target's refusals. Their HTTP status is 503, but for
// TargetNoSnapshot (409), TargetDeadline (504) and TargetBadRequest (400).
const (
	TargetShed       TargetErrorCode = "shed"
	TargetDrain      TargetErrorCode = "draining"
	TargetNotStarted TargetErrorCode = "starting"
	TargetNoSnapshot TargetErrorCode = "no_snapshot"
	TargetDeadline   TargetErrorCode = "deadline"
	TargetBadRequest TargetErrorCode = "bad_request"
)

// LoadReport is a target's own account of its load, from its /load. It can lag
// or mislead: own evidence goes before it.
type LoadReport struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	Slots    int `json:"slots"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS int64 `json:"age_ms"`
}
