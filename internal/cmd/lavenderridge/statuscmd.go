package lavenderridge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/transport/operatorhttp"
)

// statusCmd shows the status of daemons.
type statusCmd struct {
	clause    *kingpin.CmdClause
	out       io.Writer
	operators operatorFlags
}

var _ command = (*statusCmd)(nil)

func newStatusCmd(a *kingpin.Application, w io.Writer) command {
	s := &statusCmd{clause: a.Command("status", "Show the status of daemons."), out: w}
	s.operators.register(s.clause)
	return s
}

func (s *statusCmd) name() string {
	return s.clause.FullCommand()
}

func (s *statusCmd) run(c context.Context) error {
	a, x := queryAll(c, &s.operators, func(c context.Context, l *operatorhttp.Client) (operatorhttp.Status, error) {
		return l.Status(c)
	})
	if s.operators.json {
		return errors.Join(printJSON(s.out, a), x)
	}
	t := newTable(s.out)
	_, _ = fmt.Fprintln(t, "INSTANCE\tDATA CENTRE\tSERVICE\tSTATE\tCATALOGUE\tINSTANCES\tACCEPTED\tSOURCE AGE\tIN FLIGHT\tHOME\tKEYS UNTIL")
	for _, v := range a {
		if v.Error == "" {
			printStatus(t, &v.Value)
		}
	}
	if e := t.Flush(); e != nil {
		return errors.Join(e, x)
	}
	for _, v := range a {
		printRejections(s.out, &v.Value)
		printHomeWaiting(s.out, &v.Value)
		printStaleCatalogue(s.out, &v.Value)
	}
	return x
}

// printRejections prints the versions that the daemon recently rejected, each
// with its findings.
func printRejections(w io.Writer, s *operatorhttp.Status) {
	for _, r := range s.Rejections {
		k := "rejected"
		if r.Conflict {
			k = "already accepted with a different digest"
		}
		_, _ = fmt.Fprintf(w, "\n%s: %s version %d from %s at %s: %s\n", s.Instance, r.Document, r.Version, r.Origin, formatTime(r.Time), k)
		for _, f := range r.Findings {
			_, _ = fmt.Fprintf(w, "  %s\n", f)
		}
	}
}

// printHomeWaiting prints the instances whose acknowledgement of the membership
// the home needs to become active.
func printHomeWaiting(w io.Writer, s *operatorhttp.Status) {
	for _, n := range s.Home.Waiting {
		_, _ = fmt.Fprintf(w, "\n%s: home inactive until %s acknowledges the membership or is removed from the instance list; requests with keys new to this home wait\n", s.Instance, n)
	}
}

// printStaleCatalogue prints that the daemon refuses requests with a customer's key, if its
// catalogue is too old.
func printStaleCatalogue(w io.Writer, s *operatorhttp.Status) {
	if s.MaxCatalogueAge > 0 && s.CatalogueAge >= s.MaxCatalogueAge {
		_, _ = fmt.Fprintf(w, "\n%s: refuses requests with customers' keys: catalogue %d was last known to be the latest one %s ago; the bound is %s\n",
			s.Instance, s.Versions.Catalogue, s.CatalogueAge.Round(time.Millisecond), s.MaxCatalogueAge)
	}
}

// printStatus writes the row of one daemon to the table w.
func printStatus(w io.Writer, s *operatorhttp.Status) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d %.8s\t%s %.8s\t%s\t%s\t%d/%d\t%s\t%s\n",
		s.Instance, s.DataCentre, s.Service, formatState(s),
		s.Versions.Catalogue, s.CatalogueDigest, configservice.FormatListVersion(s.Versions.InstanceList), s.InstanceListDigest,
		formatTime(s.AcceptedAt), s.SourceAge.Round(time.Second), s.Load.InFlight, s.Load.Limit, formatHome(&s.Home), formatTime(s.KeysNotAfter))
}

// formatHome returns the state of the daemon's home, which determines the
// requests with an idempotency key that the daemon may run.
func formatHome(s *lavenderridge.HomeStatus) string {
	switch {
	case s.Fenced:
		return "fenced"
	case s.Active:
		return "active"
	case len(s.Waiting) > 0:
		return fmt.Sprintf("waits for %d", len(s.Waiting))
	default:
		return "inactive"
	}
}

// formatState returns whether the daemon is leaving, ready or not ready.
func formatState(s *operatorhttp.Status) string {
	switch {
	case s.Leaving:
		return "leaving"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

// formatTime returns the time t in UTC to the minute, or "-" if it is zero.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(minuteLayout)
}
