package lavenderridge

// An Instance is one backend server instance as the platform lists it.
type Instance struct {
	ID         InstanceID
	DataCentre DataCentreID
	Service    ServiceID
	// Peer is where the instance's daemon accepts other daemons.
	Peer  Address
	State InstanceState
}
