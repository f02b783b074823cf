package experiment

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wigeonbay/internal/entry/driver"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/testbed"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

func newEntry(config *settings.Entry, logger *zap.Logger) (testbed.Entry, error) {
	return driver.New(config, logger)
}

// smallExperiment returns a short experiment with few searchers.
func smallExperiment(name string, during Phase) Experiment {
	e := defaultExperiment(name, "", during)
	e.Services[0].Shards, e.Services[0].Searchers = 2, 4
	e.Services[0].ServiceTime = time.Millisecond
	e.Deadline = 5 * time.Second
	e.Before = Phase{Length: 100 * time.Millisecond, Load: 0.05}
	e.During.Length, e.During.Load = 300*time.Millisecond, 0.05
	return e
}

// TestVersionRolloutHasNoMixedOrLostAnswers runs real entry nodes and searchers
// while the index version changes. It guards against answers that mix versions,
// lost answers, and policies that are measured on different arrivals.
func TestVersionRolloutHasNoMixedOrLostAnswers(t *testing.T) {
	results, err := Run(t.Context(), smallExperiment("small", Phase{Fault: rollOutVersion}), newEntry, 1)
	assert.NilError(t, err)
	assert.Equal(t, len(results), len(policies)+1)
	for _, r := range results {
		assert.Assert(t, r.Queries > 0)
		assert.Equal(t, r.Mixed, 0, "%s: %v", r.Policy, r.Faults)
		assert.Equal(t, r.Lost, 0, "%s: %v", r.Policy, r.Faults)
		assert.Equal(t, r.Queries, results[0].Queries, "policies got different arrivals")
	}
	var lines strings.Builder
	assert.NilError(t, WriteLines(&lines, results))
	var first map[string]any
	assert.NilError(t, json.NewDecoder(strings.NewReader(lines.String())).Decode(&first))
	for _, field := range []string{"experiment", "policy", "queries", "p50_ms", "p99_ms", "p999_ms", "coverage", "extra_load", "refused", "lost"} {
		assert.Assert(t, first[field] != nil, "no field %s", field)
	}
	assert.NilError(t, WriteTable(t.Output(), results))
}

func TestPlotDrawsEveryPanel(t *testing.T) {
	path := filepath.Join(t.TempDir(), "curve.svg")
	var results []Result
	for _, policy := range append(policies, floorPolicy) {
		for _, loadFraction := range curveLoads {
			results = append(results, Result{Policy: policy, Load: loadFraction, P99MS: 10 * loadFraction, Coverage: 1})
		}
	}
	assert.NilError(t, Plot(path, results))
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	for _, p := range panels {
		assert.Assert(t, strings.Contains(string(text), p.label), "no panel %q", p.label)
	}
}
