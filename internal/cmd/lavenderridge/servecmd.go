package lavenderridge

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	kratoslog "github.com/go-kratos/kratos/v2/log"
	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/cmd/settings"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/daemon/operator"
	"github.com/lavenderridge/lavenderridge/platform"
)

const (
	// memoryLimitTenths is the part of the daemon's memory, in tenths, from which the
	// garbage collector works harder. The rest is for what the runtime doesn't count.
	memoryLimitTenths = 9
	// uncountedMemory is what the runtime doesn't count at least, the program's own pages
	// above all.
	uncountedMemory = 24 * lavenderridge.Mebibyte
)

// serveCmd runs the daemon until it receives SIGTERM or SIGINT.
type serveCmd struct {
	clause       *kingpin.CmdClause
	settingsFile string
}

var _ command = (*serveCmd)(nil)

func newServeCmd(a *kingpin.Application, _ io.Writer) command {
	s := &serveCmd{clause: a.Command("serve", "Run the daemon beside a backend server.")}
	s.clause.Arg("settings", "Settings file (TOML).").Required().StringVar(&s.settingsFile)
	return s
}

func (s *serveCmd) name() string {
	return s.clause.FullCommand()
}

func (s *serveCmd) run(c context.Context) error {
	h := make(chan os.Signal, 1)
	signal.Notify(h, syscall.SIGHUP)
	defer signal.Stop(h)
	v, f := settings.Load(s.settingsFile)
	if v != nil {
		f = append(f, v.CheckPorts()...)
	}
	if len(f) > 0 {
		return f
	}
	w := operator.NewBoundedWriter(os.Stdout)
	x, n := context.WithCancel(context.WithoutCancel(c))
	var g sync.WaitGroup
	g.Go(func() { w.Run(x) })
	defer g.Wait()
	defer n()
	if v.Daemon.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimit(v.Daemon.Memory)))
	}
	l := v.Log.Logger(w)
	kratoslog.SetLogger(kratosLogger{log: l})
	if !v.OperatorIsLoopback() {
		l.Warn("OperatorAddressRemote", zap.String("Address", string(v.Daemon.Operator)))
	}
	k, e := v.LoadKeys()
	if e != nil {
		return e
	}
	o := []assembly.Option{assembly.WithLogger(l)}
	if v.UsesPlatform() {
		o = append(o, assembly.WithAdapter(platform.Adapter{}))
	}
	d, e := assembly.NewDaemon(c, v.Daemon, k, o...)
	if e != nil {
		return e
	}
	g.Go(func() {
		settings.NewWatcher(s.settingsFile, v, l, func(v *settings.Settings) bool { return d.Apply(v.Daemon) }).Run(x, h)
	})
	return d.Run(c)
}

// memoryLimit returns the part of the memory m from which the garbage collector works
// harder.
func memoryLimit(m lavenderridge.ByteCount) lavenderridge.ByteCount {
	return max(min(m/10*memoryLimitTenths, m-uncountedMemory), m/2)
}
