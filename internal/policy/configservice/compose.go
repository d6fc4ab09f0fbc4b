package configservice

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lavenderridge/lavenderridge"
)

// ComposeCatalogue returns the delta that has the effect of a followed by b.
func ComposeCatalogue(a, b *lavenderridge.CatalogueDelta) *lavenderridge.CatalogueDelta {
	return &lavenderridge.CatalogueDelta{
		DataCentres: compose(a.DataCentres, b.DataCentres, dataCentreKey),
		Instances:   compose(a.Instances, b.Instances, overrideKey),
		Services:    compose(a.Services, b.Services, serviceKey),
		Entries:     compose(a.Entries, b.Entries, entryKey),
		Callers:     b.Callers,
		Customers:   composeCustomers(a.Customers, b.Customers),
	}
}

// composeCustomers composes changes of customers, where nil stands for none.
func composeCustomers(a, b *lavenderridge.Changes[lavenderridge.CustomerID, lavenderridge.Customer]) *lavenderridge.Changes[lavenderridge.CustomerID, lavenderridge.Customer] {
	if a == nil || b == nil {
		return cmp.Or(a, b)
	}
	c := compose(*a, *b, customerKey)
	return &c
}

// ComposeInstanceList returns the delta that has the effect of a followed by b.
func ComposeInstanceList(a, b *lavenderridge.InstanceListDelta) *lavenderridge.InstanceListDelta {
	return &lavenderridge.InstanceListDelta{Instances: compose(a.Instances, b.Instances, instanceKey), Evacuated: b.Evacuated}
}

// compose returns the changes that have the effect of a followed by b.
func compose[K cmp.Ordered, V any](a, b lavenderridge.Changes[K, V], k func(*V) K) lavenderridge.Changes[K, V] {
	m := make(map[K]*V, len(a.Changed)+len(a.Removed)+len(b.Changed)+len(b.Removed))
	for _, c := range []*lavenderridge.Changes[K, V]{&a, &b} {
		for _, d := range c.Removed {
			m[d] = nil
		}
		for i := range c.Changed {
			m[k(&c.Changed[i])] = &c.Changed[i]
		}
	}
	var r lavenderridge.Changes[K, V]
	for _, d := range slices.Sorted(maps.Keys(m)) {
		if v := m[d]; v != nil {
			r.Changed = append(r.Changed, *v)
		} else {
			r.Removed = append(r.Removed, d)
		}
	}
	return r
}
