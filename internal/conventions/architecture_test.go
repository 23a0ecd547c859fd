package conventions

import (
	"go/ast"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// architecturePage names packages, types and functions, which are checked against the code;
// docs/design.md mentions some in passing and is not checked.
var architecturePage = filepath.Join(moduleRoot, "docs", "architecture.md")

var (
	codeSpan       = regexp.MustCompile("`([^`\n]+)`")
	packagePath    = regexp.MustCompile(`^(cmd|internal|wire)(/[a-z]+)*$`)
	layerRow       = regexp.MustCompile("(?m)^\\| [a-zA-Z ]+ \\| ((?:`(?:cmd|internal|wire)[a-z/]*`(?:, )?)+) \\|")
	qualifiedIdent = regexp.MustCompile(`^([a-z]+)\.([A-Z]\w*)(?:\.([A-Z]\w*))?$`)
)

// declarations returns the names that each package declares, by the package's name: Name for a
// package-level name, Type.Member for a method or field.
func declarations(files []sourceFile) map[string]map[string]bool {
	byPackage := map[string]map[string]bool{}
	for _, file := range files {
		names := byPackage[file.ast.Name.Name]
		if names == nil {
			names = map[string]bool{}
			byPackage[file.ast.Name.Name] = names
		}
		for _, declaration := range file.ast.Decls {
			switch declaration := declaration.(type) {
			case *ast.FuncDecl:
				names[functionName(declaration)] = true
			case *ast.GenDecl:
				for _, spec := range declaration.Specs {
					addSpec(names, spec)
				}
			}
		}
	}
	return byPackage
}

// functionName returns the name of a function, or Type.Method for a method.
func functionName(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return function.Name.Name
	}
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name + "." + function.Name.Name
	}
	return function.Name.Name
}

// addSpec adds the names that a spec declares, and a struct's fields as Type.Field.
func addSpec(names map[string]bool, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			names[name.Name] = true
		}
	case *ast.TypeSpec:
		names[spec.Name.Name] = true
		structure, ok := spec.Type.(*ast.StructType)
		if !ok {
			return
		}
		for _, field := range structure.Fields.List {
			for _, name := range field.Names {
				names[spec.Name.Name+"."+name.Name] = true
			}
		}
	}
}

// Each package, type, function and field that the architecture page names exists, and each
// package is on the page.
func TestArchitecturePageNamesTheCode(t *testing.T) {
	page, err := os.ReadFile(architecturePage)
	if err != nil {
		t.Fatal(err)
	}
	files, _ := sourceFiles(t)
	declared := declarations(files)
	directories := map[string]bool{}
	for _, file := range files {
		for dir := file.dir; dir != "."; dir = filepath.ToSlash(filepath.Dir(dir)) {
			directories[dir] = true
		}
	}
	checked := 0
	for _, span := range codeSpan.FindAllStringSubmatch(string(page), -1) {
		if packagePath.MatchString(span[1]) {
			checked++
			if !directories[span[1]] {
				t.Errorf("package %s does not exist", span[1])
			}
		}
		if name := qualifiedIdent.FindStringSubmatch(span[1]); name != nil {
			checked++
			member := name[2]
			if name[3] != "" {
				member += "." + name[3]
			}
			if !declared[name[1]][member] {
				t.Errorf("%s is not declared", span[1])
			}
		}
	}
	if checked == 0 {
		t.Fatal("the page names no code")
	}
	for _, file := range files {
		if !strings.Contains(string(page), "`"+file.dir+"`") {
			t.Errorf("package %s is not on the page", file.dir)
		}
	}
}

// layers returns the packages in each row of the page's table of layers, the highest layer first.
func layers(page string) [][]string {
	_, section, _ := strings.Cut(page, "\n## Packages\n")
	section, _, _ = strings.Cut(section, "\n## ")
	var rows [][]string
	for _, row := range layerRow.FindAllStringSubmatch(section, -1) {
		var packages []string
		for _, span := range codeSpan.FindAllStringSubmatch(row[1], -1) {
			packages = append(packages, span[1])
		}
		rows = append(rows, packages)
	}
	return rows
}

// A package imports packages of its own layer and of lower layers only, and each package is in the
// table of layers once.
func TestPackagesImportLowerLayers(t *testing.T) {
	page, err := os.ReadFile(architecturePage)
	if err != nil {
		t.Fatal(err)
	}
	depth := map[string]int{} // by package; 0 is the highest layer
	for i, packages := range layers(string(page)) {
		for _, name := range packages {
			if _, twice := depth[name]; twice {
				t.Errorf("%s is in the table twice", name)
			}
			depth[name] = i
		}
	}
	files, _ := sourceFiles(t)
	for _, file := range files {
		fileDepth, listed := depth[file.dir]
		if !listed {
			t.Errorf("package %s is not in the table", file.dir)
		}
		for _, spec := range file.ast.Imports {
			path, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			imported, inModule := strings.CutPrefix(path, "lynxledge/")
			if inModule && depth[imported] < fileDepth {
				t.Errorf("%s imports %s, which is in a higher layer", file.path, imported)
			}
		}
	}
}
