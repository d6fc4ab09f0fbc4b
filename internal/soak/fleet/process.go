package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/soak/plan"
	"github.com/lavenderridge/lavenderridge/internal/standin/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/standin/link"
	"github.com/lavenderridge/lavenderridge/internal/standin/port"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// signalSetupTime is the time after its start within which a process may not have
// installed its signal handlers yet. A SIGTERM in this time may kill it, which is
// no failure, and SIGHUP is not sent.
const signalSetupTime = 500 * time.Millisecond

// exitTimeout is the time within which a process must exit after SIGTERM: the
// StopTimeout for requests of callers, again the StopTimeout for runs with a key,
// 2 s for the hand-over of its ledger, and 3 s for its last replies to other
// daemons.
const exitTimeout = 2*stopTimeout + 5*time.Second

// process is one daemon process with its backend server and its network links.
type process struct {
	instance lavenderridge.Instance
	backend  *backendserver.Server
	links    map[plan.Link]*link.TCP
	settings string
	log      string
	caller   lavenderridge.Address
	operator lavenderridge.Address

	// mutex is held while the process is signalled, stopped or started, so that
	// only one such fault is injected at a time.
	mutex   sync.Mutex
	command *exec.Cmd
	// done is closed once the process has exited and exitError is set.
	done      chan struct{}
	exitError error
	started   time.Time
}

// start starts the daemon with the program b and appends its output to p.log.
func (p *process) start(b string) error {
	f, e := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, filePermission)
	if e != nil {
		return fmt.Errorf("fleet: %w", e)
	}
	k := exec.Command(b, "serve", p.settings)
	k.Stdout, k.Stderr = f, f
	if e := k.Start(); e != nil {
		return errors.Join(fmt.Errorf("fleet: %w", e), f.Close())
	}
	p.command, p.done, p.started = k, make(chan struct{}), time.Now()
	go func() {
		defer close(p.done)
		p.exitError = errors.Join(k.Wait(), f.Close())
	}()
	return nil
}

// startingUp reports whether the process may not have installed its signal
// handlers yet.
func (p *process) startingUp() bool {
	return time.Since(p.started) < signalSetupTime
}

// signal sends s to the process; a process that has exited already is no error.
func (p *process) signal(s syscall.Signal) error {
	if e := p.command.Process.Signal(s); e != nil && !errors.Is(e, os.ErrProcessDone) {
		return fmt.Errorf("fleet: %s: %w", p.instance.ID, e)
	}
	return nil
}

// stop ends the process with SIGTERM and returns an error if it fails or does not
// exit within exitTimeout. In that case it sends SIGQUIT, which writes the stacks
// of the goroutines to the log.
func (p *process) stop() error {
	y := p.startingUp()
	if e := p.signal(syscall.SIGTERM); e != nil {
		return e
	}
	t := time.NewTimer(exitTimeout)
	defer t.Stop()
	select {
	case <-p.done:
		if p.exitError == nil || y {
			return nil
		}
		return fmt.Errorf("%s: %w", p.instance.ID, p.exitError)
	case <-t.C:
		return errors.Join(fmt.Errorf("%s: still running %s after SIGTERM", p.instance.ID, exitTimeout), p.signalAndWait(syscall.SIGQUIT))
	}
}

// kill ends the process with SIGKILL.
func (p *process) kill() error {
	return p.signalAndWait(syscall.SIGKILL)
}

// signalAndWait sends s to the process and waits until it has exited.
func (p *process) signalAndWait(s syscall.Signal) error {
	e := p.signal(s)
	<-p.done
	return e
}

// newProcess prepares the daemon of the instance n, with its files in the folder d,
// a certificate of the authority a, free addresses from m, and the configuration
// service at s. It starts the backend server and the links, but not the daemon.
func newProcess(c context.Context, d string, n lavenderridge.Instance, a *peertls.Authority, m *port.Picker, s lavenderridge.Address) (*process, error) {
	p := &process{instance: n, links: map[plan.Link]*link.TCP{}, log: filepath.Join(d, string(n.ID)+".log")}
	p.backend = backendserver.NewServer(n.ID, slots, serviceTime)
	if e := p.backend.Start(); e != nil {
		return nil, e
	}
	var l [3]lavenderridge.Address
	for i := range l {
		var e error
		if l[i], e = m.Free(); e != nil {
			return nil, e
		}
	}
	p.caller, p.operator = l[0], l[1]
	for k, v := range map[plan.Link]lavenderridge.Address{plan.PeerLink: l[2], plan.BackendLink: p.backend.Address(), plan.SourceLink: s} {
		t, e := link.NewTCP(c, v)
		if e != nil {
			return nil, e
		}
		p.links[k] = t
	}
	p.instance.Peer = p.links[plan.PeerLink].Address()
	return p, p.writeFiles(d, l[2], a)
}

// writeFiles writes the keys and the settings of the daemon, which listens for
// other daemons at the address l.
func (p *process) writeFiles(d string, l lavenderridge.Address, a *peertls.Authority) error {
	c, e := a.Issue(peertls.Identity{Instance: p.instance.ID, DataCentre: p.instance.DataCentre}, time.Now(), keyLifetime)
	if e != nil {
		return e
	}
	k, e := peertls.EncodeKey(c)
	if e != nil {
		return e
	}
	n := func(x string) string { return filepath.Join(d, string(p.instance.ID)+x) }
	p.settings = n(".toml")
	t := fmt.Appendf(nil, settingsFormat, p.instance.ID, p.instance.DataCentre, p.instance.Service,
		p.links[plan.SourceLink].Address(), p.links[plan.BackendLink].Address(), p.caller, l, p.operator,
		stopTimeout, n("-ca.pem"), n("-cert.pem"), n("-key.pem"))
	for f, b := range map[string][]byte{
		n("-ca.pem"): peertls.EncodeCertificate(a.Certificate().Raw), n("-cert.pem"): peertls.EncodeCertificate(c.Certificate[0]),
		n("-key.pem"): k, p.settings: t,
	} {
		if e := os.WriteFile(f, b, filePermission); e != nil {
			return fmt.Errorf("fleet: %w", e)
		}
	}
	return nil
}
