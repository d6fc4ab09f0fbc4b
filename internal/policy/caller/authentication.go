package caller

import "github.com/lavenderridge/lavenderridge"

// Authenticate sets the customer and the class of r, which was matched with the entry e of
// the snapshot s, by the key that r carries. It returns a refusal and leaves r as it is if
// the entry needs a key and r has none, or if no customer holds the key. If the catalogue has no customers, keys
// have no meaning.
//
// The lookup of a key compares hashes, so its duration tells nothing about other keys.
func Authenticate(s *lavenderridge.Snapshot, e *lavenderridge.Entry, r *lavenderridge.Request) error {
	n := r.CustomerKey == (lavenderridge.CustomerKey{})
	if len(s.Catalogue.Customers) == 0 || n && e.Public {
		r.Customer, r.Class = "", e.Class
		return nil
	}
	if n {
		return unauthenticated("the request carries no key")
	}
	v := s.CustomerOf(r.CustomerKey)
	if v == nil {
		return unauthenticated("no customer holds the key of the request")
	}
	r.Customer, r.Class = v.ID, e.Class
	if v.Class != 0 {
		r.Class = v.Class
	}
	return nil
}

func unauthenticated(d string) error {
	return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonUnauthenticated, d)
}
