package lavenderridge

import "time"

// An Instance is one backend server instance as the platform lists it.
type Instance struct {
	ID         InstanceID
	DataCentre DataCentreID
	Service    ServiceID
	// Peer is where the instance's daemon accepts connections from other daemons.
	Peer  Address
	State InstanceState
	// Backend identifies the run of the backend server; it is empty if the
	// platform does not identify runs.
	Backend BackendID
	// Slots is the number of requests that the backend server runs concurrently;
	// zero means the number of its service.
	Slots Slots
	// ColdLeft is the time for which the backend server remains cold, counted
	// from the publication of this instance list entry.
	ColdLeft time.Duration
	// Revision changes each time the platform publishes this entry.
	Revision Revision
}
