package lavenderridge

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge/internal/measure/backendserver"
)

// measureRestartCmd measures how long the service takes to recover after all
// backend servers restarted.
type measureRestartCmd struct {
	measureBase
}

var _ command = (*measureRestartCmd)(nil)

func newMeasureRestartCmd(a *kingpin.CmdClause, w io.Writer) command {
	s := &measureRestartCmd{measureBase: newMeasureBase(a, "restart", "Measure the recovery after a restart of all backend servers with cold starts, with the ramp and without (about 75 seconds).", w)}
	s.addJSON()
	return s
}

func (s *measureRestartCmd) run(c context.Context) error {
	var a []backendserver.Recovery
	for _, m := range []backendserver.Mode{backendserver.ModeAdaptive, backendserver.ModePlain} {
		r, e := backendserver.MeasureRecovery(c, m)
		if e != nil {
			return e
		}
		a = append(a, r)
	}
	return s.emit(a, func(io.Writer) error {
		for _, r := range a {
			s.print(r)
		}
		return nil
	})
}

func (s *measureRestartCmd) print(r backendserver.Recovery) {
	t := "not within the measurement"
	if r.Recovered {
		t = r.After.String()
	}
	_, _ = fmt.Fprintf(s.out, "%-10s offered %.0f/s, recovered after %s, answered %.1f%%, further crashes %d\n  by second:", r.Mode, r.Offered, t, 100*r.Good, r.Crashes)
	for _, v := range r.Seconds {
		_, _ = fmt.Fprintf(s.out, " %.0f%%", 100*v)
	}
	_, _ = fmt.Fprintln(s.out)
}
