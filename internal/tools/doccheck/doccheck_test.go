// Package doccheck checks that every package and every exported item has a doc
// comment. The linters check only the form of existing doc comments.
package doccheck

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const root = "../../.."

func TestEveryExportedItemHasADocComment(t *testing.T) {
	var missing []string
	documented := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		fset := token.NewFileSet()
		file, err := parser.ParseFile(fset, path, nil, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		dir := filepath.Dir(path)
		documented[dir] = documented[dir] || file.Doc != nil
		if strings.HasSuffix(path, "_test.go") {
			return nil
		}
		for _, name := range undocumentedItems(file) {
			missing = append(missing, fmt.Sprintf("%s: %s", path, name))
		}
		return nil
	})
	assert.NilError(t, err)
	for dir, ok := range documented {
		if !ok {
			missing = append(missing, dir+": package")
		}
	}
	assert.Assert(t, len(documented) > 1, "no packages were found")
	assert.Equal(t, len(missing), 0, strings.Join(missing, "\n"))
}

// undocumentedItems returns the names of the exported items of a file that have
// no doc comment.
func undocumentedItems(file *ast.File) []string {
	var names []string
	for _, decl := range file.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			if d.Name.IsExported() && d.Doc == nil && hasExportedReceiver(d) {
				names = append(names, d.Name.Name)
			}
		case *ast.GenDecl:
			if d.Doc == nil {
				names = append(names, undocumentedSpecs(d)...)
			}
		}
	}
	return names
}

// hasExportedReceiver reports whether d is a method of an exported type, or a
// function without a receiver.
func hasExportedReceiver(d *ast.FuncDecl) bool {
	if d.Recv == nil {
		return true
	}
	receiver := d.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if index, ok := receiver.(*ast.IndexExpr); ok {
		receiver = index.X
	}
	name, ok := receiver.(*ast.Ident)
	return ok && name.IsExported()
}

func undocumentedSpecs(d *ast.GenDecl) []string {
	var names []string
	for _, spec := range d.Specs {
		switch s := spec.(type) {
		case *ast.TypeSpec:
			if s.Name.IsExported() && s.Doc == nil {
				names = append(names, s.Name.Name)
			}
		case *ast.ValueSpec:
			if s.Names[0].IsExported() && s.Doc == nil && s.Comment == nil {
				names = append(names, s.Names[0].Name)
			}
		}
	}
	return names
}
