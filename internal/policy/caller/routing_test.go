package caller_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/caller"
)

// routingModel holds the router under test and the plain lists from which the
// oracle computes the eligible targets.
type routingModel struct {
	router    *caller.BalancedRouter
	now       time.Time
	version   lavenderridge.Version
	centres   map[lavenderridge.DataCentreID]lavenderridge.ServiceState
	states    map[lavenderridge.InstanceID]lavenderridge.InstanceState
	overrides map[lavenderridge.InstanceID]lavenderridge.ServiceState
	snapshot  *lavenderridge.Snapshot
	inFlight  []lavenderridge.InstanceID
	// excludedUntil holds the end of the exclusion of each target that refused.
	excludedUntil map[lavenderridge.InstanceID]time.Time
	// everRefused holds the targets that have ever refused.
	everRefused map[lavenderridge.InstanceID]bool
}

func centreOf(i int) lavenderridge.DataCentreID {
	return lavenderridge.DataCentreID(fmt.Sprintf("dc-%d", i%3))
}

func newRoutingModel(t *rapid.T) *routingModel {
	m := &routingModel{
		now:           time.Unix(1000, 0),
		centres:       map[lavenderridge.DataCentreID]lavenderridge.ServiceState{},
		states:        map[lavenderridge.InstanceID]lavenderridge.InstanceState{},
		overrides:     map[lavenderridge.InstanceID]lavenderridge.ServiceState{},
		excludedUntil: map[lavenderridge.InstanceID]time.Time{},
		everRefused:   map[lavenderridge.InstanceID]bool{},
	}
	k := rapid.IntRange(1, 12).Draw(t, "instances")
	for i := range k {
		m.centres[centreOf(i)] = lavenderridge.InService
		m.states[lavenderridge.InstanceID(fmt.Sprintf("n-%02d", i))] = lavenderridge.InstanceLive
	}
	random := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "random") }
	m.router = caller.NewBalancedRouter("self", "dc-0", m.now, caller.WithRandom(random), caller.WithSubset(rapid.IntRange(1, 5).Draw(t, "subset")))
	m.publish()
	return m
}

func (m *routingModel) publish() {
	m.version++
	c := &lavenderridge.Catalogue{Services: []lavenderridge.Service{{ID: "s", Slots: 10}}}
	for d, s := range m.centres {
		c.DataCentres = append(c.DataCentres, lavenderridge.DataCentre{ID: d, Region: "r", State: s})
	}
	for n, s := range m.overrides {
		c.Instances = append(c.Instances, lavenderridge.InstanceOverride{ID: n, State: s})
	}
	l := &lavenderridge.InstanceList{}
	for i := range len(m.states) {
		n := lavenderridge.InstanceID(fmt.Sprintf("n-%02d", i))
		l.Instances = append(l.Instances, lavenderridge.Instance{ID: n, DataCentre: centreOf(i), Service: "s", State: m.states[n]})
	}
	v := lavenderridge.Stamp{Version: m.version}
	m.snapshot = lavenderridge.NewSnapshot(c, l, lavenderridge.Stamps{Catalogue: v, InstanceList: v}, m.now)
	// The router drops the state of a target that is not eligible in a snapshot,
	// and with it the exclusion.
	for n := range m.excludedUntil {
		if !slices.Contains(m.eligible(), n) {
			delete(m.excludedUntil, n)
		}
	}
}

// eligible is the oracle: it returns the instances that may get new requests,
// according to the plain lists.
func (m *routingModel) eligible() []lavenderridge.InstanceID {
	var a []lavenderridge.InstanceID
	for i := range len(m.states) {
		n := lavenderridge.InstanceID(fmt.Sprintf("n-%02d", i))
		if m.states[n] == lavenderridge.InstanceLive && m.centres[centreOf(i)] == lavenderridge.InService && m.overrides[n] != lavenderridge.OutOfService {
			a = append(a, n)
		}
	}
	return a
}

func (m *routingModel) route(t *rapid.T, x []lavenderridge.InstanceID) {
	ok := m.eligible()
	n, e := m.router.Route(m.snapshot, &lavenderridge.Request{Service: "s"}, lavenderridge.Exclusion{Instances: x}, m.now)
	if len(ok) == 0 {
		if f := lavenderridge.AsRefusal(e); e == nil || f.Outcome != lavenderridge.OutcomeNotRun || f.Reason != lavenderridge.ReasonNoTarget {
			t.Fatalf("routed to %v, error %v; want NotRun NoTarget", n, e)
		}
		return
	}
	if e != nil {
		t.Fatalf("refused with %v while %v are eligible", e, ok)
	}
	if !slices.Contains(ok, n.ID) {
		t.Fatalf("routed to %s; eligible are %v", n.ID, ok)
	}
	m.checkExclusion(t, n.ID, x)
	m.router.Begin("s", n.ID, m.now)
	m.inFlight = append(m.inFlight, n.ID)
}

// checkExclusion checks that n is neither in x nor excluded after a refusal. It
// may be so only if the router had no target outside x that has never refused
// and has no request in flight.
func (m *routingModel) checkExclusion(t *rapid.T, n lavenderridge.InstanceID, x []lavenderridge.InstanceID) {
	if !slices.Contains(x, n) && !m.now.Before(m.excludedUntil[n]) {
		return
	}
	for _, o := range m.eligible() {
		if !m.everRefused[o] && !slices.Contains(x, o) && !slices.Contains(m.inFlight, o) && m.router.HasTarget("s", o) {
			t.Fatalf("routed to %s, which is excluded or has refused, while %s is available", n, o)
		}
	}
}

func (m *routingModel) end(t *rapid.T) {
	if len(m.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "request")
	n := m.inFlight[i]
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
	l := lavenderridge.Load{InFlight: lavenderridge.Slots(rapid.IntRange(0, 20).Draw(t, "load")), Limit: lavenderridge.Slots(rapid.IntRange(0, 10).Draw(t, "limit"))}
	exclusions := map[lavenderridge.Reason]time.Duration{lavenderridge.ReasonLeaving: time.Second, lavenderridge.ReasonOverloaded: 50 * time.Millisecond, lavenderridge.ReasonConnectionLost: 250 * time.Millisecond}
	r := rapid.SampledFrom([]lavenderridge.Reason{"", "", lavenderridge.ReasonCancelled, lavenderridge.ReasonLeaving, lavenderridge.ReasonOverloaded, lavenderridge.ReasonConnectionLost}).Draw(t, "reason")
	var f *lavenderridge.Refusal
	if r != "" {
		f = lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, r, "")
		m.everRefused[n] = true
	}
	if d, o := exclusions[r]; o && m.router.HasTarget("s", n) && slices.Contains(m.eligible(), n) {
		m.excludedUntil[n] = m.now.Add(d)
	}
	m.router.End("s", n, l, f, m.now)
}

// TestRouting checks the chosen targets against the oracle while the catalogue
// and the instance list change and targets refuse or fail.
func TestRouting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRoutingModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"route": func(t *rapid.T) { m.route(t, nil) },
			"retry": func(t *rapid.T) {
				m.route(t, rapid.SliceOfN(rapid.SampledFrom([]lavenderridge.InstanceID{"n-00", "n-01", "n-02", "n-03"}), 1, 3).Draw(t, "excluded"))
			},
			"end": m.end,
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"centre": func(t *rapid.T) {
				d := centreOf(rapid.IntRange(0, min(len(m.states), 3)-1).Draw(t, "centre"))
				m.centres[d] = rapid.SampledFrom([]lavenderridge.ServiceState{lavenderridge.InService, lavenderridge.OutOfService}).Draw(t, "state")
				m.publish()
			},
			"instance": func(t *rapid.T) {
				n := lavenderridge.InstanceID(fmt.Sprintf("n-%02d", rapid.IntRange(0, len(m.states)-1).Draw(t, "instance")))
				m.states[n] = rapid.SampledFrom([]lavenderridge.InstanceState{lavenderridge.InstanceLive, lavenderridge.InstanceLeaving}).Draw(t, "state")
				m.overrides[n] = rapid.SampledFrom([]lavenderridge.ServiceState{lavenderridge.InService, lavenderridge.OutOfService}).Draw(t, "override")
				m.publish()
			},
		})
	})
}

// TestOwnDataCentreFirst checks that requests go to another data centre only
// while the targets in the own one are overloaded.
func TestOwnDataCentreFirst(t *testing.T) {
	m := &routingModel{
		now:     time.Unix(1000, 0),
		centres: map[lavenderridge.DataCentreID]lavenderridge.ServiceState{"dc-0": lavenderridge.InService, "dc-1": lavenderridge.InService},
		states:  map[lavenderridge.InstanceID]lavenderridge.InstanceState{"n-00": lavenderridge.InstanceLive, "n-01": lavenderridge.InstanceLive},
	}
	m.router = caller.NewBalancedRouter("self", "dc-0", m.now)
	m.publish()
	q := &lavenderridge.Request{Service: "s"}
	route := func(want lavenderridge.InstanceID) {
		t.Helper()
		n, e := m.router.Route(m.snapshot, q, lavenderridge.Exclusion{}, m.now)
		if e != nil || n.ID != want {
			t.Fatalf("routed to %v, error %v; want %s", n, e, want)
		}
	}
	route("n-00")
	m.router.Begin("s", "n-00", m.now)
	m.router.End("s", "n-00", lavenderridge.Load{InFlight: 10, Queued: 4, Limit: 10}, nil, m.now)
	route("n-01")
	m.now = m.now.Add(3 * time.Second)
	route("n-00")
}
