package lavenderridge

import (
	"context"
	"encoding/json"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge/internal/measure/activation"
)

// measureActivationCmd measures what the activation of homes costs.
type measureActivationCmd struct {
	clause *kingpin.CmdClause
	out    io.Writer
	plan   activation.Plan
	json   bool
}

var _ command = (*measureActivationCmd)(nil)

func newMeasureActivationCmd(a *kingpin.CmdClause, w io.Writer) command {
	m := &measureActivationCmd{out: w, clause: a.Command("activation", "Measure the time and messages that moving the homes of keyed requests takes.")}
	m.clause.Flag("instances", "Instances of the service.").Default("32").IntVar(&m.plan.Instances)
	m.clause.Flag("rest", "Time to observe the fleet at rest.").Default("10s").DurationVar(&m.plan.Rest)
	m.clause.Flag("silence", "Time for which the list keeps an instance that does not answer.").Default("5s").DurationVar(&m.plan.Silence)
	m.clause.Flag("json", "Print JSON.").BoolVar(&m.json)
	return m
}

func (m *measureActivationCmd) name() string {
	return m.clause.FullCommand()
}

func (m *measureActivationCmd) run(c context.Context) error {
	r, e := activation.Run(c, m.plan)
	if e != nil {
		return e
	}
	if m.json {
		return json.NewEncoder(m.out).Encode(r)
	}
	return r.WriteTable(m.out)
}
