package backendserver_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/backendserver"
)

// customerSession is the part of an owner that checks customers. It keeps the request that
// has passed.
type customerSession struct {
	snapshot *lavenderridge.Snapshot
	passed   *lavenderridge.Request
}

func (s *customerSession) Snapshot() *lavenderridge.Snapshot { return s.snapshot }

func (s *customerSession) Handle(_ context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	s.passed = r
	return &lavenderridge.Response{ID: r.ID}, nil
}

// TestCustomerHandler runs testdata/customers: requests of daemons whose catalogue may not
// have customers yet, so that they have passed on a key as a field like others.
func TestCustomerHandler(t *testing.T) {
	s := &customerSession{}
	h := backendserver.NewCustomerHandler([]string{"Key", "Customer"}, s, "a", s)
	datadriven.RunTest(t, "testdata/customers", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "catalogue":
			c := &lavenderridge.Catalogue{Entries: []lavenderridge.Entry{{ID: "private", PathPrefix: "/a"}, {ID: "public", PathPrefix: "/b", Public: true}}}
			for _, a := range d.CmdArgs {
				c.Customers = append(c.Customers, lavenderridge.Customer{ID: lavenderridge.CustomerID(a.Key)})
			}
			s.snapshot = lavenderridge.NewSnapshot(c, &lavenderridge.InstanceList{}, lavenderridge.Stamps{Catalogue: lavenderridge.Stamp{Version: 5}}, time.Time{})
			return ""
		case "request":
			r := &lavenderridge.Request{ID: "r", Header: lavenderridge.Header{"Key": {"k1"}, "Customer": {"forged"}, "Other": {"x"}}}
			d.ScanArgs(t, "entry", (*string)(&r.Entry))
			d.MaybeScanArgs(t, "customer", (*string)(&r.Customer))
			s.passed = nil
			if _, e := h.Handle(t.Context(), r); e != nil {
				return fmt.Sprintf("%v, retry after %s, passed %t\n", e, lavenderridge.AsRefusal(e).RetryAfter, s.passed != nil)
			}
			return fmt.Sprintf("passed %v, customer %q; the sender still has %v\n", s.passed.Header, s.passed.Customer, r.Header)
		}
		d.Fatalf(t, "unknown command %s", d.Cmd)
		return ""
	})
}
