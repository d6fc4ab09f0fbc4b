package backendserver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/backendserver"
	standin "github.com/lavenderridge/lavenderridge/internal/standin/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/transport/backendhttp"
)

const (
	service     lavenderridge.ServiceID    = "measured"
	dataCentre  lavenderridge.DataCentreID = "local"
	slots       lavenderridge.Slots        = 10
	connections lavenderridge.Connections  = 130
	queue       lavenderridge.Slots        = 20
	// attempts bounds the owners that a caller asks for one request.
	attempts = 3
)

// bench is a set of owners, each with a stand-in of its own.
type bench struct {
	snapshot *lavenderridge.Snapshot
	owners   []*backendserver.OwnerHandler
	standins []*standin.Server
	clients  []*backendhttp.Client
	group    sync.WaitGroup
}

// newBench starts n owners in the mode m.
func newBench(c context.Context, n int, m Mode, d time.Duration, o ...standin.Option) (*bench, error) {
	b := &bench{snapshot: newSnapshot(n, m)}
	for i := range n {
		if e := b.add(c, instance(i), m, d, o); e != nil {
			b.close()
			return nil, e
		}
	}
	return b, nil
}

func instance(i int) lavenderridge.InstanceID {
	return lavenderridge.InstanceID("measured-" + strconv.Itoa(i))
}

func newSnapshot(n int, m Mode) *lavenderridge.Snapshot {
	v := lavenderridge.Service{ID: service, Slots: slots, Connections: connections}
	if m == ModeAdaptive {
		v.Queue = queue
	}
	l := &lavenderridge.InstanceList{}
	for i := range n {
		l.Instances = append(l.Instances, lavenderridge.Instance{ID: instance(i), DataCentre: dataCentre, Service: service, State: lavenderridge.InstanceLive})
	}
	return lavenderridge.NewSnapshot(&lavenderridge.Catalogue{
		DataCentres: []lavenderridge.DataCentre{{ID: dataCentre, State: lavenderridge.InService}},
		Services:    []lavenderridge.Service{v},
	}, l, lavenderridge.Stamps{}, time.Now())
}

func (b *bench) add(c context.Context, i lavenderridge.InstanceID, m Mode, d time.Duration, o []standin.Option) error {
	s := standin.NewServer(i, slots, d, o...)
	if e := s.Start(); e != nil {
		return fmt.Errorf("measure: %w", e)
	}
	b.standins = append(b.standins, s)
	l, e := backendhttp.NewClient(c, s.Address(), connections, lavenderridge.Mebibyte)
	if e != nil {
		return e
	}
	b.clients = append(b.clients, l)
	h := backendserver.NewOwnerHandler(b, func() lavenderridge.Sender { return lavenderridge.Sender{Instance: i} }, l, m.options()...)
	b.owners = append(b.owners, h)
	b.group.Go(func() { _ = h.Run(c) })
	return nil
}

// Snapshot implements lavenderridge.SnapshotSource.
func (b *bench) Snapshot() *lavenderridge.Snapshot {
	return b.snapshot
}

// close ends the stand-ins; the owners end with their context.
func (b *bench) close() {
	for _, l := range b.clients {
		_ = l.Close()
	}
	for _, s := range b.standins {
		s.Close()
	}
	b.group.Wait()
}

// load sends requests at the rate r for the time d with exponential gaps. Each
// has the time t, and f gets its result.
func (b *bench) load(c context.Context, r lavenderridge.Rate, d, t time.Duration, f func(result)) {
	var g sync.WaitGroup
	defer g.Wait()
	a := rand.New(rand.NewPCG(1, 2))
	n, k := time.Now(), 0
	for z := n.Add(d); n.Before(z) && c.Err() == nil; {
		time.Sleep(time.Until(n))
		i, o, x := k, a.Perm(len(b.owners)), class(a.IntN(10))
		g.Go(func() { f(b.send(c, i, o, x, t)) })
		n = n.Add(time.Duration(a.ExpFloat64() * float64(time.Second) / float64(r)))
		k++
	}
}

// class returns the class of a request: two in ten are critical and three in
// ten are background work.
func class(i int) lavenderridge.Class {
	switch {
	case i < 2:
		return lavenderridge.ClassCritical
	case i < 7:
		return lavenderridge.ClassNormal
	}
	return lavenderridge.ClassBackground
}

// result is what came of one request.
type result struct {
	begun   time.Time
	latency time.Duration
	class   lavenderridge.Class
	good    bool
}

// send asks the owners in the order o until one does not refuse it as not run.
func (b *bench) send(c context.Context, i int, o []int, k lavenderridge.Class, d time.Duration) result {
	n := time.Now()
	c, f := context.WithDeadline(c, n.Add(d))
	defer f()
	r := &lavenderridge.Request{
		ID: lavenderridge.RequestID(strconv.Itoa(i)), Service: service, Class: k,
		Method: http.MethodPost, Path: "/" + strconv.Itoa(i), Deadline: n.Add(d),
	}
	v := result{begun: n, class: k}
	for _, j := range o[:min(len(o), attempts)] {
		r.Target = instance(j)
		p, e := b.owners[j].Handle(c, r)
		v.good = e == nil && p.Status == http.StatusOK
		if e == nil || lavenderridge.AsRefusal(e).Outcome != lavenderridge.OutcomeNotRun {
			break
		}
	}
	v.latency = time.Since(n)
	return v
}
