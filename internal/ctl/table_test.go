package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/cli"
)

func TestTableIsShownAsItWasApplied(t *testing.T) {
	b := newBench(t)
	code, _, errs := b.run("table", "get")
	assert.Equal(t, code, cli.ExitFailed)
	assert.Assert(t, strings.Contains(errs, "no routing table yet"), errs)

	const document = `{"version":7,"routes":[]}`
	path := filepath.Join(t.TempDir(), "table.json")
	assert.NilError(t, os.WriteFile(path, []byte(document), 0o600))
	code, out, errs := b.run("table", "apply", "--file", path, "--version", "7")
	assert.Equal(t, code, cli.ExitDone, errs)
	assert.Assert(t, strings.Contains(out, "routing table 7 is durable"), out)

	code, out, _ = b.run("table", "get")
	assert.Equal(t, code, cli.ExitDone)
	assert.Equal(t, strings.TrimSpace(out), document)

	code, _, errs = b.run("table", "apply", "--file", filepath.Join(t.TempDir(), "none"), "--version", "8")
	assert.Equal(t, code, cli.ExitUsage, errs)
}
