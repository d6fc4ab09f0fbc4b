package backendserver_test

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

// TestCheckCustomer prints which requests of daemons with another version of the catalogue
// an owner refuses. Its own version is 5.
func TestCheckCustomer(t *testing.T) {
	datadriven.RunTest(t, "testdata/customers", func(t *testing.T, d *datadriven.TestData) string {
		c := &lavenderridge.Catalogue{Entries: []lavenderridge.Entry{{ID: "private", PathPrefix: "/a"}, {ID: "public", PathPrefix: "/b", Public: true}}}
		for w := range strings.FieldsSeq(d.Input) {
			c.Customers = append(c.Customers, lavenderridge.Customer{ID: lavenderridge.CustomerID(w)})
		}
		s := lavenderridge.NewSnapshot(c, &lavenderridge.InstanceList{}, lavenderridge.Stamps{Catalogue: lavenderridge.Stamp{Version: 5}}, time.Time{})
		r := &lavenderridge.Request{}
		d.ScanArgs(t, "entry", (*string)(&r.Entry))
		d.MaybeScanArgs(t, "customer", (*string)(&r.Customer))
		d.ScanArgs(t, "sender-version", (*uint64)(&r.Sender.Stamps.Catalogue.Version))
		if e := backendserver.CheckCustomer(s, r); e != nil {
			return e.Error() + "\n"
		}
		return "taken\n"
	})
}
