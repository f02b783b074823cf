package limit

// Breaker refuses calls at once while they are known to fail: without it each
// caller would wait for the same failure until its own deadline. While it is
// open one call at a time goes through as a trial.
type Breaker struct {
	open  bool
	trial bool
}

// CallEnd is how a call through a Breaker ended.
type CallEnd int

// Ends of calls.
const (
	CallSucceeded CallEnd = iota
	CallFailed
	// CallGivenUp is a call that its caller ended: it says nothing of the
	// other side.
	CallGivenUp
)

// Allow reports whether a call may be tried now. A call that is allowed must
// end in Done.
func (b *Breaker) Allow() bool {
	if !b.open {
		return true
	}
	if b.trial {
		return false
	}
	b.trial = true
	return true
}

// Done notes how an allowed call ended.
func (b *Breaker) Done(end CallEnd) {
	b.trial = false
	if end != CallGivenUp {
		b.open = end == CallFailed
	}
}
