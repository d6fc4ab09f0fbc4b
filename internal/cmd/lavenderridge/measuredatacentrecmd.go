package lavenderridge

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/measure/datacentre"
)

// measureDataCentreCmd measures success and latency while a data centre is
// taken out of service and returns.
type measureDataCentreCmd struct {
	measureBase
	plan      datacentre.Plan
	rate      float64
	coldSlots int
}

var _ command = (*measureDataCentreCmd)(nil)

func newMeasureDataCentreCmd(a *kingpin.CmdClause, w io.Writer) command {
	m := &measureDataCentreCmd{measureBase: newMeasureBase(a, "datacentre", "Measure success and latency while one of three data centres leaves and returns with cold backend servers, with the router and with plain round robin.", w)}
	f := m.clause
	f.Flag("rate", "Requests in a second.").Default("400").Float64Var(&m.rate)
	f.Flag("replicas", "Instances in each data centre.").Default("2").IntVar(&m.plan.Replicas)
	f.Flag("service-time", "Time that a backend server takes.").Default("50ms").DurationVar(&m.plan.ServiceTime)
	f.Flag("step", "Time before the leaving, between it and the return, and after.").Default("8s").DurationVar(&m.plan.Step)
	f.Flag("cold-time", "Time for which a backend server is cold after its start.").Default("4s").DurationVar(&m.plan.ColdTime)
	f.Flag("cold-slots", "Concurrent requests that a cold backend server can handle.").Default("2").IntVar(&m.coldSlots)
	m.addJSON()
	return m
}

func (m *measureDataCentreCmd) run(c context.Context) error {
	m.plan.Rate, m.plan.ColdSlots = lavenderridge.Rate(m.rate), lavenderridge.Slots(m.coldSlots)
	for _, o := range []bool{false, true} {
		r, e := datacentre.Run(c, m.plan, o)
		if e != nil {
			return e
		}
		if e := m.emit(r, r.WriteTable); e != nil {
			return e
		}
	}
	return nil
}
