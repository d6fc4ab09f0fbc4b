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
}
