package lavenderridge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
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

// errReported makes Run return exitError without printing an error, because the
// output of the command already contains its findings.
var errReported = errors.New("findings")

// Run runs the command line with the arguments a and returns its exit code.
// It writes results to w, and errors and usage to x.
func Run(a []string, w, x io.Writer) int {
	// SIGHUP requests a reload of the settings. Before serve has read them there
	// is nothing to reload, and the default action would end the process.
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
		printError(x, s, e)
		return exitError
	}
	return exitOK
}

// commands adds all commands to the application p and returns them by full
// name. They write their results to w.
func commands(p *kingpin.Application, w io.Writer) map[string]command {
	k := p.Command("keys", "Manage the keys and certificates that daemons use to authenticate each other.")
	n := p.Command("measure", "Measure the system on this machine.")
	a := []command{
		newServeCmd(p, w), newCheckCmd(p, w), newStatusCmd(p, w), newExplainCmd(p, w), newBurnCmd(p, w),
		newLoadCmd(p, w), newTryCmd(p, w), newSoakCmd(p, w), newStandinCmd(p, w), newVersionCmd(p, w), newHashKeyCmd(p, os.Stdin, w),
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

// printError writes the error e of the command s to w. Findings are written one
// a line, and errReported is not written.
func printError(w io.Writer, s string, e error) {
	var f lavenderridge.Findings
	if errors.Is(e, errReported) {
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
