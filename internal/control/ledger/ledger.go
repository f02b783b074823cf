// Package ledger implements at-most-once execution of non-idempotent requests:
// an idempotency key is claimed before its request is dispatched, and the
// outcome is recorded afterwards. The package does no I/O. It runs inside the
// replicated state machine, so a claim takes effect only after a quorum has
// committed it.
//
// The at-most-once guarantee does not depend on clocks. An unknown key is
// granted only if its time is later than that of every key that was evicted or
// refused as expired, so a clock jump can make the ledger refuse keys or drop
// outcomes early, but never run a key twice.
package ledger

import (
	"slices"
	"time"

	"wigeonbay/internal/controlrpc"
)

// Limits on the data of one key.
const (
	// MaxKeyBytes bounds a key.
	MaxKeyBytes = 256
	// MaxNameBytes bounds the names of claimants and services.
	MaxNameBytes = 128
	// MaxOutcomeBytes bounds the result kept for a key.
	MaxOutcomeBytes = 64 << 10
	// MaxFutureSkew is how far a key's time may lie ahead of the leader's clock.
	MaxFutureSkew = 5 * time.Second
	// maxAbandonedClaims bounds the abandoned claims kept for one key; the
	// oldest one is dropped first.
	maxAbandonedClaims = 16
)

// entry is the ledger's record of one key. Its state is empty while only
// abandoned claims are known, before any claim on the key committed.
type entry struct {
	key         string
	keyTime     int64 // Unix milliseconds
	state       controlrpc.ClaimState
	claim       uint64
	claimant    string
	fingerprint uint64
	outcome     controlrpc.Outcome
	// abandoned lists claims that must not be granted: their claimants reported
	// that they did not run. A late copy of such a claim would otherwise hold
	// the key although no claimant is going to run it.
	abandoned []uint64
}

// Verdict is the ledger's decision about a claim. Outcome is set only with
// ClaimRecorded.
type Verdict struct {
	Verdict controlrpc.ClaimVerdict
	Outcome controlrpc.Outcome
	Detail  string
}

// Ledger holds the keys that are younger than the retention. It is not safe
// for concurrent use.
type Ledger struct {
	retention int64 // milliseconds
	entries   map[string]*entry
	byKeyTime keyTimeHeap
	// floor is the latest time of a key that was evicted or refused as expired,
	// in Unix milliseconds. It never decreases. An unknown key at or below it
	// may have run, so it is never granted.
	floor int64
}

// New returns an empty ledger that keeps keys for retention.
func New(retention time.Duration) *Ledger {
	return &Ledger{retention: retention.Milliseconds(), entries: map[string]*entry{}}
}

// Len returns the number of keys held.
func (l *Ledger) Len() int {
	return len(l.entries)
}

// Claim decides a claim at nowMS, the leader's clock in Unix milliseconds. The
// decision on a known key follows from its entry; only the time of an unknown
// key is compared with the clock and the floor.
func (l *Ledger) Claim(nowMS int64, args controlrpc.ClaimArgs) Verdict {
	l.evictExpired(nowMS)
	if e := l.entries[args.Key]; e != nil {
		return e.decide(args)
	}
	if l.expired(nowMS, args.KeyTimeUnixMS) {
		l.floor = max(l.floor, args.KeyTimeUnixMS)
		return Verdict{Verdict: controlrpc.ClaimExpired, Detail: "key is older than the ledger's retention"}
	}
	if beyondFutureSkew(nowMS, args.KeyTimeUnixMS) {
		return Verdict{Verdict: controlrpc.ClaimExpired, Detail: "key carries a time in the future"}
	}
	return l.insert(args.Key, args.KeyTimeUnixMS).decide(args)
}

// Record stores the outcome of a claim at nowMS, the leader's clock in Unix
// milliseconds. A claim that does not hold the key cannot set its outcome, and
// a recorded run is final. A claim recorded as not run before it committed is
// kept as abandoned and not granted later. This includes keys with a time in
// the future: a leader with a different clock may decide the claim.
func (l *Ledger) Record(nowMS int64, args controlrpc.RecordArgs) {
	l.evictExpired(nowMS)
	e := l.entries[args.Key]
	if e != nil {
		e.record(args)
		return
	}
	if args.State != controlrpc.ClaimNotRun {
		return
	}
	if l.expired(nowMS, args.KeyTimeUnixMS) {
		l.floor = max(l.floor, args.KeyTimeUnixMS)
		return
	}
	l.insert(args.Key, args.KeyTimeUnixMS).abandon(args.Claim)
}

func (l *Ledger) expired(nowMS, keyTime int64) bool {
	return keyTime <= l.floor || nowMS-keyTime >= l.retention
}

func beyondFutureSkew(nowMS, keyTime int64) bool {
	return keyTime-nowMS > MaxFutureSkew.Milliseconds()
}

func (l *Ledger) insert(key string, keyTime int64) *entry {
	e := &entry{key: key, keyTime: keyTime}
	l.entries[key] = e
	l.byKeyTime.push(e)
	return e
}

// evictExpired removes the keys whose age has reached the retention and raises
// the floor to the latest of their times.
func (l *Ledger) evictExpired(nowMS int64) {
	for len(l.byKeyTime) > 0 && nowMS-l.byKeyTime[0].keyTime >= l.retention {
		e := l.byKeyTime.pop()
		delete(l.entries, e.key)
		l.floor = max(l.floor, e.keyTime)
	}
}

func (e *entry) decide(args controlrpc.ClaimArgs) Verdict {
	if slices.Contains(e.abandoned, args.Claim) {
		return Verdict{Verdict: controlrpc.ClaimAbandoned}
	}
	if !e.matches(args) {
		return Verdict{Verdict: controlrpc.ClaimMismatch, Detail: "key was used for another request"}
	}
	switch e.state {
	case controlrpc.ClaimRan:
		return Verdict{Verdict: controlrpc.ClaimRecorded, Outcome: e.outcome}
	case controlrpc.ClaimHeld:
		if e.claim == args.Claim && e.claimant == args.Claimant {
			return Verdict{Verdict: controlrpc.ClaimGranted}
		}
		return Verdict{Verdict: controlrpc.ClaimTaken}
	}
	e.state = controlrpc.ClaimHeld
	e.claim = args.Claim
	e.claimant = args.Claimant
	e.fingerprint = args.Fingerprint
	return Verdict{Verdict: controlrpc.ClaimGranted}
}

// matches reports whether a claim is for the request that the key was first
// claimed for. A key with only abandoned claims belongs to no request yet.
func (e *entry) matches(args controlrpc.ClaimArgs) bool {
	if e.keyTime != args.KeyTimeUnixMS {
		return false
	}
	return e.state == "" || e.fingerprint == args.Fingerprint
}

func (e *entry) record(args controlrpc.RecordArgs) {
	holds := e.state == controlrpc.ClaimHeld && e.claim == args.Claim
	switch {
	case args.State == controlrpc.ClaimRan && holds:
		e.state = controlrpc.ClaimRan
		e.outcome = args.Outcome
	case args.State == controlrpc.ClaimNotRun && holds:
		e.state = controlrpc.ClaimNotRun
		e.abandon(args.Claim)
	case args.State == controlrpc.ClaimNotRun && e.state != controlrpc.ClaimRan:
		e.abandon(args.Claim)
	}
}

func (e *entry) abandon(claim uint64) {
	if slices.Contains(e.abandoned, claim) {
		return
	}
	if len(e.abandoned) == maxAbandonedClaims {
		e.abandoned = slices.Delete(e.abandoned, 0, 1)
	}
	e.abandoned = append(e.abandoned, claim)
}
