package lavenderridge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	kratoslog "github.com/go-kratos/kratos/v2/log"
	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge"
)

// Exit codes.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// errSilent ends a command with exitError when its output has told why.
var errSilent = errors.New("findings")

// Run runs the command line with the arguments a and returns its exit code.
// Results go to w, errors and usage to x.
func Run(a []string, w, x io.Writer) int {
	// A reload that is asked for before the settings are read needs nothing done.
	signal.Ignore(syscall.SIGHUP)
	c, f := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer f()
	p := kingpin.New("lavenderridge", "Distributes a service mesh's configuration and routes requests by it.")
	p.UsageWriter(x).ErrorWriter(x)
	m := commands(p, w)
	kratoslog.SetLogger(kratosLogger{log: zap.NewNop()})
	s, e := p.Parse(a)
	if e != nil {
		_, _ = fmt.Fprintf(x, "lavenderridge: %v\n", e)
		return exitUsage
	}
	if e := m[s].run(c); e != nil {
		report(x, s, e)
		return exitError
	}
	return exitOK
}

// commands adds every command to the application p and returns them by name.
func commands(p *kingpin.Application, w io.Writer) map[string]command {
	k := p.Command("keys", "Make the keys with which daemons trust each other.")
	n := p.Command("measure", "Measure the system on this machine.")
	a := []command{
		newServeCmd(p, w), newCheckCmd(p, w), newStatusCmd(p, w), newExplainCmd(p, w), newBurnCmd(p, w),
		newLoadCmd(p, w), newTryCmd(p, w), newSoakCmd(p, w), newStandinCmd(p, w), newVersionCmd(p, w),
		newKeysAuthorityCmd(k, w), newKeysIssueCmd(k, w), newKeysRenewCmd(k, w), newKeysShowCmd(k, w),
		newMeasureConvergenceCmd(n, w), newMeasureActivationCmd(n, w), newMeasureDataCentreCmd(n, w),
		newMeasureLatencyCmd(n, w), newMeasureGoodputCmd(n, w), newMeasureRestartCmd(n, w),
	}
	m := make(map[string]command, len(a))
	for _, v := range a {
		m[v.name()] = v
	}
	return m
}

func report(w io.Writer, s string, e error) {
	var f lavenderridge.Findings
	if errors.Is(e, errSilent) {
		return
	}
	if !errors.As(e, &f) {
		_, _ = fmt.Fprintf(w, "lavenderridge %s: %v\n", s, e)
		return
	}
	for _, v := range f {
		_, _ = fmt.Fprintln(w, v)
	}
}
