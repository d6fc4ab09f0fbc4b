package fleet

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/soak/judge"
	"github.com/lavenderridge/lavenderridge/internal/soak/plan"
	"github.com/lavenderridge/lavenderridge/internal/standin/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/standin/link"
)

// durationHeader is the request header that sets how long a backend server works
// on the request.
const durationHeader = backendserver.DurationHeader

// faultGrace extends the recorded period of a fault beyond its end: connections
// that it broke are detected within this time.
const faultGrace = time.Second

// injectFaults injects the faults of all steps at their times and returns when the
// last one has ended.
func (f *Fleet) injectFaults(c context.Context) error {
	b := time.Now()
	var g errgroup.Group
	for _, l := range f.plan.Limits {
		g.Go(func() error {
			if e := lavenderridge.Sleep(c, time.Until(b.Add(l.At))); e != nil {
				return nil
			}
			return f.nameLimit(c, l)
		})
	}
	for _, r := range f.plan.Revocations {
		g.Go(func() error {
			if e := lavenderridge.Sleep(c, time.Until(b.Add(r.At))); e != nil {
				return nil
			}
			return f.revoke(r)
		})
	}
	for _, s := range f.plan.Steps {
		if e := lavenderridge.Sleep(c, time.Until(b.Add(s.At))); e != nil {
			break
		}
		g.Go(func() error { return f.inject(c, s) })
	}
	return g.Wait()
}

// nameLimit makes a backend server name the limit l for its duration.
func (f *Fleet) nameLimit(c context.Context, l plan.Limit) error {
	p := f.processes[l.Daemon]
	b := time.Now()
	p.backend.Announce(false, strconv.FormatFloat(float64(l.Rate), 'g', -1, 64))
	e := lavenderridge.Sleep(c, l.Duration)
	f.mutex.Lock()
	f.history.LimitPeriods = append(f.history.LimitPeriods, judge.LimitPeriod{Instance: p.instance.ID, From: b, To: time.Now(), Rate: l.Rate})
	f.mutex.Unlock()
	p.backend.Announce(false)
	return e
}

// inject injects the fault of the step s and returns when it has ended.
func (f *Fleet) inject(c context.Context, s plan.Step) error {
	switch s.Fault {
	case plan.Outage:
		defer f.recordDisturbance("", string(s.Fault))()
		f.source.SetDown(true)
		defer f.source.SetDown(false)
		return lavenderridge.Sleep(c, s.Duration)
	case plan.Change:
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.catalogue.Entries[0].Timeout += time.Millisecond
		return f.publish()
	case plan.Away:
		return f.takeOutOfService(c, dataCentreID(s.Daemon), s.Duration)
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
	defer f.recordDisturbance(p.instance.ID, string(s.Fault)+" "+string(s.Link))()
	switch s.Fault {
	case plan.Kill:
		if e := p.kill(); e != nil {
			return e
		}
		if e := lavenderridge.Sleep(c, s.Duration); e != nil {
			return e
		}
		return p.start(f.binary)
	case plan.Pause:
		y := p.startingUp()
		if e := p.signal(syscall.SIGSTOP); e != nil {
			return e
		}
		e := lavenderridge.Sleep(c, s.Duration)
		if y {
			// A paused process makes no progress in its startup.
			p.started = time.Now()
		}
		return errors.Join(e, p.signal(syscall.SIGCONT))
	case plan.Reload:
		if p.startingUp() {
			return nil
		}
		return p.signal(syscall.SIGHUP)
	case plan.Crash:
		return p.backend.Restart(s.Duration)
	}
	return f.injectLinkFault(c, p.links[s.Link], s)
}

// injectLinkFault injects the fault of the step s on the link l.
func (f *Fleet) injectLinkFault(c context.Context, l *link.TCP, s plan.Step) error {
	switch s.Fault {
	case plan.Silence:
		l.MakeHalfOpen()
	case plan.Reset:
		l.Reset()
	case plan.Cut:
		l.Cut(true)
		defer l.Cut(false)
	case plan.OneWay:
		l.CutOneWay(link.FromTarget, true)
		defer l.CutOneWay(link.FromTarget, false)
	case plan.Delay:
		l.Delay(s.Duration)
		defer l.Delay(0)
	default:
		return fmt.Errorf("fleet: unknown fault %q", s.Fault)
	}
	return lavenderridge.Sleep(c, max(s.Duration, faultGrace))
}

// restart performs a planned shutdown of the daemon p and starts it again.
func (f *Fleet) restart(p *process) error {
	b := time.Now()
	if e := p.stop(); e != nil {
		f.recordExitError(e)
	}
	f.mutex.Lock()
	f.history.Stops = append(f.history.Stops, judge.Span{Instance: p.instance.ID, Kind: "Stop", From: b, To: time.Now()})
	f.mutex.Unlock()
	return p.start(f.binary)
}

// recordDisturbance records that a fault of the kind w affects the daemon n, or all
// daemons if n is empty. The period lasts until faultGrace after the call of the
// returned function.
func (f *Fleet) recordDisturbance(n lavenderridge.InstanceID, w string) func() {
	b := time.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	// The end is not known yet; an hour is longer than any fault.
	i := len(f.history.Disturbances)
	f.history.Disturbances = append(f.history.Disturbances, judge.Span{Instance: n, Kind: w, From: b, To: b.Add(time.Hour)})
	return func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.history.Disturbances[i].To = time.Now().Add(faultGrace)
	}
}

// takeOutOfService publishes the data centre d as out of service for drainBound
// and the time t. It does nothing if a data centre is out of service already, so
// that the others can serve the requests.
func (f *Fleet) takeOutOfService(c context.Context, d lavenderridge.DataCentreID, t time.Duration) error {
	f.mutex.Lock()
	if len(f.outOfService) > 0 {
		f.mutex.Unlock()
		return nil
	}
	b := time.Now()
	f.outOfService[d] = b
	e := f.setDataCentreState(d, lavenderridge.OutOfService)
	f.mutex.Unlock()
	if e != nil {
		return e
	}
	e = lavenderridge.Sleep(c, drainBound+t)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.outOfService, d)
	f.history.OutOfServicePeriods = append(f.history.OutOfServicePeriods, judge.OutOfServicePeriod{DataCentre: d, From: b, To: time.Now()})
	if x := f.setDataCentreState(d, lavenderridge.InService); x != nil {
		return x
	}
	return e
}

// drainBound is the time after which a data centre that was taken out of service
// must receive no new requests. It stays out of service for longer, so that this is
// checked.
const drainBound = 5 * time.Second

// setDataCentreState publishes the state s of the data centre d; f.mutex is held.
func (f *Fleet) setDataCentreState(d lavenderridge.DataCentreID, s lavenderridge.ServiceState) error {
	for i := range f.catalogue.DataCentres {
		if f.catalogue.DataCentres[i].ID == d {
			f.catalogue.DataCentres[i].State = s
		}
	}
	return f.publish()
}
