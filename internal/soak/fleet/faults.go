package fleet

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/soak/judge"
	"github.com/lavenderridge/lavenderridge/internal/soak/plan"
	"github.com/lavenderridge/lavenderridge/internal/standin/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/standin/link"
)

// durationHeader tells a backend server how long a request takes.
const durationHeader = backendserver.DurationHeader

// afterEffect is how long a fault goes on to count after its end: what it broke
// is found in this time.
const afterEffect = time.Second

// disturb plays all steps, and returns when the last has ended.
func (f *Fleet) disturb(c context.Context) error {
	b := time.Now()
	var g errgroup.Group
	for _, s := range f.plan.Steps {
		if e := lavenderridge.Sleep(c, time.Until(b.Add(s.At))); e != nil {
			break
		}
		g.Go(func() error { return f.strike(c, s) })
	}
	return g.Wait()
}

// strike does one step.
func (f *Fleet) strike(c context.Context, s plan.Step) error {
	switch s.Fault {
	case plan.Outage:
		defer f.span("", string(s.Fault))()
		f.source.SetDown(true)
		defer f.source.SetDown(false)
		return lavenderridge.Sleep(c, s.For)
	case plan.Change:
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.catalogue.Entries[0].Timeout += time.Millisecond
		return f.publish()
	case plan.Away:
		return f.takeAway(c, centre(s.Daemon), s.For)
	}
	p := f.processes[s.Daemon]
	switch s.Fault {
	case plan.Stop, plan.Kill, plan.Pause, plan.Reload:
		p.mutex.Lock()
		defer p.mutex.Unlock()
	}
	if s.Fault == plan.Stop {
		return f.restart(p)
	}
	defer f.span(p.instance.ID, string(s.Fault)+" "+string(s.Link))()
	switch s.Fault {
	case plan.Kill:
		if e := p.kill(); e != nil {
			return e
		}
		if e := lavenderridge.Sleep(c, s.For); e != nil {
			return e
		}
		return p.start(f.binary)
	case plan.Pause:
		y := p.young()
		if e := p.signal(syscall.SIGSTOP); e != nil {
			return e
		}
		e := lavenderridge.Sleep(c, s.For)
		if y {
			// A paused process comes no further with its start.
			p.started = time.Now()
		}
		return errors.Join(e, p.signal(syscall.SIGCONT))
	case plan.Reload:
		if p.young() {
			return nil
		}
		return p.signal(syscall.SIGHUP)
	case plan.Crash:
		return p.backend.Restart(s.For)
	}
	return f.strikeLink(c, p.links[s.Link], s)
}

func (f *Fleet) strikeLink(c context.Context, l *link.TCP, s plan.Step) error {
	switch s.Fault {
	case plan.Silence:
		l.Silence()
	case plan.Reset:
		l.Reset()
	case plan.Cut:
		l.Cut(true)
		defer l.Cut(false)
	case plan.OneWay:
		l.CutOneWay(link.FromTarget, true)
		defer l.CutOneWay(link.FromTarget, false)
	case plan.Delay:
		l.Delay(s.For)
		defer l.Delay(0)
	default:
		return fmt.Errorf("fleet: unknown fault %q", s.Fault)
	}
	return lavenderridge.Sleep(c, max(s.For, afterEffect))
}

// restart stops the daemon p as planned and starts it again.
func (f *Fleet) restart(p *process) error {
	b := time.Now()
	if e := p.stop(); e != nil {
		f.ended(e)
	}
	f.mutex.Lock()
	f.evidence.Stops = append(f.evidence.Stops, judge.Span{Instance: p.instance.ID, What: "Stop", From: b, To: time.Now()})
	f.mutex.Unlock()
	return p.start(f.binary)
}

// span notes a disturbance of the daemon n until the returned function is
// called, and a little longer.
func (f *Fleet) span(n lavenderridge.InstanceID, w string) func() {
	b := time.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	// Until the end is known the span lasts on.
	i := len(f.evidence.Disturbances)
	f.evidence.Disturbances = append(f.evidence.Disturbances, judge.Span{Instance: n, What: w, From: b, To: b.Add(time.Hour)})
	return func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.evidence.Disturbances[i].To = time.Now().Add(afterEffect)
	}
}

// takeAway has the data centre d out of service for the time t. One is away at
// a time, so that the others can serve.
func (f *Fleet) takeAway(c context.Context, d lavenderridge.DataCentreID, t time.Duration) error {
	f.mutex.Lock()
	if len(f.away) > 0 {
		f.mutex.Unlock()
		return nil
	}
	b := time.Now()
	f.away[d] = b
	e := f.setCentre(d, lavenderridge.OutOfService)
	f.mutex.Unlock()
	if e != nil {
		return e
	}
	e = lavenderridge.Sleep(c, awayTime+t)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.away, d)
	f.evidence.Away = append(f.evidence.Away, judge.Away{DataCentre: d, From: b, To: time.Now()})
	if x := f.setCentre(d, lavenderridge.InService); x != nil {
		return x
	}
	return e
}

// awayTime lets the bound for a data centre that is out of service pass.
const awayTime = 5 * time.Second

func (f *Fleet) setCentre(d lavenderridge.DataCentreID, s lavenderridge.ServiceState) error {
	for i := range f.catalogue.DataCentres {
		if f.catalogue.DataCentres[i].ID == d {
			f.catalogue.DataCentres[i].State = s
		}
	}
	return f.publish()
}
