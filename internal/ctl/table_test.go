package ctl

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/cli"
	"wigeonbay/internal/clusterconfig"
)

func TestTableGetReturnsTheAppliedDocument(t *testing.T) {
	sys := newTestSystem(t)
	code, _, errs := sys.run("table", "get")
	assert.Equal(t, code, cli.ExitFailure)
	assert.Assert(t, strings.Contains(errs, "no routing table yet"), errs)

	const document = `{"version":7,"routes":[]}`
	path := writeTableFile(t, document)
	code, out, errs := sys.run("table", "apply", "--file", path, "--version", "7")
	assert.Equal(t, code, cli.ExitSuccess, errs)
	assert.Assert(t, strings.Contains(out, "routing table 7 is durable"), out)

	code, out, _ = sys.run("table", "get")
	assert.Equal(t, code, cli.ExitSuccess)
	assert.Equal(t, strings.TrimSpace(out), document)

	code, _, errs = sys.run("table", "apply", "--file", filepath.Join(t.TempDir(), "none"), "--version", "8")
	assert.Equal(t, code, cli.ExitUsage, errs)
}

func TestInvalidTableIsNotSent(t *testing.T) {
	sys := newTestSystem(t)
	for _, c := range []struct{ document, version, want string }{
		{"not a table", "7", "invalid character"},
		{`{"version":7}`, "8", "has version 7, not 8"},
		{`{"version":0}`, "0", "has no version"},
		{"", "7", "has 0 bytes"},
	} {
		code, _, errs := sys.run("table", "apply", "--file", writeTableFile(t, c.document), "--version", c.version)
		assert.Equal(t, code, cli.ExitUsage, errs)
		assert.Assert(t, strings.Contains(errs, c.want), errs)
	}
	code, _, errs := sys.run("table", "get")
	assert.Equal(t, code, cli.ExitFailure)
	assert.Assert(t, strings.Contains(errs, "no routing table yet"), errs)

	code, out, errs := sys.run("table", "apply", "--file", writeTableFile(t, `{"version":9}`))
	assert.Equal(t, code, cli.ExitSuccess, errs)
	assert.Assert(t, strings.Contains(out, "routing table 9 is durable"), out)
}

func writeTableFile(t *testing.T, document string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "table.json")
	assert.NilError(t, os.WriteFile(path, []byte(document), 0o600))
	return path
}

// decodeTable parses a table as JSON and validates it with
// clusterconfig.CheckRoutingTable.
func decodeTable(document []byte) (*api.RoutingTable, error) {
	table := &api.RoutingTable{}
	if err := json.Unmarshal(document, table); err != nil {
		return nil, err
	}
	return table, clusterconfig.CheckRoutingTable(table)
}

func TestStatusAndExplainShowRoutes(t *testing.T) {
	sys := newTestSystem(t)
	sys.addEntry(t, 3)
	code, out, errs := sys.run("status")
	assert.Equal(t, code, cli.ExitSuccess, errs)
	for _, want := range []string{
		"routing table 9 confirmed 40ms ago, 1 routes",
		"route lots for lots/a/, priority 0, goal 400 ms, timeout 3000 ms, sent at most once",
		"pool p: 1 leaving, 2 serving, 0 waiting, budget 5.0",
	} {
		assert.Assert(t, strings.Contains(out, want), out)
	}

	code, out, errs = sys.run("explain", "--host", "lots", "--path", "/a/x")
	assert.Equal(t, code, cli.ExitSuccess, errs)
	for _, want := range []string{"pool p (weight 2): s1", "s2 in :", "excluded: leaving"} {
		assert.Assert(t, strings.Contains(out, want), out)
	}
	code, _, errs = sys.run("explain", "--host", "nowhere")
	assert.Equal(t, code, cli.ExitFailure)
	assert.Assert(t, strings.Contains(errs, "unknown_service"), errs)
}
