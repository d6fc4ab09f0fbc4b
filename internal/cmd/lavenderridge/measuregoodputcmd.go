package lavenderridge

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge/internal/measure/backendserver"
)

// measureGoodputCmd measures goodput under overload, of backend servers that
// can handle all slots of the catalogue or only half of them.
type measureGoodputCmd struct {
	measureBase
}

var _ command = (*measureGoodputCmd)(nil)

func newMeasureGoodputCmd(a *kingpin.CmdClause, w io.Writer) command {
	s := &measureGoodputCmd{measureBase: newMeasureBase(a, "goodput", "Measure the goodput of a backend server at 0.5 to 4 times its capacity, with adaptive admission and with a fixed limit of slots (about 3 minutes).", w)}
	s.addJSON()
	return s
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
	return s.emit(a, func(w io.Writer) error { return writeGoodput(w, a) })
}

// writeGoodput writes the results a to w as a table.
func writeGoodput(w io.Writer, a []backendserver.Goodput) error {
	_, _ = fmt.Fprintf(w, "%-14s %-10s %8s %10s %10s %10s %10s\n", "backend server", "admission", "load", "offered/s", "good/s", "critical", "p99")
	for _, g := range a {
		_, _ = fmt.Fprintf(w, "%-14s %-10s %7.1fx %10.0f %10.0f %9.1f%% %10s\n",
			capacityLabel(g.Weak), g.Mode, g.Factor, g.Offered, g.Good, 100*g.Critical, g.P99.Round(100*time.Microsecond))
	}
	return nil
}

// capacityLabel returns the table cell for the capacity of the backend server:
// half of the catalogue's slots if w is set, all of them otherwise.
func capacityLabel(w bool) string {
	if w {
		return "half capacity"
	}
	return "full capacity"
}
