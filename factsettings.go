package lavenderridge

// FactSettings holds the settings with which an adapter reads a platform's facts.
type FactSettings struct {
	// Source is the address of the store of facts.
	Source Address
	// Peer is where this daemon accepts connections from other daemons. All
	// daemons use the same port.
	Peer Address
	// Regions holds the region of each data centre.
	Regions map[DataCentreID]RegionID
}
