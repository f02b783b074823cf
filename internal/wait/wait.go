// Package wait provides sleeping that a context can end.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether d passed before ctx was done. If d is zero or
// negative, it doesn't wait and reports whether ctx isn't done.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
