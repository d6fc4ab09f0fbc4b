package lavenderridge

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge/internal/standin/trial"
)

const tryTimeout = 30 * time.Second

// tryCmd runs a short trial on one machine: daemons with stand-ins for
// everything around them, and a check of the system's guarantees.
type tryCmd struct {
	clause *kingpin.CmdClause
	out    io.Writer
	json   bool
}

var _ command = (*tryCmd)(nil)

func newTryCmd(a *kingpin.Application, w io.Writer) command {
	t := &tryCmd{
		clause: a.Command("try", "Run daemons with stand-ins on this machine and check the promises. Ends by itself."),
		out:    w,
	}
	t.clause.Flag("json", "Print JSON.").BoolVar(&t.json)
	return t
}

func (t *tryCmd) name() string {
	return t.clause.FullCommand()
}

func (t *tryCmd) run(c context.Context) error {
	c, f := context.WithTimeout(c, tryTimeout)
	defer f()
	x, e := trial.NewTrial(c)
	if e != nil {
		return e
	}
	r, e := x.Run(c)
	e = errors.Join(e, x.Close())
	if e != nil {
		return e
	}
	if t.json {
		e = json.NewEncoder(t.out).Encode(r)
	} else {
		e = r.WriteTable(t.out)
	}
	return errors.Join(e, r.Err())
}
