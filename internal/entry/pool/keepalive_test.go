package pool

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLongKeepAliveDoesNotOverflow guards against a new connection for each request, because
// the keep-alive timeout that a target states exceeds the range of time.Duration.
func TestLongKeepAliveDoesNotOverflow(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"timeout=5": 5 * time.Second, "timeout=9223372037": maxKeepAlive, "timeout=9223372036854775807": maxKeepAlive,
	} {
		got, ok := parseKeepAlive(http.Header{"Keep-Alive": {value}})
		assert.Assert(t, ok, value)
		assert.Equal(t, got, want, value)
	}
}
