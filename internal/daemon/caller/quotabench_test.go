package caller_test

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/caller"
	peerpolicy "github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

// BenchmarkAdmit measures the admission of a request out of a loan, by a daemon that is
// its own home.
func BenchmarkAdmit(b *testing.B) {
	u := peerpolicy.QuotaBounds{Window: 5 * time.Second, Overage: 0.25, Slack: 20}
	l := &lavenderridge.InstanceList{Instances: []lavenderridge.Instance{{ID: "a", State: lavenderridge.InstanceLive}}}
	k := &lavenderridge.Catalogue{Customers: []lavenderridge.Customer{{ID: "k", Quota: lavenderridge.Quota{Rate: 1e9, Burst: 1e9}}}}
	f := &quotaFleet{}
	f.snapshot.Store(lavenderridge.NewSnapshot(k, l, lavenderridge.Stamps{}, time.Now()))
	w := func(_ context.Context, q *lavenderridge.LoanRequest) (*lavenderridge.Loan, error) {
		return &lavenderridge.Loan{Grants: []lavenderridge.LoanGrant{{Requests: q.Wants[0].Requests}}}, nil
	}
	v := caller.NewBorrower("a", u, f, f, w, f, metrics.NewRegistry())
	c, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = v.Run(c) }()
	s := f.Snapshot()
	d := s.Customer("k")
	refused := 0
	b.ReportAllocs()
	for b.Loop() {
		if _, e := v.Admit(c, s, d, time.Now().Add(time.Second)); e != nil {
			refused++
		}
	}
	b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
}
