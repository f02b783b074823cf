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

func TestPageIsUpToDate(t *testing.T) {
	got, err := os.ReadFile(filepath.Join(root, pagePath))
	assert.NilError(t, err)
	assert.Assert(t, string(got) == render(telemetry.Catalogue()), "docs/EVENTS.md is out of date: run go run ./internal/tools/eventdoc")
}

func TestEventsAreUniqueAndComplete(t *testing.T) {
	seen := map[int]bool{}
	for _, event := range telemetry.Catalogue() {
		assert.Check(t, !seen[event.Number], "number %d is used twice", event.Number)
		seen[event.Number] = true
		assert.Check(t, event.Number >= 1000 && event.Number < 6000, "%d", event.Number)
		assert.Check(t, event.Text != "" && strings.HasSuffix(event.Meaning, "."), "%d", event.Number)
		assert.Check(t, !strings.Contains(event.Text+event.Meaning, "|"), "%d breaks the table", event.Number)
	}
}

// TestEveryEventIsListedAndLogged guards against events that are declared but
// missing from the catalogue, and events that no code logs.
func TestEveryEventIsListedAndLogged(t *testing.T) {
	declared := declaredEvents(t)
	assert.Equal(t, len(telemetry.Catalogue()), len(declared), "an event is missing from its list, or is in it twice")
	used := usedNames(t)
	for _, name := range declared {
		assert.Check(t, used[name], "telemetry.%s is never logged", name)
	}
}

// declaredEvents returns the names of the Event variables in package telemetry.
func declaredEvents(t *testing.T) []string {
	t.Helper()
	var names []string
	inspectFiles(t, filepath.Join(root, "internal", "telemetry"), func(node ast.Node) {
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

// usedNames returns the names that any package uses from package telemetry, and
// the events that telemetry logs itself.
func usedNames(t *testing.T) map[string]bool {
	t.Helper()
	used := map[string]bool{}
	recordUse := func(node ast.Node) {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return
		}
		qualifier, ok := selector.X.(*ast.Ident)
		if ok && qualifier.Name == "telemetry" {
			used[selector.Sel.Name] = true
		}
		if ok && (selector.Sel.Name == "Log" || selector.Sel.Name == "Number") {
			// Package telemetry itself logs an event with Log, or uses its Number
			// to write a line without a logger.
			used[qualifier.Name] = true
		}
	}
	inspectFiles(t, filepath.Join(root, "cmd"), recordUse)
	inspectFiles(t, filepath.Join(root, "internal"), recordUse)
	return used
}

// inspectFiles calls visit for every syntax node of the Go files below dir,
// except tests.
func inspectFiles(t *testing.T, dir string, visit func(ast.Node)) {
	t.Helper()
	err := filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
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
