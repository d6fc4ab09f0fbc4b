package lavenderridge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
	"github.com/lavenderridge/lavenderridge/internal/transport/logjson"
	"github.com/lavenderridge/lavenderridge/internal/transport/operatorhttp"
)

const decisionLayout = "2006-01-02 15:04:05.000 UTC"

// explainCmd shows recent decisions of daemons.
type explainCmd struct {
	clause    *kingpin.CmdClause
	out       io.Writer
	operators operators
	query     operatorhttp.DecisionQuery
	logs      []string
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
	x.clause.Flag("log", "Read this daemon's log in place of asking daemons, and tell all that concerns the request named by --subject.").StringsVar(&x.logs)
	return x
}

func (x *explainCmd) name() string {
	return x.clause.FullCommand()
}

func (x *explainCmd) run(c context.Context) error {
	if len(x.logs) > 0 {
		return x.tell()
	}
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

// tell prints the timeline of one request from the logs of daemons.
func (x *explainCmd) tell() error {
	if x.query.Subject == "" {
		return errors.New("explain: --log needs --subject with the ID of a request")
	}
	var a []lavenderridge.LogLine
	for _, p := range x.logs {
		l, n, e := readLog(p)
		if e != nil {
			return e
		}
		if n > 0 {
			_, _ = fmt.Fprintf(x.out, "%s: %d lines are no log lines of a daemon\n", p, n)
		}
		a = append(a, l...)
	}
	a = operator.RequestTimeline(a, lavenderridge.RequestID(x.query.Subject))
	if x.operators.json {
		return printJSON(x.out, a)
	}
	t := newTable(x.out)
	_, _ = fmt.Fprintln(t, "TIME\tDAEMON\tEVENT\tSUBJECT\tCATALOGUE\tINSTANCES\tDETAIL")
	for _, l := range a {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n", l.Time.UTC().Format(decisionLayout), l.Instance,
			l.Event, l.Subject, l.Versions.Catalogue, l.Versions.InstanceList, l.Detail)
	}
	return t.Flush()
}

func readLog(p string) ([]lavenderridge.LogLine, int, error) {
	f, e := os.Open(p)
	if e != nil {
		return nil, 0, fmt.Errorf("explain: %w", e)
	}
	defer func() { _ = f.Close() }()
	return logjson.Read(f)
}
