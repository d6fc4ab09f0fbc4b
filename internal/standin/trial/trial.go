package trial

import (
	"context"
	"fmt"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/load/caller"
	"github.com/lavenderridge/lavenderridge/internal/standin/mesh"
)

// The times that the system guarantees to its users.
const (
	convergenceBound = 6 * time.Second
	drainBound       = 5 * time.Second
)

// The parameters of the trial.
const (
	startTimeout     = 10 * time.Second
	warmUp           = time.Second
	operationPause   = 500 * time.Millisecond
	outOfServiceTime = 3 * time.Second
	loadTime         = 9 * time.Second
	loadRate         = 200
	concurrency      = 64
	callTimeout      = 2 * time.Second
	resendShare      = 0.3
)

const leavingDataCentre lavenderridge.DataCentreID = "fukuoka"

// A Trial is a mesh of two data centres and two services, which runs under load
// while the catalogue changes and a data centre is taken out of service.
type Trial struct {
	mesh   *mesh.Mesh
	result Result
}

// NewTrial starts the daemons of a trial.
func NewTrial(c context.Context) (*Trial, error) {
	m, e := mesh.NewMesh(c, mesh.WithServices("roster", "billing"))
	if e != nil {
		return nil, fmt.Errorf("trial: %w", e)
	}
	return &Trial{mesh: m}, nil
}

// Run runs all steps of the trial and returns the result. An error means that the
// trial could not be run; Result.Err returns violations.
func (t *Trial) Run(c context.Context) (*Result, error) {
	if e := t.start(c); e != nil {
		return nil, e
	}
	g, e := caller.NewGenerator(c, t.plan())
	if e != nil {
		return nil, e
	}
	f := make(chan *caller.Report, 1)
	go func() { f <- g.Run(c) }()
	if e := t.runOperations(c); e != nil {
		return nil, e
	}
	t.result.Load = <-f
	t.checkLoad()
	t.checkRuns()
	t.checkKeys()
	t.checkStop()
	return &t.result, c.Err()
}

// Close stops the daemons and simulated servers of the trial.
func (t *Trial) Close() error {
	return t.mesh.Close()
}

// plan returns the load: reads, and writes with a key, some of which are sent
// again to another daemon.
func (t *Trial) plan() caller.Plan {
	p := caller.Plan{
		Mix: []caller.Share{
			{Path: "/roster/read/list", Weight: 6},
			{Path: "/billing/read/state", Weight: 2},
			{Path: "/billing/write/payment", Weight: 2, Keyed: true},
		},
		Rate: loadRate, Concurrency: concurrency, Duration: loadTime, Timeout: callTimeout, Resends: resendShare, Seed: 1,
	}
	for _, m := range t.mesh.Members {
		p.Targets = append(p.Targets, m.CallerAddress())
	}
	return p
}

// start waits until all daemons are ready and active as homes.
func (t *Trial) start(c context.Context) error {
	c, f := context.WithTimeout(c, startTimeout)
	defer f()
	s := time.Now()
	if e := t.mesh.Wait(c, func(d *assembly.Daemon) bool { return d.Status().Ready }); e != nil {
		return e
	}
	t.addStep(Step{Name: "start", Seen: fmt.Sprintf("%d daemons in 2 data centres ready after %s", len(t.mesh.Members), elapsedSince(s)), Took: time.Since(s)})
	if e := t.mesh.WaitReady(c); e != nil {
		return e
	}
	t.addStep(Step{Name: "homes", Seen: "accept payments after " + elapsedSince(s), Took: time.Since(s)})
	return nil
}

// runOperations performs the changes of operators during the load: it changes an
// entry, and takes a data centre out of service and back.
func (t *Trial) runOperations(c context.Context) error {
	if e := lavenderridge.Sleep(c, warmUp); e != nil {
		return e
	}
	t.mesh.Catalogue.Entries[0].Limits.Attempts = 2
	if e := t.converge(c, "change an entry", t.mesh.Publish); e != nil {
		return e
	}
	if e := lavenderridge.Sleep(c, operationPause); e != nil {
		return e
	}
	if e := t.converge(c, "take "+string(leavingDataCentre)+" out", func() error { return t.mesh.SetDataCentre(leavingDataCentre, lavenderridge.OutOfService) }); e != nil {
		return e
	}
	if e := t.checkDrained(c); e != nil {
		return e
	}
	return t.converge(c, "bring "+string(leavingDataCentre)+" back", func() error { return t.mesh.SetDataCentre(leavingDataCentre, lavenderridge.InService) })
}

// converge publishes a new catalogue by f and waits until all daemons have
// accepted its version. The step that it adds has the name n.
func (t *Trial) converge(c context.Context, n string, f func() error) error {
	s := time.Now()
	v := t.mesh.Members[0].Daemon.Status().Versions.Catalogue
	if e := f(); e != nil {
		return e
	}
	c, x := context.WithTimeout(c, convergenceBound)
	defer x()
	p := Step{Name: n, Seen: "accepted by all daemons after " + elapsedSince(s)}
	if e := t.mesh.Wait(c, func(d *assembly.Daemon) bool { return d.Status().Versions.Catalogue > v }); e != nil {
		p.Broken = fmt.Sprintf("not accepted by all daemons within %s", convergenceBound)
	}
	p.Took = time.Since(s)
	p.Seen = "accepted by all daemons after " + elapsedSince(s)
	t.addStep(p)
	return nil
}

// checkDrained checks that a data centre that is out of service receives no new
// requests.
func (t *Trial) checkDrained(c context.Context) error {
	if e := lavenderridge.Sleep(c, operationPause); e != nil {
		return e
	}
	b := t.runsIn(leavingDataCentre)
	if e := lavenderridge.Sleep(c, outOfServiceTime); e != nil {
		return e
	}
	n := t.runsIn(leavingDataCentre) - b
	s := Step{Name: "out of service", Seen: fmt.Sprintf("%d new requests there in %s", n, outOfServiceTime)}
	if n > 0 {
		s.Broken = fmt.Sprintf("new requests in a data centre that is out of service (bound %s)", drainBound)
	}
	t.addStep(s)
	return nil
}

// checkLoad checks that all requests were answered.
func (t *Trial) checkLoad() {
	n := &t.result.Load.Counts
	s := Step{Name: "callers", Seen: fmt.Sprintf("%d sent, %d answered, p99 %s", n.Sent, n.Answered, t.result.Load.P99.Round(10*time.Microsecond))}
	if n.Answered != n.Sent {
		s.Broken = fmt.Sprintf("%d requests not answered: %v", n.Sent-n.Answered, n.Reasons)
	}
	t.addStep(s)
}

// checkRuns checks that no backend server ran more requests than it has slots.
func (t *Trial) checkRuns() {
	p := 0
	for _, m := range t.mesh.Members {
		p = max(p, int(m.Backend.Peak()))
	}
	s := Step{Name: "backend servers", Seen: fmt.Sprintf("at most %d concurrent requests at one backend server", p)}
	if l := int(t.mesh.Catalogue.Services[0].Slots); p > l {
		s.Broken = fmt.Sprintf("more than its %d slots", l)
	}
	t.addStep(s)
}

// checkKeys checks in the records of the backend servers that no key ran twice.
func (t *Trial) checkKeys() {
	n := map[lavenderridge.IdempotencyKey]int{}
	w := 0
	for _, m := range t.mesh.Members {
		for _, r := range m.Backend.RunLog() {
			if r.Key == "" {
				continue
			}
			if n[r.Key]++; n[r.Key] == 2 {
				w++
			}
		}
	}
	s := Step{Name: "payments", Seen: fmt.Sprintf("%d keys ran, %d of them were sent twice", len(n), t.result.Load.Resent)}
	if w > 0 {
		s.Broken = fmt.Sprintf("%d keys ran more than once", w)
	}
	t.addStep(s)
}

// checkStop checks that a planned shutdown of a daemon succeeds.
func (t *Trial) checkStop() {
	s := Step{Name: "stop"}
	b := time.Now()
	if e := t.mesh.Members[0].Stop(); e != nil {
		s.Broken = e.Error()
	}
	s.Took = time.Since(b)
	s.Seen = "one daemon stopped gracefully in " + elapsedSince(b)
	t.addStep(s)
}

// runsIn returns the number of runs so far in the data centre d.
func (t *Trial) runsIn(d lavenderridge.DataCentreID) int {
	n := 0
	for _, m := range t.mesh.Members {
		if m.Instance.DataCentre == d {
			for _, v := range m.Backend.RunCounts() {
				n += v
			}
		}
	}
	return n
}

func (t *Trial) addStep(s Step) {
	t.result.Steps = append(t.result.Steps, s)
}

func elapsedSince(t time.Time) string {
	return time.Since(t).Round(100 * time.Microsecond).String()
}
