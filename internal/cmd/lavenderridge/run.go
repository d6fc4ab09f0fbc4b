package lavenderridge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lavenderridge/lavenderridge"
)

// Exit codes.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// Run runs the command line with the arguments a and returns its exit code.
// Results go to w, errors and usage to x.
func Run(a []string, w, x io.Writer) int {
	c, f := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer f()
	p := kingpin.New("lavenderridge", "Distributes a service mesh's configuration and routes requests by it.")
	p.UsageWriter(x).ErrorWriter(x)
	m := map[string]command{}
	for _, n := range []func(*kingpin.Application, io.Writer) command{newServeCmd, newStatusCmd, newLoadCmd, newTryCmd} {
		v := n(p, w)
		m[v.name()] = v
	}
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

func report(w io.Writer, s string, e error) {
	var f lavenderridge.Findings
	if !errors.As(e, &f) {
		_, _ = fmt.Fprintf(w, "lavenderridge %s: %v\n", s, e)
		return
	}
	for _, v := range f {
		_, _ = fmt.Fprintln(w, v)
	}
}
