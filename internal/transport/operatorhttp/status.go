package operatorhttp

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Status is what a daemon says of itself.
type Status struct {
	Instance    lavenderridge.InstanceID
	DataCentre  lavenderridge.DataCentreID
	Service     lavenderridge.ServiceID
	Incarnation lavenderridge.Incarnation
	Ready       bool
	Versions    lavenderridge.Versions
	AcceptedAt  time.Time
	Load        lavenderridge.Load
}
