package limit

// extraBurst is the number of extra requests that may be sent at once after a
// quiet time.
const extraBurst = 10.0

// ExtraLoad is the budget that hedges and retries of one service share: a
// fraction of the service's own target requests, as tokens. Retries bounded in
// number only would multiply an overload; bounded by a fraction they can't
// (the retry budget of "The Site Reliability Workbook", 2018).
type ExtraLoad struct {
	fraction float64
	tokens   float64
}

// NewExtraLoad returns a budget of percent of the service's target requests.
func NewExtraLoad(percent float64) ExtraLoad {
	return ExtraLoad{fraction: percent / 100, tokens: 1}
}

// SetPercent changes the budget's size and keeps its tokens.
func (e *ExtraLoad) SetPercent(percent float64) {
	e.fraction = percent / 100
}

// Earn notes target requests of the service's own.
func (e *ExtraLoad) Earn(requests int) {
	e.tokens = min(extraBurst, e.tokens+e.fraction*float64(requests))
}

// Spend takes one extra request from the budget and reports whether it was
// there.
func (e *ExtraLoad) Spend() bool {
	if e.tokens < 1 {
		return false
	}
	e.tokens--
	return true
}
