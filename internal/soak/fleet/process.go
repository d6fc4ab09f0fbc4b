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

// startTime is how long after its start a process may end by SIGTERM without a
// planned stop: it has not come to handle signals.
const startTime = 500 * time.Millisecond

// stopBound is how long a process may take to stop: the StopTimeout for callers
// and again for keyed runs, 2 s to hand its ledger over, and 3 s for its last
// replies to other daemons.
const stopBound = 2*stopTimeout + 5*time.Second

// process is one daemon with its backend server and its links.
type process struct {
	instance lavenderridge.Instance
	backend  *backendserver.Server
	links    map[plan.Link]*link.TCP
	settings string
	log      string
	caller   lavenderridge.Address
	operator lavenderridge.Address

	// mutex is held while the process is signalled, stopped or started, so that
	// one such fault at a time befalls it.
	mutex   sync.Mutex
	command *exec.Cmd
	// done is closed once the process has ended, as exit tells.
	done    chan struct{}
	exit    error
	started time.Time
}

// start runs the daemon by the program b.
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
		p.exit = errors.Join(k.Wait(), f.Close())
	}()
	return nil
}

// young reports whether the process may not handle signals yet.
func (p *process) young() bool {
	return time.Since(p.started) < startTime
}

// signal sends s to the process.
func (p *process) signal(s syscall.Signal) error {
	if e := p.command.Process.Signal(s); e != nil && !errors.Is(e, os.ErrProcessDone) {
		return fmt.Errorf("fleet: %s: %w", p.instance.ID, e)
	}
	return nil
}

// stop ends the process by SIGTERM, or with an error when that takes too long:
// by SIGQUIT then, which leaves the stacks of its goroutines in its log.
func (p *process) stop() error {
	y := p.young()
	if e := p.signal(syscall.SIGTERM); e != nil {
		return e
	}
	t := time.NewTimer(stopBound)
	defer t.Stop()
	select {
	case <-p.done:
		if p.exit == nil || y {
			return nil
		}
		return fmt.Errorf("%s: %w", p.instance.ID, p.exit)
	case <-t.C:
		return errors.Join(fmt.Errorf("%s: still there %s after SIGTERM", p.instance.ID, stopBound), p.end(syscall.SIGQUIT))
	}
}

// kill ends the process by SIGKILL.
func (p *process) kill() error {
	return p.end(syscall.SIGKILL)
}

// end sends s to the process and waits for its end.
func (p *process) end(s syscall.Signal) error {
	e := p.signal(s)
	<-p.done
	return e
}

// newProcess prepares a daemon of the instance n, with its files in the folder d
// and addresses from m.
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
	return p, p.write(d, l[2], a)
}

// write makes the files of the daemon, which listens for others at the address l.
func (p *process) write(d string, l lavenderridge.Address, a *peertls.Authority) error {
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
	t := fmt.Appendf(nil, settings, p.instance.ID, p.instance.DataCentre, p.instance.Service,
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
