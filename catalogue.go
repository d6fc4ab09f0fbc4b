package lavenderridge

// A Catalogue is the operators' configuration: data centres, overrides of single
// instances, services, entries (routes) and limits for callers. Each list is
// sorted by ID.
type Catalogue struct {
	DataCentres []DataCentre
	Instances   []InstanceOverride
	Services    []Service
	Entries     []Entry
	Callers     CallerLimits
}
