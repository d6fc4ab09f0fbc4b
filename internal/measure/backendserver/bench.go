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
	// maxAttempts bounds the number of owners to which one request is sent.
	maxAttempts = 3
)

// bench is a set of owner handlers, each with its own stand-in backend server.
// Element i of each slice belongs to the instance i.
type bench struct {
	snapshot *lavenderridge.Snapshot
	owners   []*backendserver.OwnerHandler
	standins []*standin.Server
	clients  []*backendhttp.Client
	group    sync.WaitGroup
}

// newBench starts n owners with the admission control m. Their backend servers take
// the time d for a request and have the options o.
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

// instance returns the identifier of the instance i.
func instance(i int) lavenderridge.InstanceID {
	return lavenderridge.InstanceID("measured-" + strconv.Itoa(i))
}

// newSnapshot returns a snapshot with n instances of one service. The service has a
// queue in ModeAdaptive only.
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

// add starts the owner i and its backend server.
func (b *bench) add(c context.Context, i lavenderridge.InstanceID, m Mode, d time.Duration, o []standin.Option) error {
	s := standin.NewServer(i, slots, d, o...)
	if e := s.Start(); e != nil {
		return fmt.Errorf("measure: start stand-in backend server: %w", e)
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

// close stops the stand-ins and waits for the owners. The context of newBench must
// have been cancelled before, because the owners run until then.
func (b *bench) close() {
	for _, l := range b.clients {
		_ = l.Close()
	}
	for _, s := range b.standins {
		s.Close()
	}
	b.group.Wait()
}

// sendLoad sends requests at the mean rate r for the time d, with exponentially
// distributed intervals. Each request has the timeout t. sendLoad calls f with each
// result, concurrently, and returns after the last one.
func (b *bench) sendLoad(c context.Context, r lavenderridge.Rate, d, t time.Duration, f func(result)) {
	var g sync.WaitGroup
	defer g.Wait()
	a := rand.New(rand.NewPCG(1, 2))
	n, k := time.Now(), 0
	for z := n.Add(d); n.Before(z) && c.Err() == nil; {
		time.Sleep(time.Until(n))
		i, o, x := k, a.Perm(len(b.owners)), drawClass(a.IntN(10))
		g.Go(func() { f(b.send(c, i, o, x, t)) })
		n = n.Add(time.Duration(a.ExpFloat64() * float64(time.Second) / float64(r)))
		k++
	}
}

// drawClass returns the class for the random number i from 0 to 9: of ten requests,
// two are critical, five normal and three background.
func drawClass(i int) lavenderridge.Class {
	switch {
	case i < 2:
		return lavenderridge.ClassCritical
	case i < 7:
		return lavenderridge.ClassNormal
	}
	return lavenderridge.ClassBackground
}

// result is the result of one request. It is good if the response has the status
// 200.
type result struct {
	begun   time.Time
	latency time.Duration
	class   lavenderridge.Class
	good    bool
}

// send sends the request i to the owners in the order o, until one of them responds,
// or refuses it with another outcome than NotRun, or maxAttempts is reached.
func (b *bench) send(c context.Context, i int, o []int, k lavenderridge.Class, d time.Duration) result {
	n := time.Now()
	c, f := context.WithDeadline(c, n.Add(d))
	defer f()
	r := &lavenderridge.Request{
		ID: lavenderridge.RequestID(strconv.Itoa(i)), Service: service, Class: k,
		Method: http.MethodPost, Path: "/" + strconv.Itoa(i), Deadline: n.Add(d),
	}
	v := result{begun: n, class: k}
	for _, j := range o[:min(len(o), maxAttempts)] {
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
