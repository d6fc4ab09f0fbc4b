package lavenderridge

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/measure/latency"
)

// measureLatencyCmd measures the latency, processor time and allocations that
// daemons add to a call.
type measureLatencyCmd struct {
	measureBase
	plan     latency.Plan
	rate     float64
	bodySize int64
}

var _ command = (*measureLatencyCmd)(nil)

func newMeasureLatencyCmd(a *kingpin.CmdClause, w io.Writer) command {
	m := &measureLatencyCmd{measureBase: newMeasureBase(a, "latency", "Measure the latency, processor time and allocations that daemons add to a call.", w)}
	f := m.clause
	f.Flag("rate", "Calls in a second.").Default("500").Float64Var(&m.rate)
	f.Flag("callers", "Callers, each with one connection.").Default("16").IntVar(&m.plan.Callers)
	f.Flag("duration", "Time of one way in one round.").Default("4s").DurationVar(&m.plan.Duration)
	f.Flag("rounds", "Rounds through all ways.").Default("3").IntVar(&m.plan.Rounds)
	f.Flag("service-time", "Time that a backend server takes.").Default("2ms").DurationVar(&m.plan.ServiceTime)
	f.Flag("body", "Size of a request's body in bytes.").Default("256").Int64Var(&m.bodySize)
	m.addJSON()
	return m
}

func (m *measureLatencyCmd) run(c context.Context) error {
	m.plan.Rate, m.plan.Body = lavenderridge.Rate(m.rate), lavenderridge.ByteCount(m.bodySize)
	r, e := latency.Run(c, m.plan)
	if e != nil {
		return e
	}
	return m.emit(r, r.WriteTable)
}
