package driver

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestReadinessWaitsForTargetsForABoundedTime(t *testing.T) {
	type look struct {
		after      time.Duration
		configured bool
		unserved   int
		want       bool
	}
	cases := []struct {
		name  string
		looks []look
	}{
		{"nothing configured yet", []look{{0, false, 0, false}, {time.Hour, false, 0, false}}},
		{"no services", []look{{0, true, 0, true}}},
		{"targets come", []look{{0, true, 2, false}, {time.Second, true, 1, false}, {2 * time.Second, true, 0, true}}},
		{"no targets anywhere", []look{{0, true, 1, false}, {settleTime - 1, true, 1, false}, {settleTime, true, 1, true}}},
		{"waits from the configuration on", []look{{0, false, 0, false}, {time.Hour, true, 1, false}}},
		{"targets go later", []look{{0, true, 0, true}, {time.Second, true, 5, true}}},
		{"configuration out of date later", []look{{0, true, 0, true}, {time.Second, false, 0, false}, {time.Minute, true, 5, true}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			var r readiness
			for i, look := range tc.looks {
				got := r.observe(start.Add(look.after), look.configured, look.unserved)
				assert.Equal(t, got, look.want, "look %d", i)
			}
		})
	}
}
