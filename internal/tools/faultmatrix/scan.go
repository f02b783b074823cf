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

// marker starts a line of a comment that names a cell.
const marker = "fault:"

// processTag is the build tag of tests that run separate processes.
const processTag = "faults"

// moduleRoot returns the folder of the go.mod around folder.
func moduleRoot(folder string) (string, error) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(folder, "go.mod")); err == nil {
			return folder, nil
		}
		parent := filepath.Dir(folder)
		if parent == folder {
			return "", errors.New("no go.mod in this folder or above it")
		}
		folder = parent
	}
}

// scan reads the markers of every test file under root.
func scan(root string) (matrix, error) {
	found := matrix{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return skipFolder(root, path, entry.Name())
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

func skipFolder(root, path, name string) error {
	if path != root && (strings.HasPrefix(name, ".") || name == "testdata" || name == "bin") {
		return filepath.SkipDir
	}
	return nil
}

func (m matrix) addFile(path, name string) error {
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, path, nil, parser.ParseComments)
	if err != nil {
		return err
	}
	processes := needsProcesses(file)
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
				return fmt.Errorf("%s: %w", set.Position(line.Pos()), err)
			}
			if skips(function) {
				return fmt.Errorf("%s: %s may skip itself, so it proves nothing", set.Position(line.Pos()), function.Name.Name)
			}
			m[c] = append(m[c], proof{name: function.Name.Name, file: name, processes: processes})
		}
	}
	return strayMarker(set, file, used)
}

// strayMarker reports a marker that is not above a test function, since it
// would silently prove nothing.
func strayMarker(set *token.FileSet, file *ast.File, used map[token.Pos]bool) error {
	for _, group := range file.Comments {
		for _, line := range group.List {
			if _, ok := markerText(line); ok && !used[line.Pos()] {
				return fmt.Errorf("%s: marker is not in the comment above a test function", set.Position(line.Pos()))
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
	return strings.CutPrefix(strings.TrimSpace(text), marker)
}

func parseCell(text string) (cell, error) {
	fault, step, ok := strings.Cut(strings.TrimSpace(text), " x ")
	if !ok {
		return cell{}, fmt.Errorf("marker %q is not %q", strings.TrimSpace(text), "fault: FAULT x STEP")
	}
	c := cell{fault: find(faults, fault), step: find(steps, step)}
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

// skips reports whether a test calls Skip, Skipf or SkipNow.
func skips(function *ast.FuncDecl) bool {
	found := false
	ast.Inspect(function, func(node ast.Node) bool {
		if selector, ok := node.(*ast.SelectorExpr); ok && strings.HasPrefix(selector.Sel.Name, "Skip") {
			found = true
		}
		return !found
	})
	return found
}

// needsProcesses reports whether a file is built only with processTag.
func needsProcesses(file *ast.File) bool {
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
			with := expr.Eval(func(tag string) bool { return tag == processTag })
			return with && !without
		}
	}
	return false
}
