package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/fs"
)

// TestPageIsUpToDate guards against a docs/FAULTS.md that differs from the
// markers in the tests. Run make faults-doc to regenerate it.
func TestPageIsUpToDate(t *testing.T) {
	root, err := moduleRoot(".")
	assert.NilError(t, err)
	want, err := generate(".")
	assert.NilError(t, err)
	page, err := os.ReadFile(filepath.Join(root, "docs", "FAULTS.md"))
	assert.NilError(t, err)
	assert.Assert(t, string(page) == want, "docs/FAULTS.md is out of date: run make faults-doc")
}

func TestMarkers(t *testing.T) {
	body := "\nfunc TestA(t *testing.T) { run(t) }\n"
	for _, tc := range []struct {
		name string
		file string
		want string
		err  string
	}{
		{name: "two cells", file: "package a\n\n// TestA checks.\n//\n// fault: kill x submit\n// fault: failed-sync x ticket" + body, want: "TestA"},
		{name: "separate processes", file: "//go:build faults\n\npackage a\n\n// fault: kill x submit" + body, want: "*TestA*"},
		{name: "no marker", file: "package a\n\n// TestA checks." + body, want: notCoveredText},
		{name: "unknown fault", file: "package a\n\n// fault: flood x submit" + body, err: `a_test.go:3:1: unknown fault "flood"`},
		{name: "unknown step", file: "package a\n\n// fault: kill x lunch" + body, err: `unknown step "lunch"`},
		{name: "malformed marker", file: "package a\n\n// fault: kill submit" + body, err: "is not"},
		{name: "marker separated from the test", file: "package a\n\n// fault: kill x submit\n" + body, err: "not in the comment above a test"},
		{name: "marker on a helper", file: "package a\n\n// fault: kill x submit\nfunc helper() {}\n", err: "not in the comment above a test"},
		{name: "test may skip", file: "package a\n\n// fault: kill x submit\nfunc TestA(t *testing.T) { t.Skip() }\n", err: "may skip itself"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dir := fs.NewDir(t, "matrix", fs.WithFile("go.mod", "module a\n"), fs.WithFile("a_test.go", tc.file))
			page, err := generate(dir.Path())
			if tc.err != "" {
				assert.Check(t, cmp.ErrorContains(err, tc.err))
				return
			}
			assert.NilError(t, err)
			line := lineWithPrefix(page, "| kill |")
			assert.Equal(t, strings.TrimSpace(strings.Split(line, "|")[3]), tc.want)
		})
	}
}

// TestUncoveredCellsAreListed guards against cells without a test that are
// missing from the list below the table.
func TestUncoveredCellsAreListed(t *testing.T) {
	page := render(matrix{{"kill", "submit"}: {{name: "TestA", file: "a_test.go"}}})
	cells := strings.Count(page, "| "+notCoveredText)
	listed := strings.Count(page, "\n- ") - strings.Count(page, "\n- `")
	assert.Equal(t, cells, len(faults)*len(steps)-1)
	assert.Equal(t, listed, cells)
}

func lineWithPrefix(page, prefix string) string {
	for line := range strings.Lines(page) {
		if strings.HasPrefix(line, prefix) {
			return line
		}
	}
	return ""
}
