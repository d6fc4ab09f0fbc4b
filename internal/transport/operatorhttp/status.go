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
	// Leaving tells that the daemon takes no new work because it stops.
	Leaving    bool
	Versions   lavenderridge.Versions
	AcceptedAt time.Time
	Load       lavenderridge.Load
	Home       lavenderridge.HomeStatus
}
