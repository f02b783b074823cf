package driver

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
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

// TestNodeWithoutAConfigurationRefusesAsNotReady asks a node that has just
// started: it can't tell an unknown service from one that it hasn't heard of.
func TestNodeWithoutAConfigurationRefusesAsNotReady(t *testing.T) {
	n := startBareNode(t)
	defer func() { assert.NilError(t, n.Stop(context.Background())) }()
	key := map[string]string{api.HeaderIdempotencyKey: "1-a"}
	for path, body := range map[string]string{
		"/v1/services/lots/search": `{"query":"x"}`,
		"/v1/services/lots/submit": `{"kind":"c","subject":"s"}`,
	} {
		status, answer, header := post(t, n, path, body, key)
		var p api.Problem
		assert.NilError(t, json.Unmarshal(answer, &p))
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, p.Code, api.CodeNotReady)
		assert.Equal(t, p.Ran, api.RanNo)
		assert.Check(t, header.Get("Retry-After") != "")
	}
}

// TestDrainingNodeAsksCallersToCloseTheirConnections has a caller keep its
// connection while the node drains: one left open could carry a request at the
// moment at which the node closes it.
func TestDrainingNodeAsksCallersToCloseTheirConnections(t *testing.T) {
	n := startNode(t)
	for _, draining := range []bool{false, true} {
		n.draining.Store(draining)
		res, err := http.Post("http://"+n.CallersAddress()+"/v1/services/none/search", "application/json", strings.NewReader(`{}`))
		assert.NilError(t, err)
		assert.Equal(t, res.Close, draining)
		assert.NilError(t, res.Body.Close())
	}
	assert.NilError(t, n.Stop(context.Background()))
}
