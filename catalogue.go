package lavenderridge

// A Catalogue is the operators' configuration: data centres, overrides of single
// instances, services, entries (routes), limits for callers and customers. Each list is
// sorted by ID.
type Catalogue struct {
	DataCentres []DataCentre
	Instances   []InstanceOverride
	Services    []Service
	Entries     []Entry
	Callers     CallerLimits
	// Customers is empty if requests need no key.
	Customers []Customer `cbor:",omitempty"`
}
