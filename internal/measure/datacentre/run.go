package datacentre

import (
	"context"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/load/caller"
	"github.com/lavenderridge/lavenderridge/internal/standin/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/standin/mesh"
)

const (
	movedDataCentre lavenderridge.DataCentreID = "fukuoka"

	settleTime = 30 * time.Second
	warmUp     = 5 * time.Second
	// lateAfter is the time after which a data centre that was taken out of service
	// must not receive new requests.
	lateAfter      = 5 * time.Second
	requestTimeout = 2 * time.Second
	restartTime    = 50 * time.Millisecond
	slots          = 10
	concurrency    = 256
)

// Run carries out the measurement p with the balanced router, or with the plain
// router if o is set.
func Run(c context.Context, p Plan, o bool) (*Report, error) {
	m, e := mesh.NewMesh(
		c,
		mesh.WithReplicas(p.Replicas),
		mesh.WithDataCentres(movedDataCentre, "kumamoto", "saga"),
		mesh.WithConfig(func(f *assembly.Config) { f.PlainRouting = o }),
		mesh.WithBackend(p.newBackend),
	)
	if e != nil {
		return nil, e
	}
	defer func() { _ = m.Close() }()
	d, f := context.WithTimeout(c, settleTime)
	defer f()
	if e := m.WaitReady(d); e != nil {
		return nil, e
	}
	r := &Report{Routing: "balanced"}
	if o {
		r.Routing = "plain"
	}
	return r, r.measure(c, p, m)
}

// measure sends the load for three steps after a warm-up, and takes the data centre
// out of service and back meanwhile.
func (r *Report) measure(c context.Context, p Plan, m *mesh.Mesh) error {
	l := caller.Plan{
		Mix:  []caller.Share{{Path: "/roster/read", Weight: 3}, {Path: "/roster/write", Weight: 1, Keyed: true}},
		Rate: p.Rate, Concurrency: concurrency, Duration: warmUp, Timeout: requestTimeout, Seed: 1,
	}
	for _, n := range m.Members {
		l.Targets = append(l.Targets, n.CallerAddress())
	}
	w, e := caller.NewGenerator(c, l)
	if e != nil {
		return e
	}
	w.Run(c)
	l.Duration = 3 * p.Step
	g, e := caller.NewGenerator(c, l)
	if e != nil {
		return e
	}
	f := make(chan error, 1)
	go func() { f <- r.moveDataCentre(c, p, m) }()
	r.Load = g.Run(c)
	return <-f
}

// moveDataCentre takes the data centre out of service after one step and returns it
// after another. Its backend servers are restarted before the return, so that they
// are cold.
func (r *Report) moveDataCentre(c context.Context, p Plan, m *mesh.Mesh) error {
	if lavenderridge.Sleep(c, p.Step) != nil {
		return c.Err()
	}
	t := time.Now()
	if e := m.SetDataCentre(movedDataCentre, lavenderridge.OutOfService); e != nil {
		return e
	}
	if lavenderridge.Sleep(c, p.Step) != nil {
		return c.Err()
	}
	for _, n := range m.Members {
		if n.Instance.DataCentre != movedDataCentre {
			continue
		}
		r.Late += begunAfter(n.Backend, t.Add(lateAfter))
		if e := n.Backend.Restart(restartTime); e != nil {
			return e
		}
	}
	return m.SetDataCentre(movedDataCentre, lavenderridge.InService)
}

// newBackend returns the stand-in backend server of the instance n. In the data
// centre that is taken out of service it is cold after each start.
func (p *Plan) newBackend(n lavenderridge.Instance) *backendserver.Server {
	if n.DataCentre != movedDataCentre {
		return backendserver.NewServer(n.ID, slots, p.ServiceTime)
	}
	return backendserver.NewServer(n.ID, slots, p.ServiceTime, backendserver.WithColdStart(p.ColdSlots, p.ColdTime, backendserver.FailureErrors))
}

// begunAfter counts the requests that the backend server b began after t.
func begunAfter(b *backendserver.Server, t time.Time) int {
	n := 0
	for _, r := range b.RunLog() {
		if r.Begun.After(t) {
			n++
		}
	}
	return n
}
