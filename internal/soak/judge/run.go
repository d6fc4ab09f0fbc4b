package judge

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Run is one execution of a request by a backend server.
type Run struct {
	Request    lavenderridge.RequestID
	Key        lavenderridge.IdempotencyKey
	Instance   lavenderridge.InstanceID
	DataCentre lavenderridge.DataCentreID
	Begun      time.Time
	// Customer is the customer that the backend server was told, and KeyShown is true if it
	// received a key.
	Customer lavenderridge.CustomerID
	KeyShown bool
}
