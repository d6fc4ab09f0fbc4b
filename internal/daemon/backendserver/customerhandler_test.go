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

// customerCommand runs the commands of the golden file customers: requests of daemons whose
// catalogue may not have customers yet, so that they have passed on a key as a field like
// others. No key may reach the owner's next handler.
func (s *customerSession) customerCommand(t *testing.T, d *datadriven.TestData) string {
	if d.Cmd == "catalogue" {
		c := &lavenderridge.Catalogue{Entries: []lavenderridge.Entry{{ID: "private", PathPrefix: "/a"}, {ID: "public", PathPrefix: "/b", Public: true}}}
		for _, a := range d.CmdArgs {
			c.Customers = append(c.Customers, lavenderridge.Customer{ID: lavenderridge.CustomerID(a.Key)})
		}
		s.snapshot = lavenderridge.NewSnapshot(c, &lavenderridge.InstanceList{}, lavenderridge.Stamps{Catalogue: lavenderridge.Stamp{Version: 5}}, time.Time{})
		return ""
	}
	r := &lavenderridge.Request{ID: "r", Header: lavenderridge.Header{"Key": {"k1"}, "Customer": {"forged"}, "Other": {"x"}}}
	d.ScanArgs(t, "entry", (*string)(&r.Entry))
	d.MaybeScanArgs(t, "customer", (*string)(&r.Customer))
	s.passed = nil
	h := backendserver.NewCustomerHandler([]string{"Key", "Customer"}, s, "a", s)
	if _, e := h.Handle(t.Context(), r); e != nil {
		return fmt.Sprintf("%v, retry after %s, passed %t\n", e, lavenderridge.AsRefusal(e).RetryAfter, s.passed != nil)
	}
	return fmt.Sprintf("passed %v, customer %q; the sender still has %v\n", s.passed.Header, s.passed.Customer, r.Header)
}
