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
	limit  = 5 * time.Minute
	settle = 2 * time.Second
	moved  = lavenderridge.DataCentreID("fukuoka")
)

// Run measures the plan p on a fleet within this process.
func Run(c context.Context, p Plan) (r *Report, e error) {
	c, f := context.WithTimeout(c, limit)
	defer f()
	b := time.Now()
	m, e := mesh.NewMesh(c, mesh.WithReplicas(p.Instances/2))
	if e != nil {
		return nil, e
	}
	defer func() { e = errors.Join(e, m.Close()) }()
	r = &Report{}
	if e := wait(c, m); e != nil {
		return nil, e
	}
	r.Start = time.Since(b)
	for _, s := range []func(context.Context, *mesh.Mesh, Plan, *Report) error{rest, foreign, move, silent} {
		if e := s(c, m, p, r); e != nil {
			return nil, e
		}
	}
	return r, nil
}

// wait returns when every running daemon is active under the latest versions.
func wait(c context.Context, m *mesh.Mesh) error {
	return m.Wait(c, func(d *assembly.Daemon) bool {
		s := d.Status()
		return s.Home.Active && s.Home.Versions.Catalogue == m.Version
	})
}

// usage returns the requests and bytes of the mean daemon so far.
func usage(m *mesh.Mesh) (n, b float64) {
	for _, v := range m.Members {
		x, y := v.Daemon.PeerTraffic().Activations()
		n, b = n+float64(x), b+float64(y)
	}
	l := float64(len(m.Members))
	return n / l, b / l
}

func rest(c context.Context, m *mesh.Mesh, p Plan, r *Report) error {
	if e := lavenderridge.Sleep(c, settle); e != nil {
		return e
	}
	n, b := usage(m)
	if e := lavenderridge.Sleep(c, p.Rest); e != nil {
		return e
	}
	x, y := usage(m)
	r.RestRequests, r.RestBytes = (x-n)/p.Rest.Seconds(), (y-b)/p.Rest.Seconds()
	return nil
}

func foreign(c context.Context, m *mesh.Mesh, _ Plan, r *Report) error {
	n, _ := usage(m)
	b := time.Now()
	m.Catalogue.Entries[0].Timeout += time.Millisecond
	if e := m.Publish(); e != nil {
		return e
	}
	if e := wait(c, m); e != nil {
		return e
	}
	if e := lavenderridge.Sleep(c, settle); e != nil {
		return e
	}
	x, _ := usage(m)
	r.ForeignRequests = x - n - r.RestRequests*time.Since(b).Seconds()
	return nil
}

func move(c context.Context, m *mesh.Mesh, _ Plan, r *Report) error {
	n, y := usage(m)
	b := time.Now()
	if e := m.SetDataCentre(moved, lavenderridge.OutOfService); e != nil {
		return e
	}
	if e := wait(c, m); e != nil {
		return e
	}
	r.Move = time.Since(b)
	x, z := usage(m)
	r.MoveRequests, r.MoveBytes = x-n, z-y
	return nil
}

// silent stops a daemon that the list goes on to name, and brings the data
// centre back.
func silent(c context.Context, m *mesh.Mesh, p Plan, r *Report) error {
	l := len(m.Members) - 1
	if e := m.Members[l].Stop(); e != nil {
		return e
	}
	b := time.Now()
	if e := m.SetDataCentre(moved, lavenderridge.InService); e != nil {
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
	if e := wait(c, m); e != nil {
		return e
	}
	r.Silent, r.Dropped = time.Since(b), time.Since(d)
	return nil
}
