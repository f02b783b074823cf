package entry

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

// TestLongDeadlineOfAServiceDoesNotOverflow guards against searches that end at once because
// a ticket sets a default deadline that exceeds the range of time.Duration.
func TestLongDeadlineOfAServiceDoesNotOverflow(t *testing.T) {
	for _, ms := range []int64{math.MaxInt64, 18446744073710} {
		h := newHarness(t, api.Service{DeadlineMS: ms})
		assert.Equal(t, h.state.ServiceDeadline("lots"), maxServiceDeadline)
	}
}
