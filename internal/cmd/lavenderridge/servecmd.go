package lavenderridge

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge/internal/cmd/settings"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
)

// serveCmd runs the daemon.
type serveCmd struct {
	clause *kingpin.CmdClause
	file   string
}

var _ command = (*serveCmd)(nil)

func newServeCmd(a *kingpin.Application, _ io.Writer) command {
	s := &serveCmd{clause: a.Command("serve", "Run the daemon beside a backend server.")}
	s.clause.Arg("settings", "Settings file (TOML).").Required().ExistingFileVar(&s.file)
	return s
}

func (s *serveCmd) name() string {
	return s.clause.FullCommand()
}

func (s *serveCmd) run(c context.Context) error {
	v, e := settings.Load(s.file)
	if e != nil {
		return e
	}
	l, e := zap.NewProduction()
	if e != nil {
		return fmt.Errorf("serve: %w", e)
	}
	defer func() { _ = l.Sync() }()
	k, e := v.Keys()
	if e != nil {
		return e
	}
	d, e := assembly.NewDaemon(c, v.Config(), k, assembly.WithLogger(l))
	if e != nil {
		return e
	}
	return d.Run(c)
}
