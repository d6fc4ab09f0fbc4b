package configservice_test

import (
	"cmp"
	"fmt"
	"slices"
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
