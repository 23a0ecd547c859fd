package conventions

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"strings"
	"testing"
)

// Every package has a package comment, and every exported type, function, method of an
// exported type, variable and constant a doc comment.
func TestExportedNamesAreDocumented(t *testing.T) {
	files, fset := sourceFiles(t)
	packages := map[string][]*ast.File{} // by directory and name
	for _, file := range files {
		key := file.dir + " " + file.ast.Name.Name
		packages[key] = append(packages[key], file.ast)
	}
	if len(packages) < 10 {
		t.Fatalf("only %d packages read", len(packages))
	}
	for key, files := range packages {
		for _, missing := range undocumented(fset, key, files) {
			t.Error(missing)
		}
	}
}

// undocumented reports each kind of declaration that lacks a comment, and no other.
func TestUndocumentedNamesAreFound(t *testing.T) {
	const source = `package p

type A struct{ Field int }

func (a *A) Method()         {}
func (g Generic[T]) Method() {}
func (h hidden) Method()     {}
func (a A) method()          {}
func F()                     {}

const C = 1

var V, w = 1, 2

type hidden int

// Generic is documented.
type Generic[T any] struct{}

// The group is documented.
const (
	D = 1
	E = 2
)

var (
	X = 1
	// Y is documented.
	Y = 2
	Z = 3 // not a doc comment
)
`
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, "p.go", source, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	got := strings.Join(undocumented(fset, "p", []*ast.File{file}), "\n")
	want := strings.Join([]string{
		"p: no package comment",
		"p.go:3:6: A has no doc comment", "p.go:5:13: A.Method has no doc comment",
		"p.go:6:21: Generic.Method has no doc comment", "p.go:9:6: F has no doc comment",
		"p.go:11:7: C has no doc comment", "p.go:13:5: V has no doc comment",
		"p.go:27:2: X has no doc comment", "p.go:30:2: Z has no doc comment",
	}, "\n")
	if got != want {
		t.Errorf("found\n%s\nwant\n%s", got, want)
	}
}

// undocumented describes the exported names of a package that have no doc comment, and the package
// itself if no file has a package comment.
func undocumented(fset *token.FileSet, pkg string, files []*ast.File) []string {
	var out []string
	packageDocumented := false
	for _, file := range files {
		packageDocumented = packageDocumented || documented(file.Doc)
	}
	if !packageDocumented {
		out = append(out, pkg+": no package comment")
	}
	report := func(name *ast.Ident, qualifiedName string) {
		out = append(out, fmt.Sprintf("%s: %s has no doc comment", fset.Position(name.Pos()), qualifiedName))
	}
	for _, file := range files {
		for _, decl := range file.Decls {
			switch d := decl.(type) {
			case *ast.FuncDecl:
				receiver := receiverType(d)
				if documented(d.Doc) || !d.Name.IsExported() || receiver != "" && !ast.IsExported(receiver) {
					continue
				}
				report(d.Name, strings.TrimPrefix(receiver+"."+d.Name.Name, "."))
			case *ast.GenDecl:
				if documented(d.Doc) {
					continue
				}
				for _, spec := range d.Specs {
					for _, name := range undocumentedNames(spec) {
						report(name, name.Name)
					}
				}
			}
		}
	}
	return out
}

// undocumentedNames returns the exported names of a spec that has no doc comment of its own.
func undocumentedNames(spec ast.Spec) []*ast.Ident {
	var names []*ast.Ident
	switch s := spec.(type) {
	case *ast.TypeSpec:
		if !documented(s.Doc) && s.Name.IsExported() {
			names = append(names, s.Name)
		}
	case *ast.ValueSpec:
		for _, name := range s.Names {
			if !documented(s.Doc) && name.IsExported() {
				names = append(names, name)
			}
		}
	}
	return names
}

// receiverType returns the name of a method's receiver type, or "" for a function.
func receiverType(d *ast.FuncDecl) string {
	if d.Recv == nil {
		return ""
	}
	expr := d.Recv.List[0].Type
	for {
		switch e := expr.(type) {
		case *ast.StarExpr:
			expr = e.X
		case *ast.IndexExpr:
			expr = e.X
		case *ast.IndexListExpr:
			expr = e.X
		case *ast.Ident:
			return e.Name
		default:
			return ""
		}
	}
}

// documented reports whether a doc comment has text; directives such as //go:embed are not text.
func documented(doc *ast.CommentGroup) bool { return strings.TrimSpace(doc.Text()) != "" }
