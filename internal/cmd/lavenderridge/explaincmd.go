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
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
	"github.com/lavenderridge/lavenderridge/internal/transport/logjson"
	"github.com/lavenderridge/lavenderridge/internal/transport/operatorhttp"
)

// millisecondLayout is the layout of the times of decisions and log lines.
const millisecondLayout = "2006-01-02 15:04:05.000 UTC"

// explainCmd shows recent decisions of daemons, or the timeline of a request
// from their logs.
type explainCmd struct {
	clause    *kingpin.CmdClause
	out       io.Writer
	operators operatorFlags
	query     operatorhttp.DecisionQuery
	logs      []string
}

var _ command = (*explainCmd)(nil)

// daemonDecision is a decision with the operator address of the daemon that
// made it.
type daemonDecision struct {
	Operator string
	lavenderridge.Decision
}

func newExplainCmd(a *kingpin.Application, w io.Writer) command {
	x := &explainCmd{clause: a.Command("explain", "Show what daemons decided, why, and under which versions."), out: w}
	x.operators.register(x.clause)
	x.clause.Flag("subject", "Show only decisions on this document, instance, entry or request.").StringVar(&x.query.Subject)
	x.clause.Flag("event", "Show only decisions of this kind.").StringVar(&x.query.Event)
	x.clause.Flag("limit", "Show at most this many decisions of each daemon.").Default("100").IntVar(&x.query.Limit)
	x.clause.Flag("log", "Read this daemon's log file instead of querying daemons, and show the timeline of the request named by --subject; may be repeated.").StringsVar(&x.logs)
	return x
}

func (x *explainCmd) name() string {
	return x.clause.FullCommand()
}

func (x *explainCmd) run(c context.Context) error {
	if len(x.logs) > 0 {
		return x.printTimeline()
	}
	a, e := queryAll(c, &x.operators, func(c context.Context, l *operatorhttp.Client) ([]lavenderridge.Decision, error) {
		return l.Decisions(c, x.query)
	})
	m := []daemonDecision{}
	for _, v := range a {
		for _, d := range v.Value {
			m = append(m, daemonDecision{Operator: v.Operator, Decision: d})
		}
	}
	slices.SortStableFunc(m, func(a, b daemonDecision) int { return a.Time.Compare(b.Time) })
	if x.operators.json {
		return errors.Join(printJSON(x.out, m), e)
	}
	t := newTable(x.out)
	_, _ = fmt.Fprintln(t, "TIME\tOPERATOR\tEVENT\tSUBJECT\tCATALOGUE\tINSTANCES\tREASON")
	for _, d := range m {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", d.Time.UTC().Format(millisecondLayout), d.Operator,
			d.Event, d.Subject, d.Versions.Catalogue, configservice.FormatListVersion(d.Versions.InstanceList), d.Reason)
	}
	return errors.Join(t.Flush(), e)
}

// printTimeline prints the timeline of a request, read from the logs of
// daemons.
func (x *explainCmd) printTimeline() error {
	if x.query.Subject == "" {
		return errors.New("explain: --log requires --subject with the ID of a request")
	}
	var a []lavenderridge.LogLine
	for _, p := range x.logs {
		l, n, e := readLog(p)
		if e != nil {
			return e
		}
		if n > 0 {
			_, _ = fmt.Fprintf(x.out, "%s: lines skipped because they are not log lines of a daemon: %d\n", p, n)
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
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", l.Time.UTC().Format(millisecondLayout), l.Instance,
			l.Event, l.Subject, l.Versions.Catalogue, configservice.FormatListVersion(l.Versions.InstanceList), l.Detail)
	}
	return t.Flush()
}

// readLog returns the log lines in the file p, and the number of lines that are
// not log lines of a daemon.
func readLog(p string) ([]lavenderridge.LogLine, int, error) {
	f, e := os.Open(p)
	if e != nil {
		return nil, 0, fmt.Errorf("explain: %w", e)
	}
	defer func() { _ = f.Close() }()
	return logjson.Read(f)
}
