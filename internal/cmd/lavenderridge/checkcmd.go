package lavenderridge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/cmd/settings"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/transport/confighttp"
)

// The kinds of files that can be checked.
const (
	kindDetect    = "detect"
	kindSettings  = "settings"
	kindCatalogue = "catalogue"
	kindInstances = "instances"
)

// checkCmd checks files before they are used or published.
type checkCmd struct {
	clause *kingpin.CmdClause
	out    io.Writer
	files  []string
	kind   string
	ports  bool
	json   bool
}

var _ command = (*checkCmd)(nil)

func newCheckCmd(a *kingpin.Application, w io.Writer) command {
	k := &checkCmd{clause: a.Command("check", "Check settings, catalogues and instance lists, and print every finding."), out: w}
	k.clause.Arg("file", "Files to check.").Required().StringsVar(&k.files)
	k.clause.Flag("kind", "Kind of the files: settings, catalogue, instances, or detect.").Default(kindDetect).
		EnumVar(&k.kind, kindDetect, kindSettings, kindCatalogue, kindInstances)
	k.clause.Flag("ports", "Check as well that the addresses of the settings are free.").BoolVar(&k.ports)
	k.clause.Flag("json", "Print JSON.").BoolVar(&k.json)
	return k
}

func (k *checkCmd) name() string {
	return k.clause.FullCommand()
}

func (k *checkCmd) run(context.Context) error {
	f := lavenderridge.Findings{}
	for _, p := range k.files {
		f = append(f, k.check(p)...)
	}
	if e := k.print(f); e != nil {
		return e
	}
	if len(f) > 0 {
		return errSilent
	}
	return nil
}

func (k *checkCmd) print(f lavenderridge.Findings) error {
	if k.json {
		return json.NewEncoder(k.out).Encode(f)
	}
	for _, v := range f {
		if _, e := fmt.Fprintln(k.out, v); e != nil {
			return e
		}
	}
	if len(f) == 0 {
		_, e := fmt.Fprintf(k.out, "no findings in %s\n", plural(len(k.files), "file"))
		return e
	}
	_, e := fmt.Fprintf(k.out, "%s\n", plural(len(f), "finding"))
	return e
}

func (k *checkCmd) check(p string) lavenderridge.Findings {
	b, e := os.ReadFile(p)
	if e != nil {
		return lavenderridge.Findings{{Place: p, Message: "cannot be read: " + errors.Unwrap(e).Error()}}
	}
	switch k.kindOf(p, b) {
	case kindInstances:
		_, f := configservice.CheckInstanceList(confighttp.Parser{}, b)
		return inFile(p, f)
	case kindCatalogue:
		_, f := configservice.CheckCatalogue(confighttp.Parser{}, b)
		return inFile(p, f)
	default:
		s, f := settings.Load(p)
		if s != nil && k.ports {
			f = append(f, s.CheckPorts()...)
		}
		return f
	}
}

// kindOf returns the kind of the file p with the content b. Instance lists are
// JSON; a catalogue has lists of tables and settings have none.
func (k *checkCmd) kindOf(p string, b []byte) string {
	if k.kind != kindDetect {
		return k.kind
	}
	switch {
	case filepath.Ext(p) == ".json":
		return kindInstances
	case strings.Contains(string(b), "[["):
		return kindCatalogue
	default:
		return kindSettings
	}
}

// inFile returns the findings of g with the file p in their places.
func inFile(p string, g lavenderridge.Findings) lavenderridge.Findings {
	var f lavenderridge.Findings
	for _, v := range g {
		if n, o := strings.CutPrefix(v.Place, "line "); o {
			f.Add(p+":"+n, "%s", v.Message)
			continue
		}
		f.Add(p+": "+v.Place, "%s", v.Message)
	}
	return f
}

func plural(n int, s string) string {
	if n == 1 {
		return "1 " + s
	}
	return fmt.Sprintf("%d %ss", n, s)
}
