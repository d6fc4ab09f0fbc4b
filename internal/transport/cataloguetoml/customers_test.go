package cataloguetoml_test

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/cataloguetoml"
)

// TestFormatCustomers checks that the text of a catalogue with customers is parsed into the
// same catalogue, and that a text without customers has none of their names, so that daemons
// of earlier versions can read it.
func TestFormatCustomers(t *testing.T) {
	c := &lavenderridge.Catalogue{
		Services: []lavenderridge.Service{{ID: "s", Slots: 1, Connections: 1}},
		Entries:  []lavenderridge.Entry{{ID: "e", Owner: "o", Class: lavenderridge.ClassNormal, Service: "s", PathPrefix: "/", Timeout: time.Second}},
	}
	b, e := cataloguetoml.Format(c)
	if e != nil || strings.Contains(string(b), "Customers") || strings.Contains(string(b), "Public") {
		t.Errorf("%s, %v", b, e)
	}
	c.Entries[0].Public = true
	c.Customers = []lavenderridge.Customer{
		{ID: "a", Keys: []lavenderridge.CustomerKey{lavenderridge.NewCustomerKey([]byte("1"))}, Class: lavenderridge.ClassUrgent, Quota: lavenderridge.Quota{Rate: 2.5, Burst: 7}},
		{ID: "b"},
	}
	if b, e = cataloguetoml.Format(c); e != nil {
		t.Fatal(e)
	}
	d, e := cataloguetoml.Parse(b)
	if e != nil {
		t.Fatalf("%v in\n%s", e, b)
	}
	d.Entries[0].Methods = nil
	if !reflect.DeepEqual(c, d) {
		t.Errorf("got %+v; want %+v in\n%s", d, c, b)
	}
}
