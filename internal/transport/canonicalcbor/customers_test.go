package canonicalcbor_test

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/transport/canonicalcbor"
)

// earlierEntry, earlierCatalogue and earlierDelta are the types of daemons that don't know
// customers. Such daemons reject documents with unknown fields.
type earlierEntry struct {
	ID         lavenderridge.EntryID
	Owner      lavenderridge.OwnerID
	Class      lavenderridge.Class
	Service    lavenderridge.ServiceID
	Split      []lavenderridge.ServiceShare
	Host       string
	PathPrefix string
	Methods    []string
	Idempotent bool
	Timeout    time.Duration
	Limits     lavenderridge.Limits
	Objective  lavenderridge.Objective
}

type earlierCatalogue struct {
	DataCentres []lavenderridge.DataCentre
	Instances   []lavenderridge.InstanceOverride
	Services    []lavenderridge.Service
	Entries     []earlierEntry
	Callers     lavenderridge.CallerLimits
}

type earlierDelta struct {
	DataCentres lavenderridge.Changes[lavenderridge.DataCentreID, lavenderridge.DataCentre]
	Instances   lavenderridge.Changes[lavenderridge.InstanceID, lavenderridge.InstanceOverride]
	Services    lavenderridge.Changes[lavenderridge.ServiceID, lavenderridge.Service]
	Entries     lavenderridge.Changes[lavenderridge.EntryID, earlierEntry]
	Callers     lavenderridge.CallerLimits
}

func testCatalogue(m time.Duration) *lavenderridge.Catalogue {
	return &lavenderridge.Catalogue{
		Services: []lavenderridge.Service{{ID: "s", Slots: 1}},
		Entries:  []lavenderridge.Entry{{ID: "e", Service: "s", PathPrefix: "/", Methods: []string{"GET"}, Timeout: m}},
	}
}

// TestWithoutCustomers checks that a catalogue without customers and a delta between two of
// them have the encoding that daemons of earlier versions know. Otherwise an update of the
// fleet would cut it in two, as their digests would differ.
func TestWithoutCustomers(t *testing.T) {
	k, c := canonicalcbor.NewCodec(), testCatalogue(time.Second)
	b, e := k.EncodeCatalogue(c)
	if e != nil {
		t.Fatal(e)
	}
	d, e := k.EncodeCatalogueDelta(configservice.DiffCatalogue(testCatalogue(2*time.Second), c))
	if e != nil {
		t.Fatal(e)
	}
	checkEarlier[earlierCatalogue](t, b)
	checkEarlier[earlierDelta](t, d)
}

// checkEarlier checks that b is the encoding of a T.
func checkEarlier[T any](t *testing.T, b []byte) {
	t.Helper()
	var v T
	x, e := cbor.CoreDetEncOptions().EncMode()
	if e != nil {
		t.Fatal(e)
	}
	y, e := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if e != nil {
		t.Fatal(e)
	}
	if e := y.Unmarshal(b, &v); e != nil {
		t.Fatal(e)
	}
	if w, e := x.Marshal(v); e != nil || !bytes.Equal(w, b) {
		t.Errorf("the encoding differs from the earlier one: %x, %x, %v", b, w, e)
	}
}

// TestCustomerDelta checks that a catalogue with customers, and a delta that adds, changes
// and removes some, survive their encoding.
func TestCustomerDelta(t *testing.T) {
	k, a, b := canonicalcbor.NewCodec(), testCatalogue(time.Second), testCatalogue(time.Second)
	n := func(s string) []lavenderridge.CustomerKey {
		return []lavenderridge.CustomerKey{lavenderridge.NewCustomerKey([]byte(s))}
	}
	a.Customers = []lavenderridge.Customer{{ID: "a", Keys: n("1")}, {ID: "b", Keys: n("2")}, {ID: "c"}}
	b.Customers = []lavenderridge.Customer{{ID: "b", Keys: n("3"), Class: lavenderridge.ClassUrgent, Quota: lavenderridge.Quota{Rate: 2.5, Burst: 7}}, {ID: "c"}, {ID: "d", Keys: n("1")}}
	b.Entries[0].Public = true
	for _, v := range [][2]*lavenderridge.Catalogue{{a, b}, {b, a}, {testCatalogue(time.Second), a}, {a, testCatalogue(time.Second)}} {
		x, e := k.EncodeCatalogueDelta(configservice.DiffCatalogue(v[0], v[1]))
		if e != nil {
			t.Fatal(e)
		}
		d, e := k.DecodeCatalogueDelta(x)
		if e != nil {
			t.Fatal(e)
		}
		if p := configservice.PatchCatalogue(v[0], d); !reflect.DeepEqual(p, v[1]) {
			t.Errorf("got %+v; want %+v", p, v[1])
		}
		w, e := k.EncodeCatalogue(v[1])
		if e != nil {
			t.Fatal(e)
		}
		if c, e := k.DecodeCatalogue(w); e != nil || !reflect.DeepEqual(c, v[1]) {
			t.Errorf("got %+v, %v; want %+v", c, e, v[1])
		}
	}
}
