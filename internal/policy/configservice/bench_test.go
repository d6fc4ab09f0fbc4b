package configservice_test

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/transport/canonicalcbor"
)

// BenchmarkListVersion measures what a daemon spends on a version of the instance list
// in which one of n instances has changed and which it pulls as a delta.
func BenchmarkListVersion(b *testing.B) {
	for _, n := range []int{30, 300, 3_500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			k := canonicalcbor.NewCodec()
			s, d := configservice.NewStore(k), configservice.NewStore(k)
			l := &lavenderridge.InstanceList{}
			for i := range n {
				l.Instances = append(l.Instances, lavenderridge.Instance{
					ID: lavenderridge.InstanceID(fmt.Sprintf("10.0.%d.%d", i/250, i%250)), DataCentre: lavenderridge.DataCentreID(fmt.Sprintf("kyu-%c", 'a'+i%6)),
					Service: lavenderridge.ServiceID(fmt.Sprintf("service-%d", i%4)), Peer: lavenderridge.Address(fmt.Sprintf("10.0.%d.%d:7620", i/250, i%250)),
					State: lavenderridge.InstanceLive, Backend: lavenderridge.BackendID(fmt.Sprintf("i-%08x", i)), Slots: 8, Revision: 1,
				})
			}
			slices.SortFunc(l.Instances, func(a, b lavenderridge.Instance) int { return cmp.Compare(a.ID, b.ID) })
			c := &lavenderridge.Catalogue{}
			for i := range 4 {
				c.Services = append(c.Services, lavenderridge.Service{ID: lavenderridge.ServiceID(fmt.Sprintf("service-%d", i)), Slots: 1, Connections: 100, Queue: 64})
			}
			for i := range 300 {
				c.Entries = append(c.Entries, lavenderridge.Entry{
					ID: lavenderridge.EntryID(fmt.Sprintf("r-%04d", i)), Owner: "operators", Class: lavenderridge.ClassNormal,
					Service: "service-1", Host: "a.example", PathPrefix: fmt.Sprintf("/path-%04d/", i), Timeout: time.Second,
				})
			}
			for _, v := range []*configservice.Store{s, d} {
				if r, e := v.OfferCatalogue(configservice.Offer{Version: 1}, c); r != configservice.OfferAccepted {
					b.Fatal(e)
				}
				if r, e := v.OfferInstanceList(configservice.Offer{Version: 1}, l); r != configservice.OfferAccepted {
					b.Fatal(e)
				}
			}
			b.ReportAllocs()
			for v := lavenderridge.Version(2); b.Loop(); v++ {
				b.StopTimer()
				x := l.Instances[int(v)%n]
				x.Revision = lavenderridge.Revision(v)
				l = configservice.PatchInstanceList(l, &lavenderridge.InstanceListDelta{Instances: lavenderridge.Changes[lavenderridge.InstanceID, lavenderridge.Instance]{Changed: []lavenderridge.Instance{x}}})
				h := s.Stamps().InstanceList
				if r, e := s.OfferInstanceList(configservice.Offer{Version: v}, l); r != configservice.OfferAccepted {
					b.Fatal(e)
				}
				p := s.Serve(lavenderridge.DocumentInstanceList, h)
				b.StartTimer()
				if r, e := d.OfferReply(lavenderridge.DocumentInstanceList, "n", p, time.Time{}); r != configservice.OfferAccepted {
					b.Fatal(e)
				}
			}
		})
	}
}

// BenchmarkCustomerVersion measures what a daemon spends on a version of the catalogue in
// which one of n customers with two keys each has another key and which it pulls as a delta,
// and the sizes of the whole catalogue and the delta.
func BenchmarkCustomerVersion(b *testing.B) {
	for _, n := range []int{74, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			k := canonicalcbor.NewCodec()
			s, d := configservice.NewStore(k), configservice.NewStore(k)
			c := &lavenderridge.Catalogue{}
			for i := range n {
				c.Customers = append(c.Customers, newCustomer(i, 0))
			}
			l := &lavenderridge.InstanceList{}
			for i := range 3_500 {
				l.Instances = append(l.Instances, lavenderridge.Instance{
					ID: lavenderridge.InstanceID(fmt.Sprintf("10.0.%03d.%03d", i/250, i%250)), DataCentre: "dc", Service: "s",
					Peer: lavenderridge.Address(fmt.Sprintf("10.0.%d.%d:7620", i/250, i%250)), State: lavenderridge.InstanceLive, Slots: 8, Revision: 1,
				})
			}
			for _, v := range []*configservice.Store{s, d} {
				if r, e := v.OfferCatalogue(configservice.Offer{Version: 1}, c); r != configservice.OfferAccepted {
					b.Fatal(e)
				}
				if r, e := v.OfferInstanceList(configservice.Offer{Version: 1}, l); r != configservice.OfferAccepted {
					b.Fatal(e)
				}
			}
			w, e := k.EncodeCatalogue(c)
			if e != nil {
				b.Fatal(e)
			}
			b.ReportAllocs()
			var p *lavenderridge.PullReply
			for v := lavenderridge.Version(2); b.Loop(); v++ {
				b.StopTimer()
				i := int(v) % n
				c = configservice.PatchCatalogue(c, &lavenderridge.CatalogueDelta{Customers: &lavenderridge.Changes[lavenderridge.CustomerID, lavenderridge.Customer]{
					Changed: []lavenderridge.Customer{newCustomer(i, int(v))},
				}})
				h := s.Stamps().Catalogue
				if r, e := s.OfferCatalogue(configservice.Offer{Version: v}, c); r != configservice.OfferAccepted {
					b.Fatal(e)
				}
				p = s.Serve(lavenderridge.DocumentCatalogue, h)
				b.StartTimer()
				if r, e := d.OfferReply(lavenderridge.DocumentCatalogue, "n", p, time.Time{}); r != configservice.OfferAccepted {
					b.Fatal(e)
				}
			}
			b.ReportMetric(float64(len(w)), "bytes/whole")
			b.ReportMetric(float64(len(p.Delta)), "bytes/delta")
		})
	}
}

// newCustomer returns the customer i with two keys, of which one depends on v.
func newCustomer(i, v int) lavenderridge.Customer {
	a := []lavenderridge.CustomerKey{lavenderridge.NewCustomerKey(fmt.Appendf(nil, "%d", i)), lavenderridge.NewCustomerKey(fmt.Appendf(nil, "%d-%d", i, v))}
	slices.SortFunc(a, lavenderridge.CustomerKey.Compare)
	return lavenderridge.Customer{
		ID: lavenderridge.CustomerID(fmt.Sprintf("customer-%05d", i)), Keys: a, Class: lavenderridge.ClassNormal,
		Quota: lavenderridge.Quota{Rate: 249, Burst: 249},
	}
}

// TestManyCustomers checks that a catalogue with 10,000 customers is accepted and that one
// with too many customers, keys or bytes of them is rejected with a finding.
func TestManyCustomers(t *testing.T) {
	n := func(m, k int, p string) *lavenderridge.Catalogue {
		c := &lavenderridge.Catalogue{}
		for i := range m {
			v := lavenderridge.Customer{ID: lavenderridge.CustomerID(fmt.Sprintf("%s%05d", p, i)), Quota: lavenderridge.Quota{Rate: 0.1, Burst: math.MaxInt32}}
			for j := range k {
				v.Keys = append(v.Keys, lavenderridge.NewCustomerKey(fmt.Appendf(nil, "%d %d", i, j)))
			}
			c.Customers = append(c.Customers, v)
		}
		return c
	}
	long := strings.Repeat("a", 190)
	for _, v := range []struct {
		c *lavenderridge.Catalogue
		o bool
	}{
		{n(10_000, 2, "customer-"), true},
		{n(15_000, 1, ""), true},
		{n(16_384, 1, ""), false},
		{n(16_384, 0, ""), true},
		{n(16_385, 0, ""), false},
		{n(1, 32_768, ""), true},
		{n(1, 32_769, ""), false},
		{n(6_000, 0, long), true},
		{n(7_000, 0, long), false},
	} {
		f := configservice.ValidateCatalogue(v.c)
		if (len(f) == 0) != v.o {
			t.Errorf("%d customers with %d keys: %v", len(v.c.Customers), len(v.c.Customers[0].Keys), f)
		}
		r, e := configservice.NewStore(canonicalcbor.NewCodec()).OfferCatalogue(configservice.Offer{Version: 1}, v.c)
		if (r == configservice.OfferAccepted) != v.o {
			t.Errorf("%d customers with %d keys: %s, %v", len(v.c.Customers), len(v.c.Customers[0].Keys), r, e)
		}
	}
}
