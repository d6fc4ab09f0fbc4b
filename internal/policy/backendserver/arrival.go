package backendserver

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// An Arrival is a request that asks an Admission for a slot.
type Arrival struct {
	Class lavenderridge.Class
	// Deadline is when the response must have arrived, and Objective when it should have;
	// both may be zero.
	Deadline, Objective time.Time
	// Customer is the customer whose turn the request takes, with the cost by its
	// FairShares. It may be empty.
	Customer lavenderridge.CustomerID
	Cost     float64
}
