package lavenderridge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge/internal/measure/backendserver"
)

// measureGoodputCmd measures goodput under overload.
type measureGoodputCmd struct {
	clause *kingpin.CmdClause
	out    io.Writer
	json   bool
}

var _ command = (*measureGoodputCmd)(nil)

func newMeasureGoodputCmd(a *kingpin.CmdClause, w io.Writer) command {
	s := &measureGoodputCmd{clause: a.Command("goodput", "Goodput of a backend server at 0.5 to 4 times its capacity, with adaptive admission and with a plain slot gate (about 3 minutes)."), out: w}
	s.clause.Flag("json", "Print JSON.").BoolVar(&s.json)
	return s
}

func (s *measureGoodputCmd) name() string {
	return s.clause.FullCommand()
}

func (s *measureGoodputCmd) run(c context.Context) error {
	var a []backendserver.Goodput
	for _, k := range []bool{false, true} {
		for _, m := range []backendserver.Mode{backendserver.ModeAdaptive, backendserver.ModePlain} {
			for _, f := range []float64{0.5, 1, 2, 4} {
				g, e := backendserver.MeasureGoodput(c, m, k, f)
				if e != nil {
					return e
				}
				a = append(a, g)
			}
		}
	}
	if s.json {
		return json.NewEncoder(s.out).Encode(a)
	}
	_, _ = fmt.Fprintf(s.out, "%-14s %-10s %8s %10s %10s %10s %10s\n", "backend server", "admission", "load", "offered/s", "good/s", "critical", "p99")
	for _, g := range a {
		_, _ = fmt.Fprintf(s.out, "%-14s %-10s %7.1fx %10.0f %10.0f %9.1f%% %10s\n",
			bears(g.Weak), g.Mode, g.Factor, g.Offered, g.Good, 100*g.Critical, g.P99.Round(100*time.Microsecond))
	}
	return nil
}

func bears(w bool) string {
	if w {
		return "bears half"
	}
	return "as catalogued"
}
