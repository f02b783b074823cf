package wire

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLongTimeoutOfAnEnvelopeDoesNotOverflow guards against calls that end at once because
// their caller states a time that exceeds the range of time.Duration.
func TestLongTimeoutOfAnEnvelopeDoesNotOverflow(t *testing.T) {
	for _, ms := range []int64{math.MaxInt64, math.MaxInt64/int64(time.Millisecond) + 1, 18446744073709} {
		ctx, cancel := Envelope{TimeoutMS: ms}.Context(time.Second)
		deadline, _ := ctx.Deadline()
		assert.Assert(t, time.Until(deadline) > maxEnvelopeTimeout-time.Minute, "%d ms: %v left", ms, time.Until(deadline))
		cancel()
	}
}
