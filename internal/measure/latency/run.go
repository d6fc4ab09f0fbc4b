package latency

import (
	"context"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/standin/mesh"
)

const (
	near lavenderridge.DataCentreID = "fukuoka"
	far  lavenderridge.DataCentreID = "kumamoto"

	settleTime = 10 * time.Second
	warmUpTime = 2 * time.Second
)

// Run measures each way once in every round, in one mesh of two daemons. The rounds
// spread a temporary load on the machine over all ways.
func Run(c context.Context, p Plan) (*Report, error) {
	m, e := mesh.NewMesh(c, mesh.WithReplicas(1), mesh.WithDataCentres(near, far), mesh.WithServiceTime(p.ServiceTime))
	if e != nil {
		return nil, e
	}
	defer func() { _ = m.Close() }()
	n := m.Members[0]
	a := []*sampler{newSampler(Direct, p, n.Backend.Address()), newSampler(OneHop, p, n.CallerAddress()), newSampler(TwoHops, p, n.CallerAddress())}
	if e := warm(c, m, p, a); e != nil {
		return nil, e
	}
	for range p.Rounds {
		for _, s := range a {
			if e := setRoute(c, m, s.way); e != nil {
				return nil, e
			}
			s.run(c)
		}
	}
	var r Report
	for _, s := range a {
		r.Results = append(r.Results, s.result())
	}
	return &r, c.Err()
}

// warm sends calls that are not measured on each way, until connections, slow start
// and the Go runtime have reached a steady state.
func warm(c context.Context, m *mesh.Mesh, p Plan, a []*sampler) error {
	p.Duration = warmUpTime
	for _, s := range a {
		if e := setRoute(c, m, s.way); e != nil {
			return e
		}
		newSampler(s.way, p, s.address).run(c)
	}
	return nil
}

// setRoute makes the daemons route calls on the way w. For TwoHops it takes the near
// data centre out of service, so that its daemon forwards calls to the other daemon;
// otherwise the near data centre is in service.
func setRoute(c context.Context, m *mesh.Mesh, w Way) error {
	s := lavenderridge.InService
	if w == TwoHops {
		s = lavenderridge.OutOfService
	}
	if e := m.SetDataCentre(near, s); e != nil {
		return e
	}
	c, f := context.WithTimeout(c, settleTime)
	defer f()
	return m.Wait(c, func(d *assembly.Daemon) bool {
		v := d.Status()
		return v.Ready && v.Versions.Catalogue == m.Version
	})
}
