package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Token allows one request until a time.
type Token struct {
	until time.Duration
	at    time.Duration
	epoch uint64
}

// Valid reports whether the token may still be used.
func (t Token) Valid(now time.Duration) bool { return now < t.until }

// account is what a node keeps for an account in use.
type account struct {
	name string
	// due reports that the account is in the list of those that a call is due for.
	due bool
	// lots holds the tokens, by the time at which they expire.
	lots []lot
	// waiting is the number of requests that wait.
	waiting int
	// arrived counts requests since measured, and demand is the average per second.
	arrived  int
	measured time.Duration
	demand   float64
	lastUse  time.Duration
	validity time.Duration
	// low is the number of tokens at which the node asks for more.
	low int
	// nextToken is when the leader has tokens again, and overUntil the time until which
	// requests are refused without asking it. share is the number of tokens per second that
	// the node gets then, and promised the time for which the last refused request was told
	// to come back.
	nextToken time.Duration
	overUntil time.Duration
	promised  time.Duration
	share     float64
	// unsettled is that of the grant.
	unsettled bool

	used, over, noLeader uint64
}

// lot is a number of tokens that expire together.
type lot struct {
	token  Token
	tokens int
}

// add adds tokens, keeping the lots sorted.
func (a *account) add(token Token, tokens int) {
	at, found := slices.BinarySearchFunc(a.lots, token, func(l lot, t Token) int {
		return int(min(1, max(-1, l.token.until-t.until)))
	})
	if found && a.lots[at].token == token {
		a.lots[at].tokens += tokens
		return
	}
	a.lots = slices.Insert(a.lots, at, lot{token, tokens})
}

// need returns the number of tokens expected to be needed within a time.
func (a *account) need(now, within time.Duration) int {
	if now-a.lastUse > idleTime {
		return 0
	}
	return max(1, int(math.Ceil(a.demand*within.Seconds())))
}

// held returns the number of tokens that are still valid at a time.
func (a *account) held(at time.Duration) int {
	held := 0
	for _, l := range a.lots {
		if l.token.Valid(at) {
			held += l.tokens
		}
	}
	return held
}

// measure updates the average of the demand.
func (a *account) measure(now time.Duration) {
	elapsed := now - a.measured
	if elapsed < minDemandSample {
		return
	}
	perSecond := float64(a.arrived) / elapsed.Seconds()
	a.demand += (perSecond - a.demand) * (1 - math.Exp(-elapsed.Seconds()/demandTime.Seconds()))
	if a.demand*(now-a.lastUse).Seconds() > silentRequests {
		a.demand = 0
	}
	a.arrived, a.measured = 0, now
}

// Use describes an account for operators.
type Use struct {
	Account string
	// Held is the number of valid tokens, Demand that of requests per second.
	Held   int
	Demand float64
	// Used, Over and NoLeader count requests since the account was last idle.
	Used, Over, NoLeader uint64
	// OverFor is how long the account is still above its quota, 0 if it isn't.
	OverFor time.Duration
}

// Uses describes the accounts in use, sorted by name.
func (n *Node) Uses(now time.Duration) []Use {
	uses := make([]Use, 0, len(n.accounts))
	for _, name := range slices.Sorted(maps.Keys(n.accounts)) {
		a := n.accounts[name]
		uses = append(uses, Use{
			Account: name, Held: a.held(now), Demand: a.demand,
			Used: a.used, Over: a.over, NoLeader: a.noLeader, OverFor: max(0, a.overUntil-now),
		})
	}
	return uses
}
