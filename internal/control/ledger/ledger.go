// Package ledger holds the rules that let a non-idempotent request run at most
// once: a key is claimed before its request is dispatched and its outcome is
// recorded afterwards. The package is pure. It runs inside the replicated
// state machine, so that a claim counts only once a quorum has committed it.
//
// At most once does not depend on clocks. A key is granted only while it is
// newer than every key ever forgotten, so a clock that jumps can make the
// ledger refuse keys or forget outcomes early, but never run a key afresh.
package ledger

import (
	"slices"
	"time"

	"wigeonbay/internal/controlrpc"
)

// Limits on what one key holds.
const (
	// MaxKeyBytes bounds a key.
	MaxKeyBytes = 256
	// MaxNameBytes bounds the names of claimants and services.
	MaxNameBytes = 128
	// MaxOutcomeBytes bounds the result kept for a key.
	MaxOutcomeBytes = 64 << 10
	// MaxFutureSkew is how far a key's time may lie ahead of the leader's clock.
	MaxFutureSkew = 5 * time.Second
	// maxSpentClaims bounds the claims remembered as given up for one key.
	maxSpentClaims = 16
)

// entry is what the ledger knows of one key. The zero state is a key that has
// only been given up, before any claim on it committed.
type entry struct {
	key         string
	keyTime     int64 // unix milliseconds
	state       controlrpc.ClaimState
	claim       uint64
	claimant    string
	fingerprint uint64
	outcome     controlrpc.Outcome
	// spent are claims that must never be granted again: those whose claimant
	// said that they did not run. A late copy of such a claim would otherwise
	// hold the key for nobody.
	spent []uint64
}

// Verdict is the ledger's decision about a claim. Outcome is set only with
// ClaimRecorded.
type Verdict struct {
	Verdict controlrpc.ClaimVerdict
	Outcome controlrpc.Outcome
	Detail  string
}

// Ledger holds the keys of one retention. It is not safe for concurrent use.
type Ledger struct {
	retention int64 // milliseconds
	entries   map[string]*entry
	oldest    byTime
	// floor is the greatest time of a key forgotten or refused as expired, in
	// unix milliseconds. It never falls: an unknown key at or below it may have
	// run, so it is never granted.
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

// Claim decides about a claim at nowMS, the leader's clock in unix
// milliseconds. A key that is held is judged by what is known of it; only an
// unknown key is judged by its time.
func (l *Ledger) Claim(nowMS int64, args controlrpc.ClaimArgs) Verdict {
	l.forget(nowMS)
	if e := l.entries[args.Key]; e != nil {
		return e.decide(args)
	}
	if l.expired(nowMS, args.KeyTimeUnixMS) {
		l.floor = max(l.floor, args.KeyTimeUnixMS)
		return Verdict{Verdict: controlrpc.ClaimExpired, Detail: "key is older than the ledger's retention"}
	}
	if fromFuture(nowMS, args.KeyTimeUnixMS) {
		return Verdict{Verdict: controlrpc.ClaimExpired, Detail: "key carries a time in the future"}
	}
	return l.insert(args.Key, args.KeyTimeUnixMS).decide(args)
}

// Record takes the outcome of a claim at nowMS, the leader's clock in unix
// milliseconds. A claim that doesn't hold the key can't set its outcome, and a
// key that ran stays so. A claim recorded as not run before it committed is
// remembered, and will not be granted. That holds for keys from the future
// too: the claim may be judged by a leader with another clock.
func (l *Ledger) Record(nowMS int64, args controlrpc.RecordArgs) {
	l.forget(nowMS)
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
	l.insert(args.Key, args.KeyTimeUnixMS).spend(args.Claim)
}

func (l *Ledger) expired(nowMS, keyTime int64) bool {
	return keyTime <= l.floor || nowMS-keyTime >= l.retention
}

func fromFuture(nowMS, keyTime int64) bool {
	return keyTime-nowMS > MaxFutureSkew.Milliseconds()
}

func (l *Ledger) insert(key string, keyTime int64) *entry {
	e := &entry{key: key, keyTime: keyTime}
	l.entries[key] = e
	l.oldest.push(e)
	return e
}

// forget drops the keys older than the retention and raises the floor over
// them.
func (l *Ledger) forget(nowMS int64) {
	for len(l.oldest) > 0 && nowMS-l.oldest[0].keyTime >= l.retention {
		e := l.oldest.pop()
		delete(l.entries, e.key)
		l.floor = max(l.floor, e.keyTime)
	}
}

func (e *entry) decide(args controlrpc.ClaimArgs) Verdict {
	if slices.Contains(e.spent, args.Claim) {
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
// claimed for. A key that was only given up belongs to no request yet.
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
		e.spend(args.Claim)
	case args.State == controlrpc.ClaimNotRun && e.state != controlrpc.ClaimRan:
		e.spend(args.Claim)
	}
}

func (e *entry) spend(claim uint64) {
	if slices.Contains(e.spent, claim) {
		return
	}
	if len(e.spent) == maxSpentClaims {
		e.spent = slices.Delete(e.spent, 0, 1)
	}
	e.spent = append(e.spent, claim)
}
