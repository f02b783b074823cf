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

func TestReadinessWaitForTargetsIsBounded(t *testing.T) {
	type observation struct {
		after              time.Duration
		configured         bool
		incompleteServices int
		want               bool
	}
	cases := []struct {
		name         string
		observations []observation
	}{
		{"not configured", []observation{{0, false, 0, false}, {time.Hour, false, 0, false}}},
		{"no services", []observation{{0, true, 0, true}}},
		{"targets become known", []observation{{0, true, 2, false}, {time.Second, true, 1, false}, {2 * time.Second, true, 0, true}}},
		{"no targets", []observation{{0, true, 1, false}, {maxTargetWait - 1, true, 1, false}, {maxTargetWait, true, 1, true}}},
		{"the wait starts with the configuration", []observation{{0, false, 0, false}, {time.Hour, true, 1, false}}},
		{"targets are lost later", []observation{{0, true, 0, true}, {time.Second, true, 5, true}}},
		{"the configuration is outdated later", []observation{{0, true, 0, true}, {time.Second, false, 0, false}, {time.Minute, true, 5, true}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			var r readiness
			for i, o := range tc.observations {
				got := r.update(start.Add(o.after), o.configured, o.incompleteServices)
				assert.Equal(t, got, o.want, "observation %d", i)
			}
		})
	}
}

// TestNodeWithoutConfigRefusesAsNotReady checks that a node that has just
// started doesn't report a service as unknown, since it can't tell an unknown
// service from one that it hasn't learned of.
func TestNodeWithoutConfigRefusesAsNotReady(t *testing.T) {
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

// TestDrainingNodeClosesCallerConnections guards against a request that is lost
// because its caller sends it on a kept connection while the node closes it.
func TestDrainingNodeClosesCallerConnections(t *testing.T) {
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
