package activation

import (
	"context"
	"errors"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/standin/mesh"
)

const (
	// timeout bounds the whole measurement, and settleTime is the wait for messages
	// that follow a change.
	timeout         = 5 * time.Minute
	settleTime      = 2 * time.Second
	movedDataCentre = lavenderridge.DataCentreID("fukuoka")
)

// Run carries out the measurement p with a fleet within this process.
func Run(c context.Context, p Plan) (r *Report, e error) {
	c, f := context.WithTimeout(c, timeout)
	defer f()
	b := time.Now()
	m, e := mesh.NewMesh(c, mesh.WithReplicas(p.Instances/2))
	if e != nil {
		return nil, e
	}
	defer func() { e = errors.Join(e, m.Close()) }()
	r = &Report{}
	if e := waitActive(c, m); e != nil {
		return nil, e
	}
	r.Start = time.Since(b)
	for _, s := range []func(context.Context, *mesh.Mesh, Plan, *Report) error{measureRest, measureUnrelatedChange, measureMove, measureUnresponsive} {
		if e := s(c, m, p, r); e != nil {
			return nil, e
		}
	}
	return r, nil
}

// waitActive waits until the home of every running daemon is active under the
// latest catalogue version.
func waitActive(c context.Context, m *mesh.Mesh) error {
	return m.Wait(c, func(d *assembly.Daemon) bool {
		s := d.Status()
		return s.Home.Active && s.Home.Versions.Catalogue == m.Version
	})
}

// meanUsage returns the number of activation requests and their bytes so far,
// averaged over the daemons.
func meanUsage(m *mesh.Mesh) (n, b float64) {
	for _, v := range m.Members {
		x, y := v.Daemon.PeerTraffic().Activations()
		n, b = n+float64(x), b+float64(y)
	}
	l := float64(len(m.Members))
	return n / l, b / l
}

// measureRest measures the traffic while no document changes.
func measureRest(c context.Context, m *mesh.Mesh, p Plan, r *Report) error {
	if e := lavenderridge.Sleep(c, settleTime); e != nil {
		return e
	}
	n, b := meanUsage(m)
	if e := lavenderridge.Sleep(c, p.Rest); e != nil {
		return e
	}
	x, y := meanUsage(m)
	r.RestRequests, r.RestBytes = (x-n)/p.Rest.Seconds(), (y-b)/p.Rest.Seconds()
	return nil
}

// measureUnrelatedChange measures the requests after a change of an entry's
// timeout, which does not affect the homes.
func measureUnrelatedChange(c context.Context, m *mesh.Mesh, _ Plan, r *Report) error {
	n, _ := meanUsage(m)
	b := time.Now()
	m.Catalogue.Entries[0].Timeout += time.Millisecond
	if e := m.Publish(); e != nil {
		return e
	}
	if e := waitActive(c, m); e != nil {
		return e
	}
	if e := lavenderridge.Sleep(c, settleTime); e != nil {
		return e
	}
	x, _ := meanUsage(m)
	r.ForeignRequests = x - n - r.RestRequests*time.Since(b).Seconds()
	return nil
}

// measureMove takes a data centre out of service and measures the activation of
// the homes that take over its keys.
func measureMove(c context.Context, m *mesh.Mesh, _ Plan, r *Report) error {
	n, y := meanUsage(m)
	b := time.Now()
	if e := m.SetDataCentre(movedDataCentre, lavenderridge.OutOfService); e != nil {
		return e
	}
	if e := waitActive(c, m); e != nil {
		return e
	}
	r.Move = time.Since(b)
	x, z := meanUsage(m)
	r.MoveRequests, r.MoveBytes = x-n, z-y
	return nil
}

// measureUnresponsive stops a daemon that stays in the instance list, returns the
// data centre to service, and removes the daemon from the list after the time
// Plan.Silence. Moved keys are refused until their homes are active.
func measureUnresponsive(c context.Context, m *mesh.Mesh, p Plan, r *Report) error {
	l := len(m.Members) - 1
	if e := m.Members[l].Stop(); e != nil {
		return e
	}
	b := time.Now()
	if e := m.SetDataCentre(movedDataCentre, lavenderridge.InService); e != nil {
		return e
	}
	if e := lavenderridge.Sleep(c, p.Silence); e != nil {
		return e
	}
	d := time.Now()
	v := m.Members[l]
	m.Members = m.Members[:l]
	defer func() { m.Members = append(m.Members, v) }()
	if e := m.PublishInstances(); e != nil {
		return e
	}
	if e := waitActive(c, m); e != nil {
		return e
	}
	r.Silent, r.Dropped = time.Since(b), time.Since(d)
	return nil
}
