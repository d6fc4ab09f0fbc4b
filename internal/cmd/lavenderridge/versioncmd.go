package lavenderridge

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
)

// versionCmd shows the version, Go version and platform of the running build.
type versionCmd struct {
	clause *kingpin.CmdClause
	out    io.Writer
}

var _ command = (*versionCmd)(nil)

func newVersionCmd(a *kingpin.Application, w io.Writer) command {
	return &versionCmd{clause: a.Command("version", "Show the version of the program."), out: w}
}

func (v *versionCmd) name() string {
	return v.clause.FullCommand()
}

func (v *versionCmd) run(context.Context) error {
	b, o := debug.ReadBuildInfo()
	if !o {
		b = &debug.BuildInfo{}
	}
	m := map[string]string{}
	for _, s := range b.Settings {
		m[s.Key] = s.Value
	}
	n := cmp.Or(b.Main.Version, "(devel)")
	_, e := fmt.Fprintf(v.out, "lavenderridge %s %s %s/%s\n", n, b.GoVersion, m["GOOS"], m["GOARCH"])
	return e
}
