// Package lint holds rules of this repository's source that no linter it uses checks.
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

// root is the root of the repository, from where the tests of this package run.
const root = "../.."

// TestExportedNamesHaveDocComments looks at every file under cmd and internal that is no test.
// Each package needs a package comment, and each exported function, method (of an unexported type
// too), type, constant, variable and method of an exported interface its own; a group of types,
// constants or variables may have one for all, as go doc shows it. That a comment starts with its
// name is staticcheck's to check (ST1000, ST1020, ST1021 and ST1022), which passes over comments
// that aren't there.
func TestExportedNamesHaveDocComments(t *testing.T) {
	for _, dir := range []string{"cmd", "internal"} {
		files := 0
		for _, finding := range undocumentedUnder(t, filepath.Join(root, dir), &files) {
			t.Error(finding)
		}
		if files == 0 {
			t.Errorf("no file of Go under %s", dir)
		}
	}
}

// TestMissingDocCommentsAreFound plants each kind of missing comment beside its documented or
// unexported like.
func TestMissingDocCommentsAreFound(t *testing.T) {
	const source = `package planted

func Bare() {}

// Told is documented.
func Told() {}

func hidden() {}

//go:noinline
func Directed() {}

//
func Empty() {}

type Thing struct{ Field int }

func (Thing) Method() {}

func (*Thing) Pointer() {}

// Said is documented.
func (*Thing) Said() {}

func (t *Thing) silent() {}

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
	Stop() // after the line
	error
	quiet()
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
	Fifth = 5 // after the line
	sixth, Seventh = 6, 7
)

var Shared int

var _, unshared = 1, 2
`
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, "planted.go", source, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"planted.go:1: package planted",
		"planted.go:3: func Bare",
		"planted.go:11: func Directed",
		"planted.go:14: func Empty",
		"planted.go:16: type Thing",
		"planted.go:18: method Thing.Method",
		"planted.go:20: method Thing.Pointer",
		"planted.go:27: type List",
		"planted.go:29: method List.Push",
		"planted.go:31: method pairs.Push",
		"planted.go:35: method private.Method",
		"planted.go:41: method Caller.Call",
		"planted.go:52: type Two",
		"planted.go:61: const Limit",
		"planted.go:72: const Fourth",
		"planted.go:74: const Seventh",
		"planted.go:77: var Shared",
	}
	var got []string
	for _, finding := range undocumented(fset, []*ast.File{file}) {
		got = append(got, strings.TrimSuffix(finding, " has no doc comment"))
	}
	if !slices.Equal(got, want) {
		t.Errorf("found:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// undocumentedUnder tells what has no doc comment in the packages at and below dir and counts
// the files it read.
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
		at := filepath.Dir(path)
		packages[at] = append(packages[at], file)
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

// undocumented tells what has no doc comment in the files of one package, in their order.
func undocumented(fset *token.FileSet, files []*ast.File) []string {
	var findings []string
	missing := func(at ast.Node, kind, name string) {
		position := fset.Position(at.Pos())
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

// undocumentedType reports a type without a doc comment and, where it is an interface, its
// methods without one.
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

// documented tells whether a comment has words; directives as //go:embed have none.
func documented(comment *ast.CommentGroup) bool {
	return strings.TrimSpace(comment.Text()) != ""
}

// receiverName is the name of the type that a method belongs to.
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
