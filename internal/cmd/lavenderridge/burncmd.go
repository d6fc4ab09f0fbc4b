package lavenderridge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge/internal/cmd/burnplot"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
	"github.com/lavenderridge/lavenderridge/internal/transport/operatorhttp"
)

// burnCmd reports the burn rates of the error budgets, summed over daemons.
type burnCmd struct {
	clause    *kingpin.CmdClause
	out       io.Writer
	operators operatorFlags
	plotFile  string
}

var _ command = (*burnCmd)(nil)

// burnReport is the report that is printed as a table, or as JSON with --json.
type burnReport struct {
	Alert operator.Alert
	// Windows contains the names of the windows, in the order of the values in
	// each report line.
	Windows []string
	operator.Report
	// Daemons is the number of daemons that responded.
	Daemons int
}

func newBurnCmd(a *kingpin.Application, w io.Writer) command {
	b := &burnCmd{clause: a.Command("burn", "Report how fast entries and data centres use up the error budgets of their objectives."), out: w}
	b.operators.register(b.clause)
	b.clause.Flag("plot", "Also plot the burn rates to this file (.svg or .png).").StringVar(&b.plotFile)
	return b
}

func (b *burnCmd) name() string {
	return b.clause.FullCommand()
}

func (b *burnCmd) run(c context.Context) error {
	a, x := queryAll(c, &b.operators, func(c context.Context, l *operatorhttp.Client) (operatorhttp.BurnCounts, error) {
		return l.Burn(c)
	})
	var r []operator.Row
	v := burnReport{}
	for _, d := range a {
		r = append(r, d.Value.Rows...)
		if d.Error == "" {
			v.Daemons++
		}
	}
	v.Report = operator.NewReport(r)
	v.Alert = v.Report.Alert()
	for _, w := range operator.Windows() {
		v.Windows = append(v.Windows, w.String())
	}
	if b.plotFile != "" {
		x = errors.Join(burnplot.Save(v.Report, b.plotFile), x)
	}
	if b.operators.json {
		return errors.Join(printJSON(b.out, v), x)
	}
	return errors.Join(v.print(b.out), x)
}

// print writes the report as two tables. A cell contains the burn rate of a
// window, its bad requests and all its requests.
func (v *burnReport) print(w io.Writer) error {
	e := errors.Join(v.printLines(w, "ENTRY", v.ByEntry), v.printLines(w, "DATA CENTRE", v.ByDataCentre))
	if e != nil {
		return e
	}
	_, e = fmt.Fprintf(w, "alert: %s, from %s\n", v.Alert, plural(v.Daemons, "daemon"))
	return e
}

// printLines writes the report lines a as a table whose first column has the
// head n.
func (v *burnReport) printLines(w io.Writer, n string, a []operator.ReportLine) error {
	t := newTable(w)
	_, _ = fmt.Fprintf(t, "%s\tALERT\t%s\n", n, strings.Join(v.Windows, "\t"))
	for _, l := range a {
		_, _ = fmt.Fprintf(t, "%s\t%s", l.Name, l.Alert)
		for i, b := range l.Burn {
			_, _ = fmt.Fprintf(t, "\t%.2f (%d/%d)", b, l.Windows[i].Bad, l.Windows[i].Total())
		}
		_, _ = fmt.Fprintln(t)
	}
	_, _ = fmt.Fprintln(t)
	return t.Flush()
}
