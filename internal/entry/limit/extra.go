package limit

// maxExtraTokens bounds the tokens in a budget, and so the number of extra
// requests that may be sent in a burst.
const maxExtraTokens = 10.0

// ExtraLoad is the token bucket that hedges and retries of one service share.
// It is filled with a fraction of the service's regular target requests. A
// limit on retries per request would still multiply the load of an overloaded
// service; a limit relative to its load can't (the retry budget of "The Site
// Reliability Workbook", 2018).
type ExtraLoad struct {
	fraction float64
	tokens   float64
}

// NewExtraLoad returns a budget of the given percentage of the service's
// regular target requests. It starts with one token.
func NewExtraLoad(percent float64) ExtraLoad {
	return ExtraLoad{fraction: percent / 100, tokens: 1}
}

// SetPercent changes the percentage and keeps the tokens.
func (e *ExtraLoad) SetPercent(percent float64) {
	e.fraction = percent / 100
}

// Deposit adds the tokens for regular target requests.
func (e *ExtraLoad) Deposit(requests int) {
	e.tokens = min(maxExtraTokens, e.tokens+e.fraction*float64(requests))
}

// TryWithdraw takes the token for one extra request and reports whether there
// was one.
func (e *ExtraLoad) TryWithdraw() bool {
	if e.tokens < 1 {
		return false
	}
	e.tokens--
	return true
}
