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

// TestPageIsUpToDate compares docs/FAULTS.md with the markers in the tests;
// make faults-doc rewrites it.
func TestPageIsUpToDate(t *testing.T) {
	root, err := moduleRoot(".")
	assert.NilError(t, err)
	want, err := generate(".")
	assert.NilError(t, err)
	page, err := os.ReadFile(filepath.Join(root, "docs", "FAULTS.md"))
	assert.NilError(t, err)
	assert.Assert(t, string(page) == want, "docs/FAULTS.md is out of date: run make faults-doc")
}

func TestScan(t *testing.T) {
	body := "\nfunc TestA(t *testing.T) { run(t) }\n"
	for _, tc := range []struct {
		name string
		file string
		want string
		err  string
	}{
		{name: "two cells", file: "package a\n\n// TestA checks.\n//\n// fault: kill x submit\n// fault: failed-sync x ticket" + body, want: "TestA"},
		{name: "separate processes", file: "//go:build faults\n\npackage a\n\n// fault: kill x submit" + body, want: "*TestA*"},
		{name: "no marker", file: "package a\n\n// TestA checks." + body, want: notProved},
		{name: "unknown fault", file: "package a\n\n// fault: flood x submit" + body, err: `a_test.go:3:1: unknown fault "flood"`},
		{name: "unknown step", file: "package a\n\n// fault: kill x lunch" + body, err: `unknown step "lunch"`},
		{name: "other form", file: "package a\n\n// fault: kill submit" + body, err: "is not"},
		{name: "not above the test", file: "package a\n\n// fault: kill x submit\n" + body, err: "not in the comment above a test"},
		{name: "above a helper", file: "package a\n\n// fault: kill x submit\nfunc helper() {}\n", err: "not in the comment above a test"},
		{name: "may skip itself", file: "package a\n\n// fault: kill x submit\nfunc TestA(t *testing.T) { t.Skip() }\n", err: "may skip itself"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dir := fs.NewDir(t, "matrix", fs.WithFile("go.mod", "module a\n"), fs.WithFile("a_test.go", tc.file))
			page, err := generate(dir.Path())
			if tc.err != "" {
				assert.Check(t, cmp.ErrorContains(err, tc.err))
				return
			}
			assert.NilError(t, err)
			line := lineOf(page, "| kill |")
			assert.Equal(t, strings.TrimSpace(strings.Split(line, "|")[3]), tc.want)
		})
	}
}

// TestEveryEmptyCellIsListed counts the cells of an empty table.
func TestEveryEmptyCellIsListed(t *testing.T) {
	page := render(matrix{{"kill", "submit"}: {{name: "TestA", file: "a_test.go"}}})
	cells := strings.Count(page, "| "+notProved)
	listed := strings.Count(page, "\n- ") - strings.Count(page, "\n- `")
	assert.Equal(t, cells, len(faults)*len(steps)-1)
	assert.Equal(t, listed, cells)
}

func lineOf(page, prefix string) string {
	for line := range strings.Lines(page) {
		if strings.HasPrefix(line, prefix) {
			return line
		}
	}
	return ""
}
