package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/soak/judge"
	"github.com/lavenderridge/lavenderridge/internal/soak/plan"
)

// keysPerCustomer is the number of keys of each customer. The first one may be taken away.
const keysPerCustomer = 2

// credentials are a key and the customer that holds it; empty if the plan has no customers.
type credentials struct {
	customer lavenderridge.CustomerID
	key      string
}

func customerID(i int) lavenderridge.CustomerID {
	return lavenderridge.CustomerID(fmt.Sprintf("customer-%d", i))
}

// customerKey returns the key k of the customer i.
func customerKey(i, k int) string {
	return fmt.Sprintf("key-%d-%d", i, k)
}

func newCustomers(n int) []lavenderridge.Customer {
	var a []lavenderridge.Customer
	for i := range n {
		c := lavenderridge.Customer{ID: customerID(i)}
		for k := range keysPerCustomer {
			c.Keys = append(c.Keys, lavenderridge.NewCustomerKey([]byte(customerKey(i, k))))
		}
		slices.SortFunc(c.Keys, lavenderridge.CustomerKey.Compare)
		a = append(a, c)
	}
	return a
}

// credentials returns the credentials for the request n of the caller i. Half of the callers
// use the first key of their customer, and every second time also when it has been taken
// away.
func (f *Fleet) credentials(i, n int) credentials {
	m := f.plan.Customers
	if m == 0 {
		return credentials{}
	}
	c, k := i%m, i/m%keysPerCustomer
	if k == 0 && n%2 == 0 && f.removed(customerKey(c, k)) {
		k = 1
	}
	return credentials{customer: customerID(c), key: customerKey(c, k)}
}

// removed reports whether the key k has been taken away.
func (f *Fleet) removed(k string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.ContainsFunc(f.history.KeyRemovals, func(r judge.KeyRemoval) bool { return r.Key == k })
}

// revoke publishes a catalogue without the key that r takes away.
func (f *Fleet) revoke(r plan.Revocation) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	s := customerKey(r.Customer, 0)
	c := &f.catalogue.Customers[r.Customer]
	c.Keys = slices.DeleteFunc(c.Keys, lavenderridge.NewCustomerKey([]byte(s)).Equal)
	// A daemon may refuse the key before the publication returns.
	f.history.KeyRemovals = append(f.history.KeyRemovals, judge.KeyRemoval{Key: s, Time: time.Now()})
	return f.publish()
}
