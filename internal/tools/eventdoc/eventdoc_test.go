package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/telemetry"
)

const root = "../../.."

func TestPageIsCurrent(t *testing.T) {
	got, err := os.ReadFile(filepath.Join(root, page))
	assert.NilError(t, err)
	assert.Assert(t, string(got) == render(telemetry.Catalogue()), "run go run ./internal/tools/eventdoc")
}

func TestNumbersAreUniqueAndEventsAreWhole(t *testing.T) {
	seen := map[int]bool{}
	for _, event := range telemetry.Catalogue() {
		assert.Check(t, !seen[event.Number], "number %d is used twice", event.Number)
		seen[event.Number] = true
		assert.Check(t, event.Number >= 1000 && event.Number < 6000, "%d", event.Number)
		assert.Check(t, event.Text != "" && strings.HasSuffix(event.Meaning, "."), "%d", event.Number)
		assert.Check(t, !strings.Contains(event.Text+event.Meaning, "|"), "%d breaks the table", event.Number)
	}
}

// TestEveryEventIsListedAndLogged compares the declared variables with the
// catalogue, and looks for the place that logs each.
func TestEveryEventIsListedAndLogged(t *testing.T) {
	declared := declaredEvents(t)
	assert.Equal(t, len(telemetry.Catalogue()), len(declared), "an event is missing from its list, or is in it twice")
	used := usedNames(t)
	for _, name := range declared {
		assert.Check(t, used[name], "telemetry.%s is never logged", name)
	}
}

// declaredEvents returns the names of the variables that hold an Event.
func declaredEvents(t *testing.T) []string {
	t.Helper()
	var names []string
	walk(t, filepath.Join(root, "internal", "telemetry"), func(node ast.Node) {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return
		}
		literal, ok := spec.Values[0].(*ast.CompositeLit)
		if !ok {
			return
		}
		if kind, ok := literal.Type.(*ast.Ident); ok && kind.Name == "Event" {
			names = append(names, spec.Names[0].Name)
		}
	})
	return names
}

// usedNames returns the names that any package takes from telemetry, and
// those that telemetry logs itself.
func usedNames(t *testing.T) map[string]bool {
	t.Helper()
	used := map[string]bool{}
	note := func(node ast.Node) {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return
		}
		from, ok := selector.X.(*ast.Ident)
		if ok && from.Name == "telemetry" {
			used[selector.Sel.Name] = true
		}
		if ok && (selector.Sel.Name == "Log" || selector.Sel.Name == "Number") {
			// Logged by package telemetry itself, by number where it writes the
			// line without a logger.
			used[from.Name] = true
		}
	}
	walk(t, filepath.Join(root, "cmd"), note)
	walk(t, filepath.Join(root, "internal"), note)
	return used
}

// walk visits the syntax of the Go files below folder, without tests.
func walk(t *testing.T, folder string, visit func(ast.Node)) {
	t.Helper()
	err := filepath.WalkDir(folder, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool { visit(node); return true })
		return nil
	})
	assert.NilError(t, err)
}
