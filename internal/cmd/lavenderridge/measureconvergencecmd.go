package lavenderridge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge/internal/measure/convergence"
)

// measureConvergenceCmd measures how long a fleet takes to accept a changed
// document, and the load on the network and on the source.
type measureConvergenceCmd struct {
	measureBase
	plan convergence.Plan
}

var _ command = (*measureConvergenceCmd)(nil)

func newMeasureConvergenceCmd(a *kingpin.CmdClause, w io.Writer) command {
	m := &measureConvergenceCmd{measureBase: newMeasureBase(a, "convergence", "Measure convergence, control bytes and source calls of fleets on loopback.", w)}
	m.clause.Flag("size", "Number of daemons; may be given several times.").Default("8", "16", "32", "64", "128").IntsVar(&m.plan.Sizes)
	m.clause.Flag("listed", "Number of instances in the list, with or without a daemon.").Default("3500").IntVar(&m.plan.Listed)
	m.clause.Flag("services", "Number of services in the catalogue.").Default("110").IntVar(&m.plan.Services)
	m.clause.Flag("changes", "Number of changes of each document.").Default("10").IntVar(&m.plan.Changes)
	m.clause.Flag("rest", "Time to observe the fleet at rest.").Default("15s").DurationVar(&m.plan.Rest)
	m.clause.Flag("baseline", "Also measure each size with every daemon watching the source.").Default("true").BoolVar(&m.plan.Baseline)
	m.addJSON()
	return m
}

func (m *measureConvergenceCmd) run(c context.Context) error {
	if m.json {
		j := json.NewEncoder(m.out)
		return convergence.Run(c, m.plan, func(r convergence.Report) { _ = j.Encode(r) })
	}
	_, _ = fmt.Fprintf(m.out, "%d listed instances, %d services, %d changes of each document; bytes are sent and received, with TCP and IP headers\n", m.plan.Listed, m.plan.Services, m.plan.Changes)
	_, _ = fmt.Fprintln(m.out, "daemons mode       | catalogue p50/p99/max ms | list p50/p99/max ms | storm ready p50/max s | B/s rest  B/change  B/storm | per change: announce delta whole pull B | source calls/s rest, storm all, peak/s, refused | CPU rest %  ms/change | heap MB  RSS MB")
	return convergence.Run(c, m.plan, m.print)
}

func (m *measureConvergenceCmd) print(r convergence.Report) {
	_, _ = fmt.Fprintf(m.out, "%7d %-10s | %s | %s | %5.2f %5.2f | %6.0f %7.0f %8.0f | %5.1f %5.2f %5.2f %6.0f | %6.1f %6.0f %6.0f %4.0f | %6.3f %7.2f | %6.2f %6.2f\n",
		r.Daemons, r.Mode, formatLatencies(r.Catalogue), formatLatencies(r.List), r.Storm.P50.Seconds(), r.Storm.Max.Seconds(),
		r.RestBytes, r.ChangeBytes, r.StormBytes, r.Announcements, r.Deltas, r.Wholes, r.PullBytes,
		r.RestCalls, r.StormCalls, r.StormPeak, r.Refused, 100*r.RestCPU, float64(r.ChangeCPU)/float64(time.Millisecond), r.Heap/1e6, r.Resident/1e6)
}

// formatLatencies returns the p50, p99 and maximum of l in milliseconds.
func formatLatencies(l convergence.Latencies) string {
	s := fmt.Sprintf("%6.0f %6.0f %6.0f", inMilliseconds(l.P50), inMilliseconds(l.P99), inMilliseconds(l.Max))
	if l.TimedOut > 0 {
		s += fmt.Sprintf(" (%d timed out)", l.TimedOut)
	}
	return s
}

func inMilliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
