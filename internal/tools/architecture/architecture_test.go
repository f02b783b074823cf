// Package architecture holds the code to the table in docs/ARCHITECTURE.md.
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
	// pureMark in the table marks a package whose code decides and does nothing.
	pureMark = "pure"
)

// impure are the imports that a pure package can't have: it takes time as a
// field of events and does no input or output.
var impure = []string{"net", "net/rpc", "os", "sync", "sync/atomic", "context", "go.uber.org/zap"}

// clock are the names of package time that read the clock or wait.
var clock = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"}

// row is a line of the table.
type row struct {
	mayImport []string
	pure      bool
}

// readTable returns the rows by package.
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
			mayImport: strings.Fields(strings.NewReplacer("`", "", ",", "").Replace(cells[4])),
			pure:      strings.TrimSpace(cells[3]) == pureMark,
		}
	}
	return rows
}

// source is what the Go files of a package name, tests aside.
type source struct {
	imports []string
	// names are the uses of other packages, such as time.Now.
	names []string
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
			if from, ok := selector.X.(*ast.Ident); ok {
				s.names = append(s.names, from.Name+"."+selector.Sel.Name)
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
		assert.Check(t, exists, "%s is in the table and not in the code", name)
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
	if own, ok := strings.CutPrefix(imported, module); ok {
		allowed := slices.Contains(row.mayImport, strings.TrimPrefix(own, "internal/"))
		assert.Check(t, allowed, "%s must not import %s", name, own)
	}
	if strings.HasPrefix(imported, "go.uber.org/fx") {
		assert.Check(t, strings.HasPrefix(name, "cmd/"), "%s imports fx, which belongs in cmd", name)
	}
}

// checkPure lets a pure package name HTTP's status codes, and nothing else that
// reaches outside.
func checkPure(t *testing.T, name string, source *source) {
	t.Helper()
	for _, imported := range source.imports {
		assert.Check(t, !slices.Contains(impure, imported), "%s is pure and imports %s", name, imported)
	}
	for _, used := range source.names {
		from, what, _ := strings.Cut(used, ".")
		if from == "http" {
			assert.Check(t, strings.HasPrefix(what, "Status"), "%s is pure and uses %s", name, used)
		}
		if from == "time" {
			assert.Check(t, !slices.Contains(clock, what), "%s is pure and uses %s", name, used)
		}
	}
}

// providerName matches a string in platform that only the provider speaks.
var providerName = regexp.MustCompile(`^(X-|/[A-Z][A-Za-z]*\.[A-Z]|/readiness$)`)

// TestOnlyPlatformKnowsTheProvidersNames takes the header names and paths from
// platform and looks for them everywhere else.
func TestOnlyPlatformKnowsTheProvidersNames(t *testing.T) {
	names := map[string]bool{}
	for _, text := range stringsIn(t, "platform") {
		if providerName.MatchString(text) {
			path, _, _ := strings.Cut(text, "{")
			names[path] = true
		}
	}
	// The project's own interface has a header of the same name.
	delete(names, "X-Request-Id")
	assert.Assert(t, len(names) >= 10, "%v", names)
	for _, top := range []string{"cmd", "internal"} {
		for _, text := range stringsIn(t, top) {
			for name := range names {
				assert.Check(t, !strings.Contains(text, name), "%q is the provider's and stands below %s", name, top)
			}
		}
	}
}

// stringsIn returns the string literals of the Go files below a folder, tests
// aside.
func stringsIn(t *testing.T, top string) []string {
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
