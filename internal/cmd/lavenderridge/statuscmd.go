package lavenderridge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge/internal/transport/operatorhttp"
)

// statusCmd shows the status of daemons.
type statusCmd struct {
	clause    *kingpin.CmdClause
	out       io.Writer
	operators operators
}

var _ command = (*statusCmd)(nil)

func newStatusCmd(a *kingpin.Application, w io.Writer) command {
	s := &statusCmd{clause: a.Command("status", "Show the status of daemons."), out: w}
	s.operators.flags(s.clause)
	return s
}

func (s *statusCmd) name() string {
	return s.clause.FullCommand()
}

func (s *statusCmd) run(c context.Context) error {
	a, x := ask(c, &s.operators, func(c context.Context, l *operatorhttp.Client) (operatorhttp.Status, error) {
		return l.Status(c)
	})
	if s.operators.json {
		return errors.Join(printJSON(s.out, a), x)
	}
	t := newTable(s.out)
	_, _ = fmt.Fprintln(t, "INSTANCE\tDATA CENTRE\tSERVICE\tSTATE\tCATALOGUE\tINSTANCES\tACCEPTED\tIN FLIGHT\tKEYS UNTIL")
	for _, v := range a {
		if v.Error == "" {
			printStatus(t, &v.Value)
		}
	}
	return errors.Join(t.Flush(), x)
}

func printStatus(w io.Writer, s *operatorhttp.Status) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d %.8s\t%d %.8s\t%s\t%d/%d\t%s\n",
		s.Instance, s.DataCentre, s.Service, stateOf(s),
		s.Versions.Catalogue, s.CatalogueDigest, s.Versions.InstanceList, s.InstanceListDigest,
		formatTime(s.AcceptedAt), s.Load.InFlight, s.Load.Limit, formatTime(s.KeysNotAfter))
}

func stateOf(s *operatorhttp.Status) string {
	switch {
	case s.Leaving:
		return "leaving"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(shortDateLayout)
}
