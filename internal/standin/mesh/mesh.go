package mesh

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/policy/peer"
	"github.com/lavenderridge/lavenderridge/internal/standin/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/standin/configservice"
	"github.com/lavenderridge/lavenderridge/internal/standin/port"
	"github.com/lavenderridge/lavenderridge/internal/transport/cataloguetoml"
	"github.com/lavenderridge/lavenderridge/internal/transport/instancesjson"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

const (
	loopback         = "127.0.0.1:0"
	keyLifetime      = 24 * time.Hour
	stopTimeout      = 10 * time.Second
	maxBody          = lavenderridge.Mebibyte
	slots            = 10
	connections      = 130
	queue            = 20
	entryTimeout     = 2 * time.Second
	latencyObjective = 250 * time.Millisecond
)

// A Mesh is a set of daemons with their backend servers and a configuration
// service, all on loopback.
type Mesh struct {
	// Catalogue is the catalogue that Publish publishes.
	Catalogue *lavenderridge.Catalogue
	// Version is the version of the catalogue published last.
	Version lavenderridge.Version
	Members []*Member
	// Source is the configuration service.
	Source *configservice.Server

	dataCentres   []lavenderridge.DataCentreID
	services      []lavenderridge.ServiceID
	replicas      int
	serviceTime   time.Duration
	editCatalogue func(*lavenderridge.Catalogue)
	newBackend    func(lavenderridge.Instance) *backendserver.Server
	editConfig    func(*assembly.Config)
	log           *zap.Logger
	authority     *peertls.Authority
	sourceHTTP    *httptest.Server
}

// NewMesh starts a mesh. Its daemons run until c ends or Close is called.
func NewMesh(c context.Context, o ...Option) (*Mesh, error) {
	m := &Mesh{
		dataCentres:   []lavenderridge.DataCentreID{"fukuoka", "kumamoto"},
		services:      []lavenderridge.ServiceID{"roster"},
		replicas:      2,
		serviceTime:   2 * time.Millisecond,
		editCatalogue: func(*lavenderridge.Catalogue) {},
		editConfig:    func(*assembly.Config) {},
		log:           zap.NewNop(),
		Source:        configservice.NewServer(0),
	}
	m.newBackend = func(n lavenderridge.Instance) *backendserver.Server {
		return backendserver.NewServer(n.ID, slots, m.serviceTime)
	}
	for _, f := range o {
		f(m)
	}
	m.sourceHTTP = httptest.NewServer(m.Source)
	if e := m.start(c); e != nil {
		return nil, errors.Join(e, m.Close())
	}
	return m, nil
}

func (m *Mesh) start(c context.Context) (e error) {
	if m.authority, e = peertls.NewAuthority(time.Now(), keyLifetime); e != nil {
		return e
	}
	if e := m.addMembers(); e != nil {
		return e
	}
	m.Catalogue = m.newCatalogue()
	m.editCatalogue(m.Catalogue)
	if e := m.Publish(); e != nil {
		return e
	}
	if e := m.PublishInstances(); e != nil {
		return e
	}
	for _, n := range m.Members {
		if e := m.Start(c, n); e != nil {
			return e
		}
	}
	return nil
}

func (m *Mesh) newCatalogue() *lavenderridge.Catalogue {
	k := &lavenderridge.Catalogue{}
	for _, d := range m.dataCentres {
		k.DataCentres = append(k.DataCentres, lavenderridge.DataCentre{ID: d, Region: "kyushu", State: lavenderridge.InService})
	}
	for _, s := range m.services {
		k.Services = append(k.Services, lavenderridge.Service{ID: s, Slots: slots, Connections: connections, Queue: queue})
		k.Entries = append(k.Entries, newEntry(s, true), newEntry(s, false))
	}
	return k
}

// newEntry returns the idempotent entry "/<service>/read" if o is set, and the
// entry "/<service>/write" otherwise.
func newEntry(s lavenderridge.ServiceID, o bool) lavenderridge.Entry {
	p := "write"
	if o {
		p = "read"
	}
	return lavenderridge.Entry{
		ID: lavenderridge.EntryID(fmt.Sprintf("%s-%s", s, p)), Owner: "operators", Class: lavenderridge.ClassNormal,
		Service: s, PathPrefix: fmt.Sprintf("/%s/%s", s, p), Idempotent: o, Timeout: entryTimeout,
		Objective: lavenderridge.Objective{Success: 0.999, Latency: latencyObjective},
	}
}

// addMembers adds the instances of all services and starts their backend servers.
func (m *Mesh) addMembers() error {
	k := port.NewPicker()
	for _, s := range m.services {
		for _, d := range m.dataCentres {
			for i := range m.replicas {
				a, e := k.Free()
				if e != nil {
					return e
				}
				n := lavenderridge.Instance{
					ID:         lavenderridge.InstanceID(fmt.Sprintf("%s-%s-%d", s, d, i)),
					DataCentre: d, Service: s, Peer: a, State: lavenderridge.InstanceLive,
				}
				b := m.newBackend(n)
				if e := b.Start(); e != nil {
					return e
				}
				m.Members = append(m.Members, &Member{Instance: n, Backend: b})
			}
		}
	}
	return nil
}

// Start starts the daemon of the member n, which must not be running.
func (m *Mesh) Start(c context.Context, n *Member) error {
	i := peertls.Identity{Instance: n.Instance.ID, DataCentre: n.Instance.DataCentre}
	t, e := m.authority.Issue(i, time.Now(), keyLifetime)
	if e != nil {
		return e
	}
	f := assembly.Config{
		Instance: n.Instance.ID, DataCentre: n.Instance.DataCentre, Service: n.Instance.Service,
		ConfigService: m.sourceAddress(), Backend: n.Backend.Address(), Connections: connections,
		Caller: loopback, Peer: n.Instance.Peer, Operator: loopback,
		MaxBody: maxBody, StopTimeout: stopTimeout,
	}
	m.editConfig(&f)
	n.Daemon, e = assembly.NewDaemon(c, f, peertls.NewKeys(t, m.authority.Pool()), assembly.WithLogger(m.log))
	if e != nil {
		return e
	}
	c, n.stop = context.WithCancel(c)
	n.done = make(chan error, 1)
	go func() { n.done <- n.Daemon.Run(c) }()
	return nil
}

func (m *Mesh) sourceAddress() lavenderridge.Address {
	return lavenderridge.Address(strings.TrimPrefix(m.sourceHTTP.URL, "http://"))
}

// Publish publishes m.Catalogue at the configuration service.
func (m *Mesh) Publish() error {
	b, e := cataloguetoml.Format(m.Catalogue)
	if e != nil {
		return e
	}
	m.Version = m.Source.Publish(lavenderridge.DocumentCatalogue, b)
	return nil
}

// PublishInstances publishes the instance list of the members.
func (m *Mesh) PublishInstances() error {
	var l lavenderridge.InstanceList
	for _, n := range m.Members {
		l.Instances = append(l.Instances, n.Instance)
	}
	slices.SortFunc(l.Instances, func(a, b lavenderridge.Instance) int { return cmp.Compare(a.ID, b.ID) })
	b, e := instancesjson.Format(&l)
	if e != nil {
		return e
	}
	m.Source.Publish(lavenderridge.DocumentInstanceList, b)
	return nil
}

// SetDataCentre publishes the catalogue with the state s of the data centre d.
func (m *Mesh) SetDataCentre(d lavenderridge.DataCentreID, s lavenderridge.ServiceState) error {
	for i := range m.Catalogue.DataCentres {
		if m.Catalogue.DataCentres[i].ID == d {
			m.Catalogue.DataCentres[i].State = s
		}
	}
	return m.Publish()
}

// WaitReady returns when every running daemon is ready and active as a home. It
// then waits for the allowed clock skew, so that daemons recognise keys issued
// from then on as issued after the activation.
func (m *Mesh) WaitReady(c context.Context) error {
	e := m.Wait(c, func(d *assembly.Daemon) bool {
		s := d.Status()
		return s.Ready && s.Home.Active
	})
	if e != nil {
		return e
	}
	if e := lavenderridge.Sleep(c, peer.DefaultSkew); e != nil {
		return fmt.Errorf("mesh: wait: %w", e)
	}
	return nil
}

// Wait returns when f holds for every running daemon, or with an error when c
// ends first.
func (m *Mesh) Wait(c context.Context, f func(*assembly.Daemon) bool) error {
	t := time.NewTicker(time.Millisecond)
	defer t.Stop()
	for {
		if !slices.ContainsFunc(m.Members, func(n *Member) bool { return n.stop != nil && !f(n.Daemon) }) {
			return nil
		}
		select {
		case <-c.Done():
			return fmt.Errorf("mesh: wait: %w", c.Err())
		case <-t.C:
		}
	}
}

// Close stops every daemon, every backend server and the configuration service.
func (m *Mesh) Close() error {
	a := make([]error, len(m.Members))
	f := make(chan struct{})
	for i, n := range m.Members {
		go func() {
			a[i] = n.Stop()
			n.Backend.Close()
			f <- struct{}{}
		}()
	}
	for range m.Members {
		<-f
	}
	m.sourceHTTP.CloseClientConnections()
	m.sourceHTTP.Close()
	return errors.Join(a...)
}
