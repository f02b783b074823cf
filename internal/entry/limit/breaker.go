package limit

// Breaker is a circuit breaker. It opens after a failed call and then rejects
// calls immediately; without it each caller would wait for the same failure
// until its own deadline. An open breaker allows one trial call at a time and
// closes when a call succeeds.
type Breaker struct {
	open         bool
	trialRunning bool
}

// CallEnd is the way in which a call through a Breaker ended.
type CallEnd int

const (
	// CallSucceeded marks a call that succeeded. It closes the breaker.
	CallSucceeded CallEnd = iota
	// CallFailed marks a call that failed. It opens the breaker.
	CallFailed
	// CallCancelled marks a call that ended because of its caller, which is no
	// evidence about the callee. It doesn't open or close the breaker.
	CallCancelled
)

// Allow reports whether a call may be made now. Each allowed call must be
// followed by Done.
func (b *Breaker) Allow() bool {
	if !b.open {
		return true
	}
	if b.trialRunning {
		return false
	}
	b.trialRunning = true
	return true
}

// Done records how an allowed call ended.
func (b *Breaker) Done(end CallEnd) {
	b.trialRunning = false
	if end != CallCancelled {
		b.open = end == CallFailed
	}
}
