package configservice

import (
	"cmp"
	"reflect"
	"slices"

	"github.com/lavenderridge/lavenderridge"
)

// DiffCatalogue returns the delta from a to b. The lists of both must be sorted
// by key without duplicates, as those of valid catalogues are.
func DiffCatalogue(a, b *lavenderridge.Catalogue) *lavenderridge.CatalogueDelta {
	return &lavenderridge.CatalogueDelta{
		DataCentres: diff(a.DataCentres, b.DataCentres, dataCentreKey, same[lavenderridge.DataCentre]),
		Instances:   diff(a.Instances, b.Instances, overrideKey, same[lavenderridge.InstanceOverride]),
		Services:    diff(a.Services, b.Services, serviceKey, same[lavenderridge.Service]),
		Entries:     diff(a.Entries, b.Entries, entryKey, sameEntry),
		Callers:     b.Callers,
		Customers:   diffCustomers(a.Customers, b.Customers),
	}
}

// diffCustomers returns the changes from a to b, or nil if there are none, so that daemons
// that don't know customers can read the delta.
func diffCustomers(a, b []lavenderridge.Customer) *lavenderridge.Changes[lavenderridge.CustomerID, lavenderridge.Customer] {
	c := diff(a, b, customerKey, sameCustomer)
	if len(c.Removed) == 0 && len(c.Changed) == 0 {
		return nil
	}
	return &c
}

// PatchCatalogue returns the catalogue that results from applying d to a.
func PatchCatalogue(a *lavenderridge.Catalogue, d *lavenderridge.CatalogueDelta) *lavenderridge.Catalogue {
	c := a.Customers
	if d.Customers != nil {
		c = patch(a.Customers, *d.Customers, customerKey)
	}
	return &lavenderridge.Catalogue{
		DataCentres: patch(a.DataCentres, d.DataCentres, dataCentreKey),
		Instances:   patch(a.Instances, d.Instances, overrideKey),
		Services:    patch(a.Services, d.Services, serviceKey),
		Entries:     patch(a.Entries, d.Entries, entryKey),
		Callers:     d.Callers,
		Customers:   c,
	}
}

// DiffInstanceList returns the delta from a to b. The lists of both must be
// sorted by key without duplicates.
func DiffInstanceList(a, b *lavenderridge.InstanceList) *lavenderridge.InstanceListDelta {
	return &lavenderridge.InstanceListDelta{Instances: diff(a.Instances, b.Instances, instanceKey, same[lavenderridge.Instance]), Evacuated: b.Evacuated}
}

// PatchInstanceList returns the instance list that results from applying d to a.
func PatchInstanceList(a *lavenderridge.InstanceList, d *lavenderridge.InstanceListDelta) *lavenderridge.InstanceList {
	return &lavenderridge.InstanceList{Instances: patch(a.Instances, d.Instances, instanceKey), Evacuated: d.Evacuated}
}

func dataCentreKey(d *lavenderridge.DataCentre) lavenderridge.DataCentreID   { return d.ID }
func overrideKey(n *lavenderridge.InstanceOverride) lavenderridge.InstanceID { return n.ID }
func serviceKey(s *lavenderridge.Service) lavenderridge.ServiceID            { return s.ID }
func entryKey(e *lavenderridge.Entry) lavenderridge.EntryID                  { return e.ID }
func customerKey(c *lavenderridge.Customer) lavenderridge.CustomerID         { return c.ID }
func instanceKey(n *lavenderridge.Instance) lavenderridge.InstanceID         { return n.ID }

func same[V comparable](a, b *V) bool { return *a == *b }

func sameEntry(a, b *lavenderridge.Entry) bool { return reflect.DeepEqual(a, b) }

func sameCustomer(a, b *lavenderridge.Customer) bool {
	return a.ID == b.ID && a.Class == b.Class && a.Quota == b.Quota && slices.Equal(a.Keys, b.Keys)
}

// diff compares two lists that are sorted by the key k, in one pass. Elements
// with equal keys are unchanged if s reports true.
func diff[K cmp.Ordered, V any](a, b []V, k func(*V) K, s func(a, b *V) bool) lavenderridge.Changes[K, V] {
	var c lavenderridge.Changes[K, V]
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case j == len(b) || i < len(a) && k(&a[i]) < k(&b[j]):
			c.Removed = append(c.Removed, k(&a[i]))
			i++
		case i == len(a) || k(&b[j]) < k(&a[i]):
			c.Changed = append(c.Changed, b[j])
			j++
		default:
			if !s(&a[i], &b[j]) {
				c.Changed = append(c.Changed, b[j])
			}
			i, j = i+1, j+1
		}
	}
	return c
}

// patch applies c to the sorted list a. It returns nil instead of an empty list,
// as the parsers do, so that equal documents have equal encodings.
func patch[K cmp.Ordered, V any](a []V, c lavenderridge.Changes[K, V], k func(*V) K) []V {
	m := make(map[K]bool, len(c.Removed)+len(c.Changed))
	for _, d := range c.Removed {
		m[d] = true
	}
	for i := range c.Changed {
		m[k(&c.Changed[i])] = true
	}
	b := slices.Clone(c.Changed)
	slices.SortStableFunc(b, func(x, y V) int { return cmp.Compare(k(&x), k(&y)) })
	r := make([]V, 0, len(a)+len(b))
	for i := range a {
		if m[k(&a[i])] {
			continue
		}
		for len(b) > 0 && k(&b[0]) < k(&a[i]) {
			r, b = append(r, b[0]), b[1:]
		}
		r = append(r, a[i])
	}
	if r = append(r, b...); len(r) == 0 {
		return nil
	}
	return r
}
