package controlrpc

import (
	"time"

	"wigeonbay/internal/wire"
)

// MethodAcquireQuota is the name of the method about quotas of client accounts, for
// wire.Client.Call.
const MethodAcquireQuota = "Control.AcquireQuota"

// QuotaRules say how far the requests of a client account may exceed its quota: within any
// Window all entry nodes together send at most 1 + Overshoot times what the rate and the
// burst allow, plus Slack.
type QuotaRules struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// AcquireQuotaArgs requests tokens for the requests of client accounts, one token each.
type AcquireQuotaArgs struct {
	Envelope wire.Envelope
	Node     string
	Rules    QuotaRules
	// TableVersion is the version of the node's routing table.
	TableVersion uint64
	// Epoch is that of the reply in which the returned tokens were granted.
	Epoch uint64
	Wants []QuotaWant
}

// QuotaWant is what an entry node needs for one account.
type QuotaWant struct {
	Account string
	// Waiting is the number of requests that wait for a token, Tokens the number of tokens
	// wanted, including those for Waiting.
	Waiting int
	Tokens  int
	// Demand is the number of requests per second that have arrived for the account lately.
	Demand float64
	// Returned holds tokens that the node no longer holds and has not used.
	Returned []QuotaReturn
}

// QuotaReturn returns unused tokens of one lot.
type QuotaReturn struct {
	// At is that of the lot.
	At     time.Duration
	Tokens int
}

// AcquireQuotaReply grants tokens. It is valid only with CodeOK.
type AcquireQuotaReply struct {
	Result Result
	// Leader is the address of the leader that has granted the tokens. Later calls to it
	// need not be forwarded.
	Leader string
	// Epoch identifies the leader's time in office.
	Epoch  uint64
	Grants []QuotaGrant
}

// QuotaGrant answers the QuotaWant at the same position.
type QuotaGrant struct {
	// Unknown reports that the leader's routing table has no such account with a rate.
	Unknown bool
	Lots    []QuotaLot
	// Validity is that of newly granted tokens.
	Validity time.Duration
	// RetryAfter is set if some of the requests that wait got no token: the time until there
	// is one for the node. From then on it gets Share tokens per second.
	RetryAfter time.Duration
	Share      float64
	// Unsettled reports that the leader took office so recently that the account may have got
	// no token although it keeps within its quota.
	Unsettled bool
}

// QuotaLot is a number of tokens with the same validity.
type QuotaLot struct {
	Tokens int
	// Validity counts from when the node sent its request.
	Validity time.Duration
	// At is the leader's time of the original grant, for QuotaReturn.
	At time.Duration
}
