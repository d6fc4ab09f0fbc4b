package lavenderridge

import "time"

// An Instance is one backend server instance as the platform lists it.
type Instance struct {
	ID         InstanceID
	DataCentre DataCentreID
	Service    ServiceID
	// Peer is where the instance's daemon accepts other daemons.
	Peer  Address
	State InstanceState
	// Backend is the run of the backend server, where the platform names it.
	Backend BackendID
	// Slots is what the backend server runs at once; zero stands for the bound
	// of its service.
	Slots Slots
	// ColdLeft is how long the backend server is cold from the publishing of
	// this entry on.
	ColdLeft time.Duration
	// Revision changes with each publishing of the entry.
	Revision Revision
}
