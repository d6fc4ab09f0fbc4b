package lavenderridge

import "time"

// A LoanWant asks for requests out of the quota of one customer.
type LoanWant struct {
	Customer CustomerID
	// Requests is the number wanted.
	Requests Requests
	// Returned is the number out of earlier loans that was not used.
	Returned Requests
	// Tenure is the time since the instance list of the daemon that asks made the
	// receiver a home of the customer; zero if the daemon has seen no other home.
	Tenure time.Duration
}
