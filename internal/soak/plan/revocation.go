package plan

import (
	"fmt"
	"time"
)

// A Revocation takes the first key of a customer away.
type Revocation struct {
	// At is the time of the publication, counted from the start of the load.
	At time.Duration
	// Customer is the index of the customer.
	Customer int
}

// String returns the revocation on one line.
func (r Revocation) String() string {
	return fmt.Sprintf("%s revocation at customer %d", r.At.Round(time.Millisecond), r.Customer)
}
