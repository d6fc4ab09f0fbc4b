package lavenderridge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/operatorhttp"
)

const decisionLayout = "2006-01-02 15:04:05.000 UTC"

// explainCmd shows recent decisions of daemons.
type explainCmd struct {
	clause    *kingpin.CmdClause
	out       io.Writer
	operators operators
	query     operatorhttp.DecisionQuery
}

var _ command = (*explainCmd)(nil)

// explained is a decision with the daemon that took it.
type explained struct {
	Operator string
	lavenderridge.Decision
}

func newExplainCmd(a *kingpin.Application, w io.Writer) command {
	x := &explainCmd{clause: a.Command("explain", "Show what daemons decided, why, and under which versions."), out: w}
	x.operators.flags(x.clause)
	x.clause.Flag("subject", "Show only decisions on this document, instance, entry or request.").StringVar(&x.query.Subject)
	x.clause.Flag("event", "Show only decisions of this kind.").StringVar(&x.query.Event)
	x.clause.Flag("limit", "Show at most this many decisions of each daemon.").Default("100").IntVar(&x.query.Limit)
	return x
}

func (x *explainCmd) name() string {
	return x.clause.FullCommand()
}

func (x *explainCmd) run(c context.Context) error {
	a, e := ask(c, &x.operators, func(c context.Context, l *operatorhttp.Client) ([]lavenderridge.Decision, error) {
		return l.Decisions(c, x.query)
	})
	m := []explained{}
	for _, v := range a {
		for _, d := range v.Value {
			m = append(m, explained{Operator: v.Operator, Decision: d})
		}
	}
	slices.SortStableFunc(m, func(a, b explained) int { return a.Time.Compare(b.Time) })
	if x.operators.json {
		return errors.Join(printJSON(x.out, m), e)
	}
	t := newTable(x.out)
	_, _ = fmt.Fprintln(t, "TIME\tOPERATOR\tEVENT\tSUBJECT\tCATALOGUE\tINSTANCES\tREASON")
	for _, d := range m {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n", d.Time.UTC().Format(decisionLayout), d.Operator,
			d.Event, d.Subject, d.Versions.Catalogue, d.Versions.InstanceList, d.Reason)
	}
	return errors.Join(t.Flush(), e)
}
