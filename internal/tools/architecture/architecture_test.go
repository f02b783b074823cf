// Package architecture checks the code against the table of packages in
// docs/ARCHITECTURE.md.
package architecture

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	root   = "../../.."
	module = "wigeonbay/"
	// pureMark in the table marks a package that makes decisions without side
	// effects.
	pureMark = "pure"
)

// impureImports are forbidden in pure packages, which take the time from events
// and do no input or output.
var impureImports = []string{"net", "net/rpc", "os", "sync", "sync/atomic", "context", "go.uber.org/zap"}

// clockFuncs are the functions of package time that read the clock or wait.
var clockFuncs = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"}

// row is a line of the table.
type row struct {
	allowedImports []string
	pure           bool
}

// readTable returns the rows of the table by package.
func readTable(t *testing.T) map[string]row {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(root, "docs", "ARCHITECTURE.md"))
	assert.NilError(t, err)
	rows := map[string]row{}
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if len(cells) != 6 || !strings.HasPrefix(cells[1], " `") {
			continue
		}
		name := strings.Trim(cells[1], " `")
		_, twice := rows[name]
		assert.Check(t, !twice, "%s is in the table twice", name)
		rows[name] = row{
			allowedImports: strings.Fields(strings.NewReplacer("`", "", ",", "").Replace(cells[4])),
			pure:           strings.TrimSpace(cells[3]) == pureMark,
		}
	}
	return rows
}

// source lists the imports and selectors in the Go files of a package, except
// tests.
type source struct {
	imports []string
	// selectors are selector expressions on identifiers, such as time.Now.
	selectors []string
}

func readSources(t *testing.T) map[string]*source {
	t.Helper()
	sources := map[string]*source{}
	for _, top := range []string{"cmd", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			name, err := filepath.Rel(root, filepath.Dir(path))
			if err != nil {
				return err
			}
			if sources[name] == nil {
				sources[name] = &source{}
			}
			return sources[name].read(path)
		})
		assert.NilError(t, err)
	}
	return sources
}

func (s *source) read(path string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	for _, spec := range file.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return err
		}
		s.imports = append(s.imports, imported)
	}
	ast.Inspect(file, func(node ast.Node) bool {
		if selector, ok := node.(*ast.SelectorExpr); ok {
			if qualifier, ok := selector.X.(*ast.Ident); ok {
				s.selectors = append(s.selectors, qualifier.Name+"."+selector.Sel.Name)
			}
		}
		return true
	})
	return nil
}

func TestImportsFollowTheTable(t *testing.T) {
	rows := readTable(t)
	sources := readSources(t)
	for name := range rows {
		_, exists := sources[name]
		assert.Check(t, exists, "%s is in the table but not in the code", name)
	}
	for name, source := range sources {
		row, listed := rows[name]
		assert.Check(t, listed, "%s is not in the table", name)
		for _, imported := range source.imports {
			checkImport(t, name, row, imported)
		}
		if row.pure {
			checkPure(t, name, source)
		}
	}
}

func checkImport(t *testing.T, name string, row row, imported string) {
	t.Helper()
	if importedPackage, ok := strings.CutPrefix(imported, module); ok {
		allowed := slices.Contains(row.allowedImports, strings.TrimPrefix(importedPackage, "internal/"))
		assert.Check(t, allowed, "%s must not import %s", name, importedPackage)
	}
	if strings.HasPrefix(imported, "go.uber.org/fx") {
		assert.Check(t, strings.HasPrefix(name, "cmd/"), "%s imports fx, which belongs in cmd", name)
	}
}

// checkPure checks that a pure package has no impure imports, doesn't read the
// clock and uses only the status codes of package http.
func checkPure(t *testing.T, name string, source *source) {
	t.Helper()
	for _, imported := range source.imports {
		assert.Check(t, !slices.Contains(impureImports, imported), "%s is pure but imports %s", name, imported)
	}
	for _, used := range source.selectors {
		qualifier, selected, _ := strings.Cut(used, ".")
		if qualifier == "http" {
			assert.Check(t, strings.HasPrefix(selected, "Status"), "%s is pure and uses %s", name, used)
		}
		if qualifier == "time" {
			assert.Check(t, !slices.Contains(clockFuncs, selected), "%s is pure and uses %s", name, used)
		}
	}
}

// providerName matches header names and paths of the provider's interface, which
// package platform adapts.
var providerName = regexp.MustCompile(`^(X-|/[A-Z][A-Za-z]*\.[A-Z]|/readiness$)`)

// TestProviderNamesAppearOnlyInPlatform guards against other packages that
// depend on the provider's interface. It searches cmd and internal for the
// header names and paths that occur in platform.
func TestProviderNamesAppearOnlyInPlatform(t *testing.T) {
	names := map[string]bool{}
	for _, text := range stringLiterals(t, "platform") {
		if providerName.MatchString(text) {
			path, _, _ := strings.Cut(text, "{")
			names[path] = true
		}
	}
	// The project's own interface also uses this header.
	delete(names, "X-Request-Id")
	assert.Assert(t, len(names) >= 10, "%v", names)
	for _, top := range []string{"cmd", "internal"} {
		for _, text := range stringLiterals(t, top) {
			for name := range names {
				assert.Check(t, !strings.Contains(text, name), "the provider's name %q is used below %s", name, top)
			}
		}
	}
}

// stringLiterals returns the string literals in the Go files below top, except
// tests.
func stringLiterals(t *testing.T, top string) []string {
	t.Helper()
	var found []string
	err := filepath.WalkDir(filepath.Join(root, top), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
				if text, err := strconv.Unquote(literal.Value); err == nil {
					found = append(found, text)
				}
			}
			return true
		})
		return nil
	})
	assert.NilError(t, err)
	return found
}
