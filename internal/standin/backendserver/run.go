package backendserver

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Run is one execution of a request by the server.
type Run struct {
	Request lavenderridge.RequestID
	Key     lavenderridge.IdempotencyKey
	Path    string
	// Customer is the customer that the request named, and KeyShown is true if it contained
	// a customer's key.
	Customer lavenderridge.CustomerID
	KeyShown bool
	// Boot is the number of the start of the server in which the run began; the
	// first is 1.
	Boot  int
	Begun time.Time
	Ended time.Time
	// Exclusive is true if no other request was running when this one began.
	Exclusive bool
	State     RunState
}
