package lavenderridge

import (
	"encoding/json"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// measureBase contains the fields and methods that the measure commands share.
type measureBase struct {
	clause *kingpin.CmdClause
	out    io.Writer
	json   bool
}

// newMeasureBase adds the command n with the help text h to a. The command
// writes its results to w.
func newMeasureBase(a *kingpin.CmdClause, n, h string, w io.Writer) measureBase {
	return measureBase{clause: a.Command(n, h), out: w}
}

// addJSON adds the flag --json. Commands call it after adding their own flags,
// so that the help lists it last.
func (m *measureBase) addJSON() {
	m.clause.Flag("json", "Print JSON.").BoolVar(&m.json)
}

func (m *measureBase) name() string {
	return m.clause.FullCommand()
}

// emit writes the result v as JSON if --json is set, and calls f otherwise.
func (m *measureBase) emit(v any, f func(w io.Writer) error) error {
	if m.json {
		return json.NewEncoder(m.out).Encode(v)
	}
	return f(m.out)
}
