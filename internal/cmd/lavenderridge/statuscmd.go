package lavenderridge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge/internal/transport/operatorhttp"
)

const statusTimeout = 5 * time.Second

// statusCmd prints a daemon's status.
type statusCmd struct {
	clause  *kingpin.CmdClause
	out     io.Writer
	address string
	json    bool
}

var _ command = (*statusCmd)(nil)

func newStatusCmd(a *kingpin.Application, w io.Writer) command {
	s := &statusCmd{clause: a.Command("status", "Show a daemon's status."), out: w}
	s.clause.Flag("operator", "Operator address of the daemon.").Default("127.0.0.1:7300").StringVar(&s.address)
	s.clause.Flag("json", "Print JSON.").BoolVar(&s.json)
	return s
}

func (s *statusCmd) name() string {
	return s.clause.FullCommand()
}

func (s *statusCmd) run(c context.Context) error {
	c, f := context.WithTimeout(c, statusTimeout)
	defer f()
	r, e := http.NewRequestWithContext(c, http.MethodGet, "http://"+s.address+"/status", http.NoBody)
	if e != nil {
		return fmt.Errorf("status: %w", e)
	}
	p, e := http.DefaultClient.Do(r)
	if e != nil {
		return fmt.Errorf("status: %w", e)
	}
	defer func() { _ = p.Body.Close() }()
	var v operatorhttp.Status
	if e := json.NewDecoder(p.Body).Decode(&v); e != nil {
		return fmt.Errorf("status: %w", e)
	}
	if s.json {
		return json.NewEncoder(s.out).Encode(v)
	}
	_, e = fmt.Fprintf(s.out, "instance     %s\ndata centre  %s\nservice      %s\nready        %t\ncatalogue    version %d\ninstances    version %d\n",
		v.Instance, v.DataCentre, v.Service, v.Ready, v.Versions.Catalogue, v.Versions.InstanceList)
	return e
}
