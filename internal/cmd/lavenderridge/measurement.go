package lavenderridge

import (
	"encoding/json"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// measurement is what the commands that measure share.
type measurement struct {
	clause *kingpin.CmdClause
	out    io.Writer
	json   bool
}

// newMeasurement adds the command n with the help h to a. It prints to w.
func newMeasurement(a *kingpin.CmdClause, n, h string, w io.Writer) measurement {
	return measurement{clause: a.Command(n, h), out: w}
}

// addJSON adds the flag for JSON after the command's own ones.
func (m *measurement) addJSON() {
	m.clause.Flag("json", "Print JSON.").BoolVar(&m.json)
}

func (m *measurement) name() string {
	return m.clause.FullCommand()
}

// emit prints the result v as JSON where that is asked for, or else by f.
func (m *measurement) emit(v any, f func(w io.Writer) error) error {
	if m.json {
		return json.NewEncoder(m.out).Encode(v)
	}
	return f(m.out)
}
