package lavenderridge_test

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge/internal/cmd/settings"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/standin/mesh"
	"github.com/lavenderridge/lavenderridge/internal/transport/operatorhttp"
)

var (
	eventName    = regexp.MustCompile("`([A-Z][a-z]+(?:[A-Z][a-z]+)+)`")
	metricName   = regexp.MustCompile("(?m)^\\| `lavenderridge_([a-z_]+)")
	registryName = regexp.MustCompile(`^[A-Z][A-Za-z]+(\.[A-Z][A-Za-z]+)*$`)
	familyName   = regexp.MustCompile(`(?m)^# TYPE lavenderridge_([a-z_]+) `)
)

func reference(t *testing.T, n string) string {
	t.Helper()
	return readFile(t, filepath.Join(repository, "docs/reference", n))
}

// TestSettingsPage checks that settings.md lists exactly the settings that the
// program reads.
func TestSettingsPage(t *testing.T) {
	var a []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([A-Z][A-Za-z.]+)`").FindAllStringSubmatch(reference(t, "settings.md"), -1) {
		a = append(a, m[1])
	}
	slices.Sort(a)
	if w := settings.KeyPaths(); !slices.Equal(a, w) {
		t.Errorf("settings.md lists %q; the program reads %q", a, w)
	}
}

// TestCommandsPage checks that commands.md contains the output of --help-long.
// With the flag -rewrite it updates the page instead.
func TestCommandsPage(t *testing.T) {
	c := exec.Command(buildBinary(t), "--help-long")
	c.Env = append(os.Environ(), "COLUMNS=80")
	b, e := c.Output()
	if e != nil {
		t.Fatal(e)
	}
	var w strings.Builder
	for l := range strings.Lines(string(b)) {
		w.WriteString(strings.TrimRight(l, " \n") + "\n")
	}
	p := reference(t, "commands.md")
	i, j := strings.Index(p, "```text\n"), strings.LastIndex(p, "```")
	if i < 0 || j <= i {
		t.Fatal("commands.md does not contain a ```text block")
	}
	n := p[:i] + "```text\n" + strings.TrimSpace(w.String()) + "\n" + p[j:]
	if n == p {
		return
	}
	if f := flag.Lookup("rewrite"); f != nil && f.Value.String() == "true" {
		if e := os.WriteFile(filepath.Join(repository, "docs/reference/commands.md"), []byte(n), 0o644); e != nil {
			t.Fatal(e)
		}
		return
	}
	t.Errorf("commands.md differs from --help-long; run this test with -rewrite")
}

// TestEventsPage checks that events.md lists every event that the sources log
// or record, and only events that occur in the sources.
func TestEventsPage(t *testing.T) {
	events, all := sourceEvents(t)
	page := map[string]bool{}
	for _, m := range eventName.FindAllStringSubmatch(firstColumns(reference(t, "events.md")), -1) {
		page[m[1]] = true
		if !all[m[1]] {
			t.Errorf("events.md lists %s, which does not occur in the sources", m[1])
		}
	}
	for v := range events {
		if !page[v] {
			t.Errorf("events.md does not list %s", v)
		}
	}
}

// sourceEvents returns the events that the sources log or record, and all
// string literals of the sources.
func sourceEvents(t *testing.T) (events, all map[string]bool) {
	t.Helper()
	events, all = map[string]bool{}, map[string]bool{}
	e := filepath.WalkDir(filepath.Join(repository, "internal"), func(p string, d fs.DirEntry, e error) error {
		if e != nil || d.IsDir() || !strings.HasSuffix(p, ".go") || strings.HasSuffix(p, "_test.go") {
			return e
		}
		f, e := parser.ParseFile(token.NewFileSet(), p, nil, 0)
		if e == nil {
			collectEvents(f, events, all)
		}
		return e
	})
	if e != nil {
		t.Fatal(e)
	}
	return events, all
}

// firstColumns returns the first cell of each row of the tables in s.
func firstColumns(s string) string {
	var b strings.Builder
	for l := range strings.Lines(s) {
		if c := strings.Split(l, "|"); len(c) > 2 {
			fmt.Fprintln(&b, c[1])
		}
	}
	return b.String()
}

// collectEvents adds the events that f logs or records to events, and all
// string literals of f to all. An event is the first argument of a log method
// or of record, or the value of a field Event.
func collectEvents(f *ast.File, events, all map[string]bool) {
	add := func(x ast.Expr) {
		if l, o := x.(*ast.BasicLit); o && l.Kind == token.STRING {
			if s, e := strconv.Unquote(l.Value); e == nil && eventName.MatchString("`"+s+"`") {
				events[s] = true
			}
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch v := n.(type) {
		case *ast.BasicLit:
			if s, e := strconv.Unquote(v.Value); e == nil {
				all[s] = true
			}
		case *ast.KeyValueExpr:
			if k, o := v.Key.(*ast.Ident); o && k.Name == "Event" {
				add(v.Value)
			}
		case *ast.CallExpr:
			s, o := v.Fun.(*ast.SelectorExpr)
			if o && len(v.Args) > 0 && slices.Contains([]string{"Debug", "Info", "Warn", "Error", "record"}, s.Sel.Name) {
				add(v.Args[0])
			}
		}
		return true
	})
}

// TestMetricsPage checks that metrics.md lists every metric that a daemon
// serves after it has responded to a request, and only metrics whose names
// occur in the sources.
func TestMetricsPage(t *testing.T) {
	m, e := mesh.NewMesh(t.Context())
	if e != nil {
		t.Fatal(e)
	}
	t.Cleanup(func() {
		if e := m.Close(); e != nil {
			t.Error(e)
		}
	})
	if e := m.Wait(t.Context(), func(d *assembly.Daemon) bool { return d.Status().Ready }); e != nil {
		t.Fatal(e)
	}
	d := m.Members[0].Daemon
	if _, _, _, e := get("http://" + string(d.CallerAddress()) + "/roster/read/1"); e != nil {
		t.Fatal(e)
	}
	n, page := map[string]bool{}, map[string]bool{}
	eventually(t, 5*time.Second, "metrics served", func() bool {
		_, _, b, e := get("http://" + string(d.OperatorAddress()) + "/metrics")
		for _, v := range familyName.FindAllStringSubmatch(b, -1) {
			n[v[1]] = true
		}
		return e == nil && len(n) > 0
	})
	for _, v := range metricName.FindAllStringSubmatch(reference(t, "metrics.md"), -1) {
		page[v[1]] = true
	}
	for v := range n {
		if !page[v] {
			t.Errorf("metrics.md does not list lavenderridge_%s", v)
		}
	}
	k := knownFamilies(t)
	for v := range page {
		if !n[v] && !k[strings.TrimSuffix(v, "_total")] {
			t.Errorf("metrics.md lists lavenderridge_%s, which does not occur in the sources", v)
		}
	}
}

// knownFamilies returns the family names of all metrics whose names are string
// literals of the sources. WriteMetrics converts the names to family names.
func knownFamilies(t *testing.T) map[string]bool {
	t.Helper()
	_, all := sourceEvents(t)
	r := metrics.NewRegistry()
	for v := range all {
		if n, _, _ := strings.Cut(v, "{"); registryName.MatchString(n) {
			metrics.NewRegisteredGauge(n, r)
		}
	}
	var b strings.Builder
	if e := operatorhttp.WriteMetrics(&b, r); e != nil {
		t.Fatal(e)
	}
	m := map[string]bool{}
	for _, v := range familyName.FindAllStringSubmatch(b.String(), -1) {
		m[v[1]] = true
	}
	return m
}
