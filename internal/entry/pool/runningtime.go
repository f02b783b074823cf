package pool

import (
	"context"
	"os"
	"time"
)

// timeoutSteps is the number of steps in which a running timeout is counted. A pause of the
// process takes one of them at most.
const timeoutSteps = 10

// withRunningTimeout is like context.WithTimeout, but leaves out the time in which the process is
// paused. A process that goes on after a pause would otherwise find that the time for something is
// over before it can notice that it has happened meanwhile. The cause of an expiry is
// os.ErrDeadlineExceeded.
func withRunningTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	ticker := time.NewTicker(timeout / timeoutSteps)
	go func() {
		defer ticker.Stop()
		if countSteps(ctx, ticker.C) {
			cancel(os.ErrDeadlineExceeded)
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// countSteps reports whether timeoutSteps ticks have come before the context ends. A ticker sends
// a single tick after a pause.
func countSteps(ctx context.Context, ticks <-chan time.Time) bool {
	for range timeoutSteps {
		select {
		case <-ticks:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
