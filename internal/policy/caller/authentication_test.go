package caller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/caller"
)

// authenticationSnapshot returns the snapshot of a catalogue with the customers in the lines
// of s. Each has a name, a class, which may be "-" for none, and its keys.
func authenticationSnapshot(s string) *lavenderridge.Snapshot {
	c := &lavenderridge.Catalogue{}
	for l := range strings.Lines(s) {
		w := strings.Fields(l)
		v := lavenderridge.Customer{ID: lavenderridge.CustomerID(w[0])}
		v.Class, _ = lavenderridge.ParseClass(w[1])
		for _, k := range w[2:] {
			v.Keys = append(v.Keys, lavenderridge.NewCustomerKey([]byte(k)))
		}
		c.Customers = append(c.Customers, v)
	}
	return lavenderridge.NewSnapshot(c, &lavenderridge.InstanceList{}, lavenderridge.Stamps{}, time.Time{})
}

// TestAuthentication prints the customer and the class of requests with various keys, or
// their refusals. Each request names another customer and class before, as one that is
// retried after a new version of the catalogue may.
func TestAuthentication(t *testing.T) {
	s := authenticationSnapshot("")
	datadriven.RunTest(t, "testdata/authentication", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "customers":
			s = authenticationSnapshot(d.Input)
			return ""
		case "request":
			e := &lavenderridge.Entry{ID: "e", Class: lavenderridge.ClassNormal, Public: d.HasArg("public")}
			r := &lavenderridge.Request{Customer: "before", Class: lavenderridge.ClassCritical}
			var k string
			if d.MaybeScanArgs(t, "key", &k) {
				r.CustomerKey = lavenderridge.NewCustomerKey([]byte(k))
			}
			if v := caller.Authenticate(s, e, r); v != nil {
				return v.Error() + "\n"
			}
			return fmt.Sprintf("customer %q, class %s\n", r.Customer, r.Class)
		}
		d.Fatalf(t, "unknown command %s", d.Cmd)
		return ""
	})
}

// BenchmarkAuthenticate measures the lookup of a key among 10,000 customers with two keys
// each, in parallel. It must not allocate.
func BenchmarkAuthenticate(b *testing.B) {
	c := &lavenderridge.Catalogue{}
	for i := range 10_000 {
		c.Customers = append(c.Customers, lavenderridge.Customer{
			ID:   lavenderridge.CustomerID(fmt.Sprintf("customer-%05d", i)),
			Keys: []lavenderridge.CustomerKey{lavenderridge.NewCustomerKey(fmt.Appendf(nil, "%d-1", i)), lavenderridge.NewCustomerKey(fmt.Appendf(nil, "%d-2", i))},
		})
	}
	s := lavenderridge.NewSnapshot(c, &lavenderridge.InstanceList{}, lavenderridge.Stamps{}, time.Time{})
	e := &lavenderridge.Entry{Class: lavenderridge.ClassNormal}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		r := &lavenderridge.Request{}
		for i := 0; p.Next(); i++ {
			r.CustomerKey = c.Customers[i%len(c.Customers)].Keys[i%2]
			if caller.Authenticate(s, e, r) != nil {
				b.Error("refused")
				return
			}
		}
	})
}

// BenchmarkNewCustomerKey measures the hash of a key.
func BenchmarkNewCustomerKey(b *testing.B) {
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		k := []byte("nr26tta828m82thhkmgj")
		for p.Next() {
			lavenderridge.NewCustomerKey(k)
		}
	})
}
