package judge

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Send is one request that a caller sent to one daemon. Sends with the same
// key belong to one operation.
type Send struct {
	ID lavenderridge.RequestID
	// Key is empty for requests without an idempotency key.
	Key lavenderridge.IdempotencyKey
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	Daemon     lavenderridge.InstanceID
	Begun      time.Time
	Ended      time.Time
	Result     Result
	// Customer is the customer that holds CustomerKey; both are empty without a key.
	Customer    lavenderridge.CustomerID
	CustomerKey string
	// Unauthenticated is true if the request was refused for its key.
	Unauthenticated bool
}
