package forwarder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWantsPeers plays hundreds of nodes that start at once: questions for peers must not
// come before the first routing tables, and end with the first answer.
func TestWantsPeers(t *testing.T) {
	for _, tc := range []struct {
		name  string
		age   time.Duration
		known int
		want  bool
	}{
		{name: "at the start", age: 0},
		{name: "just before the delay has passed", age: peersLearnDelay - time.Millisecond},
		{name: "after the delay", age: peersLearnDelay, want: true},
		{name: "still no peers", age: time.Hour, want: true},
		{name: "with a peer", age: peersLearnDelay, known: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, wantsPeers(tc.age, tc.known), tc.want)
		})
	}
}
