// Package lint checks rules for this repository's source that its linters do not cover.
package lint

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// root is the root of the repository, relative to this package.
const root = "../.."

// TestExportedNamesHaveDocComments checks every non-test file under cmd and internal. Every
// package, exported function, type, constant, variable, method (also of an unexported type) and
// method of an exported interface needs a doc comment. A group of types, constants or variables
// may share one. staticcheck checks that a comment starts with the name (ST1000, ST1020, ST1021
// and ST1022), but accepts a missing comment.
func TestExportedNamesHaveDocComments(t *testing.T) {
	for _, dir := range []string{"cmd", "internal"} {
		files := 0
		for _, finding := range undocumentedUnder(t, filepath.Join(root, dir), &files) {
			t.Error(finding)
		}
		if files == 0 {
			t.Errorf("no Go files under %s", dir)
		}
	}
}

// TestMissingDocCommentsAreFound checks the findings in a source that has each kind of missing
// comment beside documented and unexported declarations.
func TestMissingDocCommentsAreFound(t *testing.T) {
	const source = `package example

func Uncommented() {}

// Documented is documented.
func Documented() {}

func hidden() {}

//go:noinline
func DirectiveOnly() {}

//
func EmptyComment() {}

type Thing struct{ Field int }

func (Thing) Method() {}

func (*Thing) Pointer() {}

// DocumentedMethod is documented.
func (*Thing) DocumentedMethod() {}

func (t *Thing) unexported() {}

type List[T any] []T

func (l *List[T]) Push(T) {}

func (l *pairs[K, V]) Push(K, V) {}

type pairs[K, V any] struct{}

func (private) Method() {}

type private struct{}

// Caller is documented.
type Caller interface {
	Call()
	// Answer is documented.
	Answer()
	Stop() // a trailing comment
	error
	unexported()
}

type (
	// One is documented.
	One int
	Two int
)

// These types are documented together.
type (
	Three int
	Four  int
)

const Limit = 1

// These are documented together.
const (
	First = iota
	Second
)

const (
	// Third is documented.
	Third = 3
	Fourth = 4
	Fifth = 5 // a trailing comment
	sixth, Seventh = 6, 7
)

var Shared int

var _, unshared = 1, 2
`
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, "example.go", source, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"example.go:1: package example",
		"example.go:3: func Uncommented",
		"example.go:11: func DirectiveOnly",
		"example.go:14: func EmptyComment",
		"example.go:16: type Thing",
		"example.go:18: method Thing.Method",
		"example.go:20: method Thing.Pointer",
		"example.go:27: type List",
		"example.go:29: method List.Push",
		"example.go:31: method pairs.Push",
		"example.go:35: method private.Method",
		"example.go:41: method Caller.Call",
		"example.go:52: type Two",
		"example.go:61: const Limit",
		"example.go:72: const Fourth",
		"example.go:74: const Seventh",
		"example.go:77: var Shared",
	}
	var got []string
	for _, finding := range undocumented(fset, []*ast.File{file}) {
		got = append(got, strings.TrimSuffix(finding, " has no doc comment"))
	}
	if !slices.Equal(got, want) {
		t.Errorf("found:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// undocumentedUnder returns the findings in the packages at and below dir and adds the number of
// files read to files.
func undocumentedUnder(t *testing.T, dir string, files *int) []string {
	t.Helper()
	fset := token.NewFileSet()
	packages := map[string][]*ast.File{}
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if entry.Name() == "testdata" {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(fset, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		*files++
		dir := filepath.Dir(path)
		packages[dir] = append(packages[dir], file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	var findings []string
	for _, parsed := range packages {
		findings = append(findings, undocumented(fset, parsed)...)
	}
	slices.Sort(findings)
	return findings
}

// undocumented returns a finding for each declaration without a doc comment in the files of one
// package, in source order.
func undocumented(fset *token.FileSet, files []*ast.File) []string {
	var findings []string
	missing := func(node ast.Node, kind, name string) {
		position := fset.Position(node.Pos())
		path := strings.TrimPrefix(filepath.ToSlash(position.Filename), root+"/")
		findings = append(findings, fmt.Sprintf("%s:%d: %s %s has no doc comment", path, position.Line, kind, name))
	}
	if !slices.ContainsFunc(files, func(f *ast.File) bool { return documented(f.Doc) }) {
		missing(files[0], "package", files[0].Name.Name)
	}
	for _, file := range files {
		for _, declaration := range file.Decls {
			switch d := declaration.(type) {
			case *ast.FuncDecl:
				if !d.Name.IsExported() || documented(d.Doc) {
					continue
				}
				if d.Recv == nil {
					missing(d, "func", d.Name.Name)
				} else {
					missing(d, "method", receiverName(d)+"."+d.Name.Name)
				}
			case *ast.GenDecl:
				for _, spec := range d.Specs {
					switch s := spec.(type) {
					case *ast.TypeSpec:
						undocumentedType(d, s, missing)
					case *ast.ValueSpec:
						if documented(d.Doc) || documented(s.Doc) || documented(s.Comment) {
							continue
						}
						for _, name := range s.Names {
							if name.IsExported() {
								missing(name, d.Tok.String(), name.Name)
							}
						}
					}
				}
			}
		}
	}
	return findings
}

// undocumentedType reports an exported type without a doc comment and, if it is an interface, its
// exported methods without one.
func undocumentedType(group *ast.GenDecl, spec *ast.TypeSpec, missing func(ast.Node, string, string)) {
	if !spec.Name.IsExported() {
		return
	}
	if !documented(group.Doc) && !documented(spec.Doc) {
		missing(spec, "type", spec.Name.Name)
	}
	methods, ok := spec.Type.(*ast.InterfaceType)
	if !ok {
		return
	}
	for _, method := range methods.Methods.List {
		for _, name := range method.Names {
			if name.IsExported() && !documented(method.Doc) && !documented(method.Comment) {
				missing(name, "method", spec.Name.Name+"."+name.Name)
			}
		}
	}
}

// documented reports whether a comment has text. Directives such as //go:embed are not text.
func documented(comment *ast.CommentGroup) bool {
	return strings.TrimSpace(comment.Text()) != ""
}

// receiverName returns the name of a method's receiver type.
func receiverName(method *ast.FuncDecl) string {
	expression := method.Recv.List[0].Type
	for {
		switch e := expression.(type) {
		case *ast.StarExpr:
			expression = e.X
		case *ast.ParenExpr:
			expression = e.X
		case *ast.IndexExpr:
			expression = e.X
		case *ast.IndexListExpr:
			expression = e.X
		case *ast.Ident:
			return e.Name
		default:
			return ""
		}
	}
}
