package lavenderridge

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge/internal/measure/activation"
)

// measureActivationCmd measures the time and messages that the activation of
// homes takes.
type measureActivationCmd struct {
	measureBase
	plan activation.Plan
}

var _ command = (*measureActivationCmd)(nil)

func newMeasureActivationCmd(a *kingpin.CmdClause, w io.Writer) command {
	m := &measureActivationCmd{measureBase: newMeasureBase(a, "activation", "Measure the time and messages that moving the homes of keyed requests takes.", w)}
	m.clause.Flag("instances", "Instances of the service.").Default("32").IntVar(&m.plan.Instances)
	m.clause.Flag("rest", "Time to observe the fleet at rest.").Default("10s").DurationVar(&m.plan.Rest)
	m.clause.Flag("silence", "Time for which an unresponsive instance stays in the list.").Default("5s").DurationVar(&m.plan.Silence)
	m.addJSON()
	return m
}

func (m *measureActivationCmd) run(c context.Context) error {
	r, e := activation.Run(c, m.plan)
	if e != nil {
		return e
	}
	return m.emit(r, r.WriteTable)
}
