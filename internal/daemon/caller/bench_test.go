package caller_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/lavenderridge/lavenderridge"
	callerpolicy "github.com/lavenderridge/lavenderridge/internal/policy/caller"
)

// benchmarkSession returns a session with k services of n targets each, in ten data
// centres.
func benchmarkSession(k, n int) *session {
	s := newSession()
	s.unscripted = true
	for i := range 10 {
		s.catalogue.DataCentres = append(s.catalogue.DataCentres, lavenderridge.DataCentre{ID: lavenderridge.DataCentreID(fmt.Sprintf("dc-%d", i)), Region: lavenderridge.RegionID(fmt.Sprintf("r-%d", i/2)), State: lavenderridge.InService})
	}
	for i := range k {
		d := lavenderridge.ServiceID(fmt.Sprintf("service-%03d", i))
		s.catalogue.Services = append(s.catalogue.Services, lavenderridge.Service{ID: d, Slots: 10})
		s.catalogue.Entries = append(s.catalogue.Entries, lavenderridge.Entry{ID: lavenderridge.EntryID(d), Service: d, PathPrefix: "/" + string(d) + "/", Idempotent: true, Class: lavenderridge.ClassNormal})
		for j := range n {
			s.list.Instances = append(s.list.Instances, lavenderridge.Instance{ID: lavenderridge.InstanceID(fmt.Sprintf("%s-%d", d, j)), DataCentre: lavenderridge.DataCentreID(fmt.Sprintf("dc-%d", j%10)), Service: d, State: lavenderridge.InstanceLive})
		}
	}
	s.publish()
	return s
}

// BenchmarkEntry measures all handlers of this package without a transport, with the
// 110 services of 32 instances that are expected in two years. Two of the allocations
// are the request and the response.
func BenchmarkEntry(b *testing.B) {
	s := benchmarkSession(110, 32)
	b.ReportAllocs()
	for b.Loop() {
		if _, e := s.handler.Handle(context.Background(), &lavenderridge.Request{ID: "r", Method: "GET", Path: "/service-055/x"}); e != nil {
			b.Fatal(e)
		}
	}
}

// BenchmarkRoute measures the routing of a request to one of 32 targets.
func BenchmarkRoute(b *testing.B) {
	s := benchmarkSession(110, 32)
	r := callerpolicy.NewBalancedRouter("a", "dc-0", s.now)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		q := &lavenderridge.Request{Service: "service-055"}
		for p.Next() {
			n, e := r.Route(s.snapshot, q, lavenderridge.Exclusion{}, s.now)
			if e != nil {
				b.Error(e)
				return
			}
			r.Begin(q.Service, n.ID, s.now)
			r.End(q.Service, n.ID, lavenderridge.Load{InFlight: 1, Limit: 10}, nil, s.now)
		}
	})
}

// BenchmarkRouteTable measures the first routing of a service after a new snapshot,
// which builds the route table.
func BenchmarkRouteTable(b *testing.B) {
	s := benchmarkSession(110, 32)
	r := callerpolicy.NewBalancedRouter("a", "dc-0", s.now)
	q := &lavenderridge.Request{Service: "service-055"}
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		s.publish()
		b.StartTimer()
		if _, e := r.Route(s.snapshot, q, lavenderridge.Exclusion{}, s.now); e != nil {
			b.Fatal(e)
		}
	}
}

// BenchmarkMatch measures the match with the last of 110 catalogue entries.
func BenchmarkMatch(b *testing.B) {
	s := benchmarkSession(110, 1)
	for b.Loop() {
		if s.snapshot.Match("", "GET", "/service-109/x") == nil {
			b.Fatal("no match")
		}
	}
}
