package conventions

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// moduleRoot is the path of the module's root, relative to this package.
const moduleRoot = "../.."

// sourceFile is a parsed Go file other than a test.
type sourceFile struct {
	path string // relative to the module's root, with slashes
	dir  string // of path
	ast  *ast.File
}

// sourceFiles parses the module's Go files, without tests.
func sourceFiles(t *testing.T) ([]sourceFile, *token.FileSet) {
	t.Helper()
	fset := token.NewFileSet()
	var files []sourceFile
	for _, top := range []string{"cmd", "internal", "wire"} {
		err := filepath.WalkDir(filepath.Join(moduleRoot, top), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			parsed, err := parser.ParseFile(fset, path, nil, parser.ParseComments)
			if err != nil {
				return err
			}
			relative, err := filepath.Rel(moduleRoot, path)
			relative = filepath.ToSlash(relative)
			files = append(files, sourceFile{path: relative, dir: filepath.ToSlash(filepath.Dir(relative)), ast: parsed})
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if len(files) == 0 {
		t.Fatal("no source files found")
	}
	return files, fset
}
