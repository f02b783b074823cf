package main

import (
	"errors"
	"fmt"
	"go/ast"
	"go/build/constraint"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// markerPrefix starts a comment line that names a cell.
const markerPrefix = "fault:"

// separateProcessTag is the build tag of tests that run separate processes.
const separateProcessTag = "faults"

// moduleRoot returns the root directory of the module that contains dir.
func moduleRoot(dir string) (string, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errors.New("no go.mod in this directory or its parents")
		}
		dir = parent
	}
}

// scan collects the markers of every test file below root.
func scan(root string) (matrix, error) {
	found := matrix{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return skipIgnoredDir(root, path, entry.Name())
		}
		if !strings.HasSuffix(path, "_test.go") {
			return nil
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		return found.addFile(path, filepath.ToSlash(name))
	})
	return found, err
}

func skipIgnoredDir(root, path, name string) error {
	if path != root && (strings.HasPrefix(name, ".") || name == "testdata" || name == "bin") {
		return filepath.SkipDir
	}
	return nil
}

func (m matrix) addFile(path, name string) error {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, nil, parser.ParseComments)
	if err != nil {
		return err
	}
	separateProcesses := requiresProcessTag(file)
	used := map[token.Pos]bool{}
	for _, decl := range file.Decls {
		function, ok := decl.(*ast.FuncDecl)
		if !ok || function.Doc == nil || !isTest(function) {
			continue
		}
		for _, line := range function.Doc.List {
			text, ok := markerText(line)
			if !ok {
				continue
			}
			used[line.Pos()] = true
			c, err := parseCell(text)
			if err != nil {
				return fmt.Errorf("%s: %w", fset.Position(line.Pos()), err)
			}
			if maySkip(function) {
				return fmt.Errorf("%s: %s may skip itself and can't cover a fault", fset.Position(line.Pos()), function.Name.Name)
			}
			m[c] = append(m[c], coveringTest{name: function.Name.Name, file: name, separateProcesses: separateProcesses})
		}
	}
	return checkStrayMarkers(fset, file, used)
}

// checkStrayMarkers returns an error for a marker that is not in the comment of
// a test function. Such a marker would be ignored without notice.
func checkStrayMarkers(fset *token.FileSet, file *ast.File, used map[token.Pos]bool) error {
	for _, group := range file.Comments {
		for _, line := range group.List {
			if _, ok := markerText(line); ok && !used[line.Pos()] {
				return fmt.Errorf("%s: marker is not in the comment above a test function", fset.Position(line.Pos()))
			}
		}
	}
	return nil
}

func markerText(line *ast.Comment) (string, bool) {
	text, ok := strings.CutPrefix(line.Text, "//")
	if !ok {
		return "", false
	}
	return strings.CutPrefix(strings.TrimSpace(text), markerPrefix)
}

func parseCell(text string) (cell, error) {
	fault, step, ok := strings.Cut(strings.TrimSpace(text), " x ")
	if !ok {
		return cell{}, fmt.Errorf("marker %q is not %q", strings.TrimSpace(text), "fault: FAULT x STEP")
	}
	c := cell{fault: findAxis(faults, fault), step: findAxis(steps, step)}
	if c.fault == "" {
		return cell{}, fmt.Errorf("unknown fault %q", fault)
	}
	if c.step == "" {
		return cell{}, fmt.Errorf("unknown step %q", step)
	}
	return c, nil
}

func isTest(function *ast.FuncDecl) bool {
	return function.Recv == nil && strings.HasPrefix(function.Name.Name, "Test")
}

// maySkip reports whether a test calls Skip, Skipf or SkipNow.
func maySkip(function *ast.FuncDecl) bool {
	found := false
	ast.Inspect(function, func(node ast.Node) bool {
		if selector, ok := node.(*ast.SelectorExpr); ok && strings.HasPrefix(selector.Sel.Name, "Skip") {
			found = true
		}
		return !found
	})
	return found
}

// requiresProcessTag reports whether a file is built only with
// separateProcessTag.
func requiresProcessTag(file *ast.File) bool {
	for _, group := range file.Comments {
		if group.Pos() > file.Package {
			return false
		}
		for _, line := range group.List {
			expr, err := constraint.Parse(line.Text)
			if err != nil {
				continue
			}
			without := expr.Eval(func(string) bool { return false })
			with := expr.Eval(func(tag string) bool { return tag == separateProcessTag })
			return with && !without
		}
	}
	return false
}
