package backendserver

import "github.com/lavenderridge/lavenderridge"

// CheckCustomer returns a refusal if the request r, whose customer another daemon has found
// out, can't be for a customer under the catalogue of s. Two daemons may have different
// versions for a moment: the other one may not know yet that requests need a key, or that
// the customer has been removed.
func CheckCustomer(s *lavenderridge.Snapshot, r *lavenderridge.Request) error {
	if len(s.Catalogue.Customers) == 0 {
		return nil
	}
	if r.Customer == "" {
		e := s.Entry(r.Entry)
		if e == nil || e.Public {
			return nil
		}
		return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonNotReady, "the daemons have different catalogues; only one of them needs a key for the request")
	}
	if s.Customer(r.Customer) == nil && r.Sender.Stamps.Catalogue.Version < s.Stamps.Catalogue.Version {
		return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonUnauthenticated, "the customer has been removed")
	}
	return nil
}
