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

// Values of the flag --kind. With kindDetect, each file's kind is detected from
// its name and content.
const (
	kindDetect    = "detect"
	kindSettings  = "settings"
	kindCatalogue = "catalogue"
	kindInstances = "instances"
)

// checkCmd checks settings files before a daemon starts with them, and
// catalogues and instance lists before they are published.
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
	k.clause.Flag("ports", "Also check that the addresses of the settings are free.").BoolVar(&k.ports)
	k.clause.Flag("json", "Print JSON.").BoolVar(&k.json)
	return k
}

func (k *checkCmd) name() string {
	return k.clause.FullCommand()
}

func (k *checkCmd) run(context.Context) error {
	f := lavenderridge.Findings{}
	for _, p := range k.files {
		f = append(f, k.checkFile(p)...)
	}
	if e := k.print(f); e != nil {
		return e
	}
	if len(f) > 0 {
		return errReported
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

// checkFile returns the findings of the file p.
func (k *checkCmd) checkFile(p string) lavenderridge.Findings {
	b, e := os.ReadFile(p)
	if e != nil {
		return lavenderridge.Findings{{Place: p, Message: "cannot be read: " + errors.Unwrap(e).Error()}}
	}
	switch k.detectKind(p, b) {
	case kindInstances:
		_, f := configservice.CheckInstanceList(confighttp.Parser{}, b)
		return prefixPlaces(p, f)
	case kindCatalogue:
		_, f := configservice.CheckCatalogue(confighttp.Parser{}, b)
		return prefixPlaces(p, f)
	default:
		s, f := settings.Load(p)
		if s != nil && k.ports {
			f = append(f, s.CheckPorts()...)
		}
		return f
	}
}

// detectKind returns the kind of the file p with the content b. Instance lists
// are JSON files. Catalogues and settings are TOML files, of which only
// catalogues contain arrays of tables ("[["). The flag --kind overrides the
// detection.
func (k *checkCmd) detectKind(p string, b []byte) string {
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

// prefixPlaces returns the findings g with the file name p before each place.
// The place "line 3" becomes "p:3".
func prefixPlaces(p string, g lavenderridge.Findings) lavenderridge.Findings {
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

// plural returns n followed by the noun s, with a plural s unless n is 1.
func plural(n int, s string) string {
	if n == 1 {
		return "1 " + s
	}
	return fmt.Sprintf("%d %ss", n, s)
}
