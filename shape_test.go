package lavenderridge_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// sourceFile is one parsed Go file of the repository that is not a test.
type sourceFile struct {
	path string
	set  *token.FileSet
	tree *ast.File
}

func sourceFiles(t *testing.T) []sourceFile {
	t.Helper()
	var a []sourceFile
	e := filepath.WalkDir(".", func(p string, d fs.DirEntry, e error) error {
		if e != nil || d.IsDir() || !strings.HasSuffix(p, ".go") || strings.HasSuffix(p, "_test.go") {
			return e
		}
		s := token.NewFileSet()
		f, e := parser.ParseFile(s, p, nil, parser.ParseComments)
		a = append(a, sourceFile{path: p, set: s, tree: f})
		return e
	})
	if e != nil {
		t.Fatal(e)
	}
	return a
}

// TestPolicyStaysApart checks that the packages below internal/policy import no
// network, encoding or operating system package and no package of a transport,
// daemon or command, and that they neither read the clock nor set timers.
func TestPolicyStaysApart(t *testing.T) {
	banned := []string{"net", "net/", "encoding/", "os", "syscall", "github.com/fxamacker", "golang.org/x/net", "github.com/go-kratos", "go.uber.org/zap", "github.com/lavenderridge/lavenderridge/internal/transport", "github.com/lavenderridge/lavenderridge/internal/daemon", "github.com/lavenderridge/lavenderridge/internal/cmd", "github.com/lavenderridge/lavenderridge/internal/standin"}
	for _, f := range sourceFiles(t) {
		if !strings.HasPrefix(f.path, "internal/policy/") {
			continue
		}
		for _, i := range f.tree.Imports {
			p := strings.Trim(i.Path.Value, `"`)
			for _, b := range banned {
				if p == b || (strings.HasSuffix(b, "/") || strings.Contains(b, ".")) && strings.HasPrefix(p, b) {
					t.Errorf("%s imports %s", f.path, p)
				}
			}
		}
		ast.Inspect(f.tree, func(n ast.Node) bool {
			s, o := n.(*ast.SelectorExpr)
			if !o {
				return true
			}
			x, o := s.X.(*ast.Ident)
			clock := []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"}
			for _, c := range clock {
				if o && x.Name == "time" && s.Sel.Name == c {
					t.Errorf("%s: time.%s in a policy package", f.set.Position(s.Pos()), c)
				}
			}
			return true
		})
	}
}

// TestOneTypePerFile checks that a file declares at most one exported type and
// is named after it.
func TestOneTypePerFile(t *testing.T) {
	for _, f := range sourceFiles(t) {
		var names []string
		for _, d := range f.tree.Decls {
			g, o := d.(*ast.GenDecl)
			if !o || g.Tok != token.TYPE {
				continue
			}
			for _, s := range g.Specs {
				if n := s.(*ast.TypeSpec).Name; n.IsExported() {
					names = append(names, n.Name)
				}
			}
		}
		if len(names) > 1 {
			t.Errorf("%s declares %s; want one exported type in a file", f.path, strings.Join(names, ", "))
		}
		if len(names) == 1 && strings.ToLower(names[0])+".go" != filepath.Base(f.path) {
			t.Errorf("%s declares %s; want the file named after it", f.path, names[0])
		}
	}
}

// TestOneLetterNames checks that receivers, parameters and locals have names
// of one letter.
func TestOneLetterNames(t *testing.T) {
	for _, f := range sourceFiles(t) {
		check := func(n *ast.Ident) {
			if n != nil && len(n.Name) > 1 {
				t.Errorf("%s: local name %s; want one letter", f.set.Position(n.Pos()), n.Name)
			}
		}
		fields := func(l *ast.FieldList) {
			if l == nil {
				return
			}
			for _, v := range l.List {
				for _, n := range v.Names {
					check(n)
				}
			}
		}
		ast.Inspect(f.tree, func(n ast.Node) bool {
			switch v := n.(type) {
			case *ast.FuncDecl:
				fields(v.Recv)
				fields(v.Type.Params)
				fields(v.Type.Results)
				inspectLocals(v.Body, check)
			case *ast.FuncLit:
				fields(v.Type.Params)
			}
			return true
		})
	}
}

func inspectLocals(b *ast.BlockStmt, check func(*ast.Ident)) {
	if b == nil {
		return
	}
	ast.Inspect(b, func(n ast.Node) bool {
		switch v := n.(type) {
		case *ast.AssignStmt:
			for _, l := range v.Lhs {
				if i, o := l.(*ast.Ident); o && v.Tok == token.DEFINE {
					check(i)
				}
			}
		case *ast.RangeStmt:
			for _, l := range []ast.Expr{v.Key, v.Value} {
				if i, o := l.(*ast.Ident); o && v.Tok == token.DEFINE {
					check(i)
				}
			}
		case *ast.ValueSpec:
			for _, i := range v.Names {
				check(i)
			}
		}
		return true
	})
}

// TestResponsesAreChecked checks that HTTP clients use plainhttp.Transport, which returns no
// broken response. The transport between daemons uses HTTP/2, which marks the end of each
// response.
func TestResponsesAreChecked(t *testing.T) {
	unchecked := []string{"DefaultClient", "DefaultTransport", "Get", "Head", "Post", "PostForm"}
	for _, f := range sourceFiles(t) {
		checked := make(map[ast.Node]bool)
		ast.Inspect(f.tree, func(n ast.Node) bool {
			switch v := n.(type) {
			case *ast.CallExpr:
				if isSelector(v.Fun, "plainhttp", "NewTransport") || isSelector(v.Fun, "http2", "ConfigureTransports") {
					for _, a := range v.Args {
						checked[ast.Unparen(a)] = true
					}
				}
			case *ast.UnaryExpr:
				checked[v.X] = checked[v]
			case *ast.CompositeLit:
				if isSelector(v.Type, "http", "Transport") && !checked[v] {
					t.Errorf("%s: http.Transport; want plainhttp.NewTransport", f.set.Position(v.Pos()))
				}
				if isSelector(v.Type, "http", "Client") && !hasKey(v, "Transport") {
					t.Errorf("%s: http.Client without a Transport", f.set.Position(v.Pos()))
				}
			case *ast.SelectorExpr:
				for _, u := range unchecked {
					if isSelector(v, "http", u) {
						t.Errorf("%s: http.%s; want plainhttp.NewTransport", f.set.Position(v.Pos()), u)
					}
				}
			}
			return true
		})
	}
}

// isSelector reports whether the expression e is the name n of the package p.
func isSelector(e ast.Expr, p, n string) bool {
	s, o := e.(*ast.SelectorExpr)
	if !o {
		return false
	}
	x, o := s.X.(*ast.Ident)
	return o && x.Name == p && s.Sel.Name == n
}

// hasKey reports whether the literal v sets the field n.
func hasKey(v *ast.CompositeLit, n string) bool {
	for _, e := range v.Elts {
		if k, o := e.(*ast.KeyValueExpr); o && k.Key.(*ast.Ident).Name == n {
			return true
		}
	}
	return false
}
